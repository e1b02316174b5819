package sched

import (
	"time"

	"limpethitch.example/entry/graph"
)

// learner keeps how long the tasks of each queue really run. Declared run times
// are off by up to 90%, so an objective that is computed from them alone gives up
// jobs that can still be in time.
type learner struct {
	meanMS map[string]float64
}

// learnShare is the weight of one run in the mean.
const learnShare = 0.05

func (l *learner) add(queue string, took time.Duration) {
	if l.meanMS == nil {
		l.meanMS = make(map[string]float64)
	}
	ms := float64(took.Milliseconds())
	old, ok := l.meanMS[queue]
	if !ok {
		l.meanMS[queue] = ms
		return
	}
	l.meanMS[queue] = old + learnShare*(ms-old)
}

// runMS returns the run time to reckon with for a task of a step.
func (l *learner) runMS(queue string, st *graph.Step) int64 {
	return max(st.EstimateMS, int64(l.meanMS[queue]))
}
