package sched

import (
	"slices"

	"limpethitch.example/core/clock"
)

// scratch holds buffers that are reused between decisions.
type scratch struct {
	fits    []fit
	overdue []*step
	victims []victim
	// busyQueues counts, by queue, the steps for which no VM was free to call the advising
	// service in this round.
	busyQueues map[string]int
	// examined counts the workers examined for waiting steps in this round, searches the gangs
	// for which runs to stop were searched.
	examined, searches int
}

// Decide expires, stops, moves and starts runs as of now and returns the resulting
// decisions.
func (s *State) Decide(now clock.Mono) []Decision {
	s.now = max(s.now, now)
	s.openDueOccurrences()
	s.endExpiredRuns()
	s.noteLeases()
	s.fenceRestarted()
	s.duplicateUnresponsive()
	if s.now.Sub(s.runsCheckedAt) >= runCheckInterval {
		s.runsCheckedAt = s.now
		s.resendStops()
		s.stopStalled()
		s.moveFromSlow()
	}
	s.drainWorkers()
	s.refreshPastUse()
	s.placeWaiting()
	s.repeatStarts()
	return s.TakeDecisions()
}

// TakeDecisions returns the pending decisions that events caused, such as stops of
// cancelled jobs, without placing any task.
func (s *State) TakeDecisions() []Decision {
	out := s.decisions
	s.decisions = nil
	return out
}

// RequestAdvice requests advice as of now for waiting steps that have received none, and
// returns these decisions. It starts nothing and records no events, so it may be called
// while the events of a round are being stored: with a slow store, steps would otherwise wait
// for one write after the other before they are even asked about.
func (s *State) RequestAdvice(now clock.Mono) []Decision {
	s.now = max(s.now, now)
	s.sortWaiting()
	s.indexWorkers()
	for _, st := range s.waiting {
		if st.job.queue.Advice != nil && st.advice.answered == nil && !s.waitingForAdvice(st) {
			s.requestFurtherAdvice(st)
		}
	}
	return s.TakeDecisions()
}

// stillWaits reports whether a step has tasks that wait for a worker. A step that has none
// leaves the waiting steps.
func (s *State) stillWaits(st *step) bool {
	if st.job.final() || st.remaining == 0 || st.unassigned == 0 {
		st.queued = false
		s.releaseReserved(st)
		return false
	}
	return true
}

// sortWaiting drops the steps that no longer wait and sorts the others by rank. Steps whose
// result has no value any more move to the overdue ones.
func (s *State) sortWaiting() {
	clear(s.scratch.busyQueues)
	keep := s.waiting[:0]
	for _, st := range s.waiting {
		if !s.stillWaits(st) {
			continue
		}
		st.rank = s.rankOf(st)
		if st.rank.class == classWorthless {
			s.overdue = append(s.overdue, st)
			continue
		}
		keep = append(keep, st)
	}
	clear(s.waiting[len(keep):])
	s.waiting = keep
	slices.SortStableFunc(s.waiting, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// placeWaiting starts the tasks of waiting steps that fit, in the order of their ranks. It
// renews the capacity reservations for gangs that do not fit.
func (s *State) placeWaiting() {
	s.sortWaiting()
	s.indexWorkers()
	for _, w := range s.workerList {
		w.reservedFor = nil
	}
	kept, reservedGangs := s.keepRoom(), 0
	for _, st := range s.waiting {
		placed := s.place(st)
		s.noteDelay(st)
		if placed || st.rank.class != classOnTime {
			continue
		}
		if n := s.preemptFor(st, s.roomLimit(kept)); n > 0 {
			kept += n
			continue
		}
		if reservedGangs < maxReservedGangs && s.now.Sub(st.readyAt) >= reserveAfter && s.reserveCapacity(st) {
			reservedGangs++
		}
	}
	s.placeOverdue()
}

// maxOverduePerRound is the number of overdue steps that a round examines. They may be many
// after an outage, and a round must not take longer for each of them.
const maxOverduePerRound = 256

// placeOverdue starts tasks of the overdue steps that were examined longest ago, in the
// order of their ranks.
func (s *State) placeOverdue() {
	n := min(maxOverduePerRound, len(s.overdue))
	batch := append(s.scratch.overdue[:0], s.overdue[:n]...)
	clear(s.overdue[:n])
	s.overdue = s.overdue[n:]
	for _, st := range batch {
		st.rank = s.rankOf(st)
	}
	slices.SortStableFunc(batch, func(a, b *step) int { return a.rank.compare(b.rank) })
	for _, st := range batch {
		if !s.stillWaits(st) {
			continue
		}
		s.place(st)
		s.noteDelay(st)
		switch {
		case !s.stillWaits(st):
		case st.rank.class == classWorthless:
			s.overdue = append(s.overdue, st)
		default:
			s.waiting = append(s.waiting, st)
		}
	}
	clear(batch)
	s.scratch.overdue = batch
}

// place starts tasks of a step, or requests the advice that it lacks. It returns false for
// a gang that lacks capacity and waits for nothing else.
func (s *State) place(st *step) bool {
	if st.spec.Gang {
		return s.placeGang(st)
	}
	s.placeTasks(st)
	return true
}
