package place

import (
	"math"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

const (
	// sampleWindow is the number of latest samples kept; the p95 of a full window
	// is its second largest value.
	sampleWindow = 32
	// minSamples is the number of samples from which on the estimate replaces the
	// declared size or run time.
	minSamples = 5
	// defaultRunTime is assumed if a run time was neither declared nor learned.
	defaultRunTime = 5 * time.Minute
	// maxRunTime bounds declared run times, so that sums of times cannot overflow.
	maxRunTime = 365 * 24 * time.Hour
	// minCPU (in milli-CPU) and minMemory (in MiB) are the least amounts allocated
	// to a task.
	minCPU    = 10
	minMemory = 1
)

// series is a sliding window of values and their p95.
type series struct {
	values  [sampleWindow]int64
	n, next int
	p95     int64
}

func (s *series) add(v int64) {
	s.values[s.next] = v
	s.next = (s.next + 1) % sampleWindow
	s.n = min(sampleWindow, s.n+1)
	first, second := int64(math.MinInt64), int64(math.MinInt64)
	for _, x := range s.values[:s.n] {
		if x > first {
			first, second = x, first
		} else if x > second {
			second = x
		}
	}
	// The 95th percentile of fewer than 20 values is the largest.
	if s.p95 = first; s.n >= 20 {
		s.p95 = second
	}
}

type kindKey struct{ team, kind string }

// resourceEstimate holds the usage of one resource by a kind's tasks: absolute, and
// relative to the declared amount in thousandths. If declared sizes differ within a
// kind, the relative usage gives the closer bound; if they are arbitrary, the
// absolute one does.
type resourceEstimate struct{ absolute, relative series }

func (e *resourceEstimate) add(used, declared int64) {
	e.absolute.add(used)
	e.relative.add(int64(min(1000*float64(used)/float64(max(1, declared)), maxRelative)))
}

// maxRelative bounds usage relative to the declared amount, in thousandths.
const maxRelative = 1e9

// hasEnoughSamples reports whether the estimate may replace the declared amount.
func (e *resourceEstimate) hasEnoughSamples() bool { return e.absolute.n >= minSamples }

// upperBound returns the p95 for a task with a declared amount: the lower of the
// absolute and the relative one.
func (e *resourceEstimate) upperBound(declared int64) int64 {
	return int64(min(float64(e.absolute.p95), float64(e.relative.p95)*float64(max(1, declared))/1000))
}

// estimate is what was learned about one kind of a team's work.
type estimate struct {
	cpu, memory, runTime resourceEstimate
	// failedOn lists the workers on which the kind has failed since its last
	// success.
	failedOn []string
	// avoidUntil is the time until which a suspected kind avoids these workers.
	avoidUntil clock.Mono
}

// suspectThreshold is the number of workers on which a kind may fail, without a
// success in between, before the kind itself is suspected. Up to then the failures
// count against the workers. Without it, three different jobs of a bad kind would
// quarantine one worker after the other.
const suspectThreshold = 2

// maxAvoidedWorkers bounds the failed workers recorded for a kind.
const maxAvoidedWorkers = 16

// recordFailure records a failure on a worker and reports whether the kind fails
// everywhere, so that the failure is no evidence against the worker. Further failures
// on the first suspectThreshold workers still count against those.
func (e *estimate) recordFailure(worker string, now clock.Mono) bool {
	if !e.suspected() {
		e.avoidUntil = now.Add(provenWorkerWait)
	}
	at := slices.Index(e.failedOn, worker)
	if at < 0 && len(e.failedOn) < maxAvoidedWorkers {
		e.failedOn = append(e.failedOn, worker)
	}
	return e.suspected() && (at < 0 || at >= suspectThreshold)
}

// suspected reports whether the kind has failed on more than suspectThreshold
// workers since its last success.
func (e *estimate) suspected() bool { return len(e.failedOn) > suspectThreshold }

// avoids reports whether tasks of the kind must not be placed on a worker for now.
func (e *estimate) avoids(worker string, now clock.Mono) bool {
	return e.suspected() && now < e.avoidUntil && slices.Contains(e.failedOn, worker)
}

// estimateOf returns the estimate of a team's kind, which it creates if needed.
func (s *State) estimateOf(team, kind string) *estimate {
	key := kindKey{team, kind}
	if e := s.estimates[key]; e != nil {
		return e
	}
	if len(s.kindOrder) < s.cfg.MaxKinds {
		s.kindOrder = append(s.kindOrder, key)
	} else {
		// Replaces the oldest kind. Existing jobs keep using its estimate.
		delete(s.estimates, s.kindOrder[s.oldestKind])
		s.kindOrder[s.oldestKind] = key
		s.oldestKind = (s.oldestKind + 1) % len(s.kindOrder)
	}
	e := &estimate{}
	s.estimates[key] = e
	return e
}

func (s *State) withMargin(v int64) int64 { return int64(float64(v) * s.cfg.MemoryMargin) }

// expectedSize returns the capacity to allocate to a task of j: the declared size
// or, once there are enough samples, the learned one.
func (s *State) expectedSize(j *job) amount.Vec {
	declared := j.spec.size
	if !j.est.cpu.hasEnoughSamples() {
		return declared.Max(amount.New(minCPU, minMemory, 0, 0))
	}
	return amount.New(max(minCPU, j.est.cpu.upperBound(declared.CPUMilli())),
		max(minMemory, s.withMargin(j.est.memory.upperBound(declared.MemoryMiB()))),
		declared.Accelerators(), declared.Requests())
}

// expectedRunTime returns the p95 of a task's run time or, without enough samples,
// the declared one.
func (s *State) expectedRunTime(j *job) time.Duration {
	declared := s.declaredRunTime(j)
	if j.est.runTime.hasEnoughSamples() {
		return time.Duration(j.est.runTime.upperBound(int64(declared)))
	}
	return declared
}

func (s *State) declaredRunTime(j *job) time.Duration {
	if j.spec.runTime == 0 {
		return defaultRunTime
	}
	return min(j.spec.runTime, maxRunTime)
}

// learnSize adds a task's peak usage to the estimate of its kind. It is also called
// while the task is running, because samples at the end of long tasks would come
// too late.
func (s *State) learnSize(t *task) {
	t.job.est.cpu.add(t.peak.CPUMilli(), t.job.spec.size.CPUMilli())
	t.job.est.memory.add(t.peak.MemoryMiB(), t.job.spec.size.MemoryMiB())
}
