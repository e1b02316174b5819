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
	// preemptAfter is how long a gang waits for capacity before runs are stopped for it.
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
	// preemptionLoss is the work that a stopped run is taken to lose: what it did since its
	// last checkpoint, and the time to stop and to resume.
	preemptionLoss = 1500 * time.Millisecond
	// maxLostShare is the most work that stopped runs may lose together, as a share of the
	// gang's own.
	maxLostShare = 0.25
	// maxPreemptedProgress is the progress, in percent, from which a run is not stopped.
	maxPreemptedProgress = 75
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
	return len(st.preemption.workers) > 0 && s.now < st.preemption.keptUntil
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
	stops  []*run
	// lostCPU is the CPU of the runs that are stopped for this member or, if that is more,
	// for an earlier one on the same worker, which comes first.
	lostCPU int64
}

// preemptFor stops runs on at most limit workers to make room for a gang that does not fit,
// if they lose little work compared to the gang's. It first renews the tickets that would
// expire before the runs have stopped. It returns the number of workers on which it stopped
// runs.
func (s *State) preemptFor(st *step, limit int) int {
	p := &st.preemption
	if limit <= 0 || s.scratch.searches == maxSearches || s.now.Sub(st.readyAt) < preemptAfter || s.now.Sub(p.searchedAt) < preemptInterval {
		return 0
	}
	s.scratch.searches++
	p.searchedAt = s.now
	stoppedAt := s.now.Add(s.cfg.MaxStopDuration + stopReportTime)
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
		if w.reservedFor != nil || !suits(w, st) || w.isOnProbation() {
			continue
		}
		if st.job.queue.Advice == nil || validUntil == 0 || st.advice.allowed[w.spec.ID].expiresAt > validUntil {
			rooms = append(rooms, w.roomFor(st, need)...)
		}
	}
	if len(rooms) < need {
		return nil
	}
	slices.SortStableFunc(rooms, func(a, b memberRoom) int {
		return cmp.Or(cmp.Compare(a.lostCPU, b.lostCPU), cmp.Compare(a.worker.spec.ID, b.worker.spec.ID))
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

// worthPreempting reports whether the work lost by stopping runs is small compared to that of
// the gang.
func worthPreempting(st *step, rooms []memberRoom) bool {
	lost := int64(0)
	for _, r := range rooms {
		for _, v := range r.stops {
			lost += v.size.CPUMilli()
		}
	}
	gang := int64(st.remaining) * st.size.CPUMilli() * st.runTimeMS
	return float64(lost*preemptionLoss.Milliseconds()) <= maxLostShare*float64(gang)
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
			v.task.preemptions++
			s.stop(v, ReasonPreempted)
		}
	}
}

// roomFor returns the room for at most need members of a gang on a worker, the member for
// which the least is stopped first.
func (w *worker) roomFor(st *step, need int) []memberRoom {
	if quota := st.spec.MaxPerWorker; quota > 0 {
		need = min(need, quota)
	}
	var victims []*run
	for _, r := range w.runs {
		if r.isPreemptible(st) {
			victims = append(victims, r)
		}
	}
	slices.SortStableFunc(victims, func(a, b *run) int { return cmp.Compare(b.size.CPUMilli(), a.size.CPUMilli()) })
	var out []memberRoom
	free, lost := w.free(), int64(0)
	for range need {
		var stops []*run
		stops, victims, free = takeVictims(victims, free, st.size)
		if !st.size.Fits(free) {
			break
		}
		free = free.Sub(st.size)
		cpu := int64(0)
		for _, v := range stops {
			cpu += v.size.CPUMilli()
		}
		lost = max(lost, cpu)
		out = append(out, memberRoom{worker: w, stops: stops, lostCPU: lost})
	}
	return out
}

// takeVictims takes runs from victims, which are ordered by size, until size fits into what
// is free. Of the runs that are enough by themselves it takes the smallest, and otherwise
// the largest of all.
func takeVictims(victims []*run, free, size amount.Vec) (stops, rest []*run, freed amount.Vec) {
	rest = slices.Clone(victims)
	for !size.Fits(free) && len(rest) > 0 {
		pick := 0
		for i, v := range rest {
			if size.Fits(free.Add(v.size)) {
				pick = i
			}
		}
		stops = append(stops, rest[pick])
		free = free.Add(rest[pick].size)
		rest = slices.Delete(rest, pick, pick+1)
	}
	return stops, rest, free
}

// isPreemptible reports whether a run may be stopped to make room for a gang.
func (r *run) isPreemptible(gang *step) bool {
	st := r.task.step
	return st.job.queue.Priority > gang.job.queue.Priority && st.spec.Checkpointing && !st.spec.Gang && !st.spec.Service &&
		r.confirmed && !r.stopping && r.progress < maxPreemptedProgress && r.task.preemptions < maxPreemptions
}
