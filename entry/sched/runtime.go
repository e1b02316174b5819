package sched

import (
	"math"
	"time"

	"limpethitch.example/entry/graph"
)

// runTimeEstimator learns by queue how long runs take. Declared run times are off by up to
// 90% in both directions: objectives based on them alone would give up jobs that can still
// be on time, and put others behind all that follow.
type runTimeEstimator struct {
	byQueue map[string]*runTimes
}

// runTimes is the moving mean and variance of the logarithm of a queue's run times, in
// milliseconds. The logarithm, because most runs are short and a few are many times longer.
type runTimes struct {
	runs           int
	mean, variance float64
}

const (
	// runTimeWeight is the weight of the newest run in the averages.
	runTimeWeight = 0.05
	// minRunTimeDeviation is the least standard deviation that is assumed. The tasks of one
	// job take about the same time, so that a queue's first runs say little about others.
	minRunTimeDeviation = 0.3
	// usualDeviations is how many standard deviations a run time may lie above the mean to
	// count as usual for its queue.
	usualDeviations = 2.0
)

// add records that a run of a queue ended as done.
func (e *runTimeEstimator) add(queue string, took time.Duration) {
	if took <= 0 {
		return
	}
	if e.byQueue == nil {
		e.byQueue = make(map[string]*runTimes)
	}
	t := e.byQueue[queue]
	if t == nil {
		t = new(runTimes)
		e.byQueue[queue] = t
	}
	t.runs++
	weight := max(runTimeWeight, 1/float64(t.runs))
	diff := math.Log(float64(took)/float64(time.Millisecond)) - t.mean
	t.mean += weight * diff
	t.variance = (1 - weight) * (t.variance + weight*diff*diff)
}

// bounds returns the least and the longest run time that are expected of a queue's tasks,
// whatever is declared, and false until a run of the queue has ended.
func (e *runTimeEstimator) bounds(queue string) (shortestMS, longestMS int64, ok bool) {
	t := e.byQueue[queue]
	if t == nil {
		return 0, 0, false
	}
	deviation := max(minRunTimeDeviation, math.Sqrt(t.variance))
	return int64(math.Exp(t.mean + t.variance/2)), int64(math.Exp(t.mean + t.variance/2 + usualDeviations*deviation)), true
}

// estimateMS returns the expected run time of a task of a step: the declared one, but no less
// than the queue's runs take on average and no more than the longest ones usually take. It is
// the declared one until a run of the queue has ended.
func (e *runTimeEstimator) estimateMS(queue string, st *graph.Step) int64 {
	shortest, longest, ok := e.bounds(queue)
	if !ok {
		return st.EstimateMS
	}
	return min(max(st.EstimateMS, shortest), longest)
}
