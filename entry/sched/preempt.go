package sched

import (
	"cmp"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// A gang needs room for all its members at once. When batch tasks fill the workers, the CPU
// that is free lies in pieces too small for a member, and gangs wait while it is idle. Runs
// with a lower priority that save their progress are then stopped to make room, and resume
// on other workers.

const (
	// preemptAfter is the longest that a gang waits for capacity before runs are stopped for it.
	preemptAfter = 1500 * time.Millisecond
	// preemptInterval is the time between two searches for runs to stop for one gang.
	preemptInterval = 250 * time.Millisecond
	// maxSearches is the number of gangs for which a round searches. A search examines all
	// workers that the gang may use, and hundreds of gangs may wait.
	maxSearches = 2
	// maxKeptShare is the share of the workers on which room may be kept for several gangs at
	// one time. A single gang may need more.
	maxKeptShare = 0.15
	// stopReportTime is the time from the end of a stopped run to the owner's knowledge of
	// it, during which the gang's tickets must stay valid.
	stopReportTime = 200 * time.Millisecond
	// maxLostShare is the most work that may be lost or become late by the stops, as a share of
	// the gang's own. Declared run times are far off, and the gang may yet fail to start.
	maxLostShare = 0.25
	// stopInterval is the time between two stops for gangs on average. Each costs the owner a
	// stop, a start and two journal entries, which the starts of callers' tasks wait for.
	stopInterval = 5 * time.Millisecond
	// maxPreemptions is how often runs of one task are stopped for gangs.
	maxPreemptions = 2
	// roomSlack is how much longer than the longest stop a worker's room is kept for the gang
	// that runs were stopped for.
	roomSlack = 700 * time.Millisecond
)

// preemption is the room that runs are being stopped for.
type preemption struct {
	workers []*worker
	// keptUntil is when the room is given up if the gang has not started, searchedAt when
	// runs to stop were last searched for.
	keptUntil, searchedAt clock.Mono
}

// roomPending reports whether the room that is being made for a gang may still become free.
func (s *State) roomPending(st *step) bool {
	return len(st.preemption.workers) > 0 && s.now < st.preemption.keptUntil && s.inTimeFrom(st, s.now)
}

// preemptFrom returns when runs may first be stopped for a gang: after preemptAfter, because room
// may become free by itself, but no later than when half of the gang's slack is used up.
func (st *step) preemptFrom() clock.Mono {
	slack := st.job.objective.Sub(st.readyAt) - time.Duration(st.criticalPathMS)*time.Millisecond
	return st.readyAt.Add(min(preemptAfter, slack/2))
}

// keepRoom reserves the workers on which room is being made for waiting gangs, and returns
// their number.
func (s *State) keepRoom() int {
	kept := 0
	for _, st := range s.waiting {
		if !s.roomPending(st) {
			st.preemption.workers = nil
			continue
		}
		kept += len(st.preemption.workers)
		for _, w := range st.preemption.workers {
			w.reservedFor = st
		}
	}
	return kept
}

// roomLimit returns on how many more workers room may be made for a gang while it is kept on
// the given number.
func (s *State) roomLimit(kept int) int {
	if kept == 0 {
		return len(s.index.open)
	}
	return int(maxKeptShare*float64(len(s.index.open))) - kept
}

// memberRoom is the room for one member of a gang on a worker, and the runs that are stopped
// for it.
type memberRoom struct {
	worker *worker
	stops  []victim
	// cost is that of the runs that are stopped for this member or, if that is more, for an
	// earlier one on the same worker, which comes first.
	cost float64
}

// preemptFor stops runs on at most limit workers to make room for a gang that does not fit,
// if they lose little work compared to the gang's. It first renews the tickets that would
// expire before the runs have stopped. It returns the number of workers on which it stopped
// runs.
func (s *State) preemptFor(st *step, limit int) int {
	p := &st.preemption
	stoppedAt := s.stoppedAt()
	if s.now < s.nextStopAt || !s.inTimeFrom(st, stoppedAt) {
		return 0
	}
	if limit <= 0 || s.scratch.searches == maxSearches || s.now < st.preemptFrom() || s.now.Sub(p.searchedAt) < preemptInterval {
		return 0
	}
	s.scratch.searches++
	p.searchedAt = s.now
	if rooms := s.findRooms(st, limit, stoppedAt); rooms != nil {
		s.makeRoom(st, rooms)
		return len(p.workers)
	}
	if st.job.queue.Advice == nil {
		return 0
	}
	if rooms := s.findRooms(st, limit, 0); rooms != nil {
		s.requestAdvice(st, roomWorkers(rooms))
	}
	return 0
}

// findRooms returns rooms for all members of a gang on at most limit workers, those for which
// the least is stopped, or nil. On queues with advice the gang must hold tickets for them that
// are valid until the given time; 0 also admits expired ones.
func (s *State) findRooms(st *step, limit int, validUntil clock.Mono) []memberRoom {
	need := st.remaining
	var rooms []memberRoom
	for w := range s.allowedWorkers(st, withOrWithoutTicket, anyFreeCPU) {
		s.scratch.examined++
		if w.reservedFor != nil || !suits(w, st) || w.isOnProbation() || s.tooSlowFor(w, st) {
			continue
		}
		if st.job.queue.Advice == nil || validUntil == 0 || st.advice.allowed[w.spec.ID].expiresAt > validUntil {
			rooms = append(rooms, s.roomFor(w, st, need)...)
		}
	}
	if len(rooms) < need {
		return nil
	}
	slices.SortStableFunc(rooms, func(a, b memberRoom) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
	})
	rooms = rooms[:need]
	if len(roomWorkers(rooms)) > limit || !worthPreempting(st, rooms) {
		return nil
	}
	return rooms
}

