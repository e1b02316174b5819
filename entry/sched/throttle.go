package sched

import (
	"time"

	"limpethitch.example/entry/graph"
)

// Fillers share a worker with service tasks and slow them down by amounts that differ by
// image and change within seconds. The fillers' speed is therefore controlled by the tail
// latencies that the worker reports with each poll: decreased immediately when one comes
// near its bound, and increased slowly while all are well below their bounds.
const (
	// The thresholds are shares of a service task's tail latency bound: fillers are slowed
	// from throttleAt, paused from pauseAt and sped up below speedUpBelow.
	throttleAt   = 0.8
	pauseAt      = 1.0
	speedUpBelow = 0.6
	// speedUpStep is the increase per order in percent, fullSpeed the unthrottled speed.
	speedUpStep = 15
	fullSpeed   = 100
	// speedUnknown is the speed of a run that a former owner started.
	speedUnknown = -1
	// throttleInterval is the minimum time between two orders that do not slow a run
	// further. The reports cover the last half second, and an order takes effect only with
	// the next period in which the worker enforces a run's speed.
	throttleInterval = 700 * time.Millisecond
	// maxPause is how long a filler is paused before it is moved to another worker.
	maxPause = 3 * time.Second
)

// tailLatencyRatio returns the highest ratio of tail latency to its bound among a worker's
// service tasks, or 0 if none has a bound.
func (w *worker) tailLatencyRatio() float64 {
	highest := 0.0
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.Service && spec.MaxTailLatencyMS > 0 && r.confirmed && !r.stopping {
			highest = max(highest, float64(r.tailLatencyMS)/float64(spec.MaxTailLatencyMS))
		}
	}
	return highest
}

// nextSpeed returns the next speed of a filler in percent, given the latency ratio on its
// worker.
func nextSpeed(current int, latencyRatio float64) int {
	switch {
	case latencyRatio >= pauseAt:
		return 0
	case latencyRatio >= throttleAt:
		return max(current, 0) / 2
	case latencyRatio >= speedUpBelow:
		return current
	case current == speedUnknown:
		return fullSpeed
	default:
		return min(fullSpeed, current+speedUpStep)
	}
}

// throttleFillers adjusts the speed of a worker's fillers after a report.
func (s *State) throttleFillers(w *worker) {
	latencyRatio := -1.0
	for _, r := range w.runs.copy() {
		if !r.task.step.spec.Filler || !r.confirmed || r.stopping {
			continue
		}
		if latencyRatio < 0 {
			latencyRatio = w.tailLatencyRatio()
		}
		s.throttleRun(r, nextSpeed(r.speedPercent, latencyRatio))
	}
}

// throttleRun orders a new speed for a filler, or repeats a lost order, or stops the filler if it was
// paused for too long.
func (s *State) throttleRun(r *run, next int) {
	if next != 0 {
		r.pausedSince = 0
	} else if r.pausedSince == 0 {
		r.pausedSince = s.now
	}
	if r.pausedSince != 0 && s.now.Sub(r.pausedSince) >= maxPause && s.disruptionAllowed(r) {
		r.task.avoidWorker = r.worker
		s.stop(r, ReasonPaused)
		return
	}
	if s.now.Sub(r.throttledAt) < throttleInterval {
		next = min(next, r.speedPercent)
	}
	if next == r.speedPercent && !r.speedUncertain {
		return
	}
	r.speedPercent, r.throttledAt, r.speedUncertain = next, s.now, false
	s.emit(Throttle{Task: r.task.id(), Attempt: r.attempt, Worker: r.worker.spec.ID, Percent: next})
}

// ThrottleFailed records that a throttle order was not sent or not answered, so that the run may have
// any speed that was ordered before. The worker's next report repeats the order.
func (s *State) ThrottleFailed(id graph.TaskID, attempt int, workerID string) {
	if r := s.findRun(s.workers[workerID], id, attempt); r != nil {
		r.speedUncertain = true
	}
}

// fillerCost returns the placement cost of a worker for a filler. Workers without service
// tasks that have a latency bound come first, and of these the ones with the least CPU in
// use.
func (w *worker) fillerCost() float64 {
	cost := float64(w.used.CPUMilli())
	for _, r := range w.runs {
		spec := r.task.step.spec
		if spec.Service && spec.MaxTailLatencyMS > 0 {
			cost += placementPenalty
		}
	}
	return cost
}

// acceptsFillers reports whether the tail latencies of a worker's service tasks allow
// another filler.
func (w *worker) acceptsFillers() bool { return w.tailLatencyRatio() < speedUpBelow }
