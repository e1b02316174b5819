package sched

import (
	"cmp"
	"slices"

	"limpethitch.example/core/amount"
	"limpethitch.example/entry/events"
)

// acceptsWork reports whether a worker may get new tasks of any kind.
func (s *State) acceptsWork(w *worker) bool {
	if !s.isReporting(w) || w.pollFailed || !w.isDescribed() || w.spec.Draining || s.outOfService[w.spec.DataCentre] {
		return false
	}
	return s.now >= w.suspectUntil && s.drainDeadlines[w.spec.ID] == 0 && s.MayExtendLease(w.spec.ID)
}

// isReporting reports whether the worker is listed or may be listed again, answers polls and
// has reported its runs to this owner.
func (s *State) isReporting(w *worker) bool {
	return s.isUsable(w) && w.runsKnown && !w.unresponsive
}

// capacityFor returns how many more tasks of a step fit on a worker, at most n. Capacity
// that is reserved for a gang is open only to that gang and to queues with a higher
// priority than the gang's.
func (s *State) capacityFor(w *worker, st *step, n int) int {
	if w.reservedFor != nil && w.reservedFor != st && st.job.queue.Priority >= w.reservedFor.job.queue.Priority {
		return 0
	}
	if w.isOnProbation() {
		n = s.trialCapacity(w, st, n)
	}
	free := w.free()
	s.scratch.examined++
	n = fitCountVec(free, st.size, n)
	if quota := st.spec.MaxPerWorker; quota > 0 {
		for _, r := range st.liveRuns.copy() {
			if r.worker == w {
				quota--
			}
		}
		n = min(n, quota)
	}
	return max(0, n)
}

// fitCountVec returns how often size fits into free in all dimensions, at most limit.
func fitCountVec(free, size amount.Vec, limit int) int {
	limit = min(limit, fitCount(free.CPUMilli(), size.CPUMilli(), limit))
	limit = min(limit, fitCount(free.MemoryMiB(), size.MemoryMiB(), limit))
	return min(limit, fitCount(free.Accelerators(), size.Accelerators(), limit))
}

// fitCount returns how often size fits into free; an empty size fits limit times.
func fitCount(free, size int64, limit int) int {
	if size <= 0 {
		return limit
	}
	return int(max(0, free) / size)
}

// fit is a worker and the number of tasks of a step that fit on it.
type fit struct {
	worker *worker
	count  int
	cost   float64
	// trial is whether the worker is on probation and the step a gang, which tries it only if
	// the other workers do not suffice.
	trial bool
}

// compare orders workers before those that a gang would try on probation, and lower costs
// first.
func (f fit) compare(o fit) int {
	switch {
	case f.trial == o.trial:
		return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.worker.spec.ID, o.worker.spec.ID))
	case o.trial:
		return -1
	default:
		return 1
	}
}

// placementPenalty is added to the cost of a worker that comes after all others: one outside
// the rack that holds a step's data, or, for fillers, one with a service task that has a
// latency bound. It outweighs any difference in free CPU between two workers.
const placementPenalty = 1e9

// lastResortPenalty is added to the cost of a slow worker and of one that is reserved for a gang,
// so that tasks which may use it do so only if nothing else is free. It outweighs any difference
// in free CPU, too.
const lastResortPenalty = 1e8

// findFits returns the workers that a step may use and that have capacity for its tasks.
// Best fit: the least free CPU comes first, so that large blocks of free capacity stay
// unfragmented. Workers in the rack that holds the data come before all others. The
// result is valid until the next call.
func (s *State) findFits(st *step, n int, tickets ticketFilter) []fit {
	if st.size.CPUMilli() > s.index.maxFreeCPU() {
		return nil
	}
	out := s.scratch.fits[:0]
	for w := range s.allowedWorkers(st, tickets, st.size.CPUMilli()) {
		if !suits(w, st) || st.spec.Filler && !w.acceptsFillers() {
			continue
		}
		count := s.capacityFor(w, st, n)
		if count == 0 || s.tooSlowFor(w, st) {
			continue
		}
		cost := float64(w.free().CPUMilli())
		if st.spec.Filler {
			cost = w.fillerCost()
		}
		if st.spec.DataRack != "" && !slices.Contains(w.spec.Labels, st.spec.DataRack) {
			cost += placementPenalty
		}
		if w.reservedFor != nil && w.reservedFor != st {
			cost += lastResortPenalty
		}
		if s.avoids(w) {
			cost += lastResortPenalty
		}
		out = append(out, fit{worker: w, count: count, cost: cost, trial: st.spec.Gang && w.isOnProbation()})
	}
	slices.SortFunc(out, fit.compare)
	s.scratch.fits = out
	return out
}

// placeTasks starts as many tasks of a step as fit, and requests advice for the rest.
func (s *State) placeTasks(st *step) {
	if s.waitingForAdvice(st) && len(st.advice.allowed) == 0 {
		return
	}
	if !s.withinLimit(st, st.spec.Declared()) {
		return
	}
	fits := s.findFits(st, st.unassigned, withTicket)
	next := 0
	for _, t := range st.tasks {
		if next == len(fits) {
			break
		}
		if !t.isWaiting() {
			continue
		}
		if t.avoidWorker == fits[next].worker && len(fits) > next+1 {
			fits[next], fits[next+1] = fits[next+1], fits[next]
		}
		if !s.withinLimit(st, st.spec.Declared()) {
			return
		}
		s.start(t, fits[next].worker, t.attempt+1)
		fits[next].count--
		if fits[next].count == 0 {
			next++
		}
	}
	if st.unassigned > 0 {
		s.requestAdviceForTasks(st)
	}
}

// start records and emits the start of a task on a worker.
func (s *State) start(t *task, w *worker, attempt int) {
	r := s.newRun(t, w, attempt)
	r.awaitsAnswer, r.ticketed = true, t.step.advice.ticket(w) != ""
	s.record(events.Start(t.id(), attempt, w.spec.ID, w.spec.BootUnixMS))
	s.emit(Start{
		Task: t.id(), Attempt: attempt, Worker: w.spec.ID, Addr: w.spec.Addr, Spec: t.step.job.doc.Spec,
		Checkpoint: t.checkpoint, Ticket: t.step.advice.ticket(w),
	})
	r.progress = 0
}