// roomWorkers returns the workers of rooms, each once.
func roomWorkers(rooms []memberRoom) []*worker {
	var out []*worker
	for _, r := range rooms {
		if !slices.Contains(out, r.worker) {
			out = append(out, r.worker)
		}
	}
	return out
}

// worthPreempting reports whether the work that is lost or late by stopping runs is small
// compared to that of the gang, which can still be in time.
func worthPreempting(st *step, rooms []memberRoom) bool {
	lost, gang := 0.0, 0.0
	late := make(map[*job]bool)
	for _, r := range rooms {
		gang += r.worker.work(st.size, time.Duration(st.runTimeMS)*time.Millisecond)
		for _, v := range r.stops {
			lost += v.lost
			if j := v.run.task.step.job; v.late > 0 && !late[j] {
				late[j] = true
				lost += v.late
			}
		}
	}
	return lost <= maxLostShare*gang
}

// makeRoom stops runs and keeps their workers for the gang.
func (s *State) makeRoom(st *step, rooms []memberRoom) {
	st.preemption.workers = roomWorkers(rooms)
	st.preemption.keptUntil = s.now.Add(s.cfg.MaxStopDuration + roomSlack)
	for _, w := range st.preemption.workers {
		w.reservedFor = st
	}
	for _, r := range rooms {
		for _, v := range r.stops {
			v.run.task.preemptions++
			s.nextStopAt = max(s.nextStopAt, s.now).Add(stopInterval)
			s.stop(v.run, ReasonPreempted)
		}
	}
}

// roomFor returns the room for at most need members of a gang on a worker, the member for
// which stops cost least first. Runs that end soon count as ended.
func (s *State) roomFor(w *worker, st *step, need int) []memberRoom {
	if quota := st.spec.MaxPerWorker; quota > 0 {
		need = min(need, quota)
	}
	victims := s.scratch.victims[:0]
	var soon amount.Vec
	for _, r := range w.runs {
		if v, ok := s.victimOf(r, st); ok {
			victims = append(victims, v)
		} else if s.endsSoon(r) {
			soon = soon.Add(r.size)
		}
	}
	s.scratch.victims = victims
	slices.SortStableFunc(victims, func(a, b victim) int { return cmp.Compare(b.run.size.CPUMilli(), a.run.size.CPUMilli()) })
	var out []memberRoom
	free, most := w.free().Add(soon), 0.0
	for range need {
		var stops []victim
		stops, victims, free = takeVictims(victims, free, st.size)
		if !st.size.Fits(free) {
			break
		}
		free = free.Sub(st.size)
		cost := 0.0
		for _, v := range stops {
			cost += v.cost()
		}
		most = max(most, cost)
		out = append(out, memberRoom{worker: w, stops: stops, cost: most})
	}
	return out
}

// isPreemptible reports whether a run may be stopped to make room for a gang.
func (r *run) isPreemptible(gang *step) bool {
	st := r.task.step
	return st.job.queue.Priority > gang.job.queue.Priority && st.spec.Checkpointing && !st.spec.Gang && !st.spec.Service &&
		r.confirmed && !r.stopping && r.task.preemptions < maxPreemptions
}
