package sched

import (
	"slices"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

const (
	// maxGivenUpWorkers bounds the workers whose given-up runs are remembered. One that never
	// answers again is forgotten only when others take its place.
	maxGivenUpWorkers = 1000
	// maxGivenUpRuns bounds the runs that are remembered for each worker.
	maxGivenUpRuns = 64
)

// LeaseEnd is a worker whose leases were taken as ended, so that runs there were given up.
type LeaseEnd struct {
	Worker string
	// BootUnixMS is when the last known incarnation started.
	BootUnixMS int64
	// Runs is the number of runs that were given up, Unconfirmed that of those which the
	// worker neither accepted nor listed under this owner.
	Runs, Unconfirmed int
	// SilentSince is when the worker became unresponsive under this owner; 0 is not known, as
	// for a delisted worker or one that a former owner listed as not answering.
	SilentSince clock.Mono
}

// TakeLeaseEnds returns the workers whose leases were taken as ended since the last call.
func (s *State) TakeLeaseEnds() []LeaseEnd {
	out := s.leaseEnds
	s.leaseEnds = nil
	return out
}

// recordLeaseEnd notes the runs of a worker that were given up because its leases have ended.
func (s *State) recordLeaseEnd(w *worker, givenUp runSet) {
	if len(givenUp) == 0 {
		return
	}
	end := LeaseEnd{Worker: w.spec.ID, BootUnixMS: w.spec.BootUnixMS, Runs: len(givenUp)}
	for _, r := range givenUp {
		if !r.confirmed {
			end.Unconfirmed++
		}
	}
	if w.unresponsive {
		end.SilentSince = w.unresponsiveSince
	}
	s.leaseEnds = append(s.leaseEnds, end)
	s.rememberGivenUp(w, givenUp)
}

// givenUpRun is a run that was given up at a time because its worker's leases had ended.
type givenUpRun struct {
	task       graph.TaskID
	attempt    int
	confirmed  bool
	bootUnixMS int64
	at         clock.Mono
}

// rememberGivenUp keeps the newest given-up runs of a worker until it answers.
func (s *State) rememberGivenUp(w *worker, givenUp runSet) {
	id := w.spec.ID
	list := s.givenUp[id]
	for _, r := range givenUp {
		list = append(list, givenUpRun{task: r.task.id(), attempt: r.attempt, confirmed: r.confirmed, bootUnixMS: w.spec.BootUnixMS, at: s.now})
	}
	s.givenUp[id] = list[max(0, len(list)-maxGivenUpRuns):]
	if len(s.givenUp) > maxGivenUpWorkers {
		s.forgetOldestGivenUp()
	}
}

// forgetOldestGivenUp forgets the worker whose last run was given up longest ago.
func (s *State) forgetOldestGivenUp() {
	oldest := ""
	var since clock.Mono
	for id, list := range s.givenUp {
		if at := list[len(list)-1].at; oldest == "" || at < since {
			oldest, since = id, at
		}
	}
	delete(s.givenUp, oldest)
}

// OutlivedRun is a run that its worker lists as running although it was given up because the
// worker's leases were taken as ended.
type OutlivedRun struct {
	Worker string
	// BootUnixMS is when the incarnation that lists the run started, GivenUpBootUnixMS that of
	// the one known when the run was given up.
	BootUnixMS, GivenUpBootUnixMS int64
	Task                          graph.TaskID
	Attempt                       int
	// Confirmed is whether the worker had accepted or listed the run under this owner before it
	// was given up.
	Confirmed bool
	GivenUpAt clock.Mono
}

// TakeOutlivedRuns returns the runs that outlived their leases, as reported since the last call.
func (s *State) TakeOutlivedRuns() []OutlivedRun {
	out := s.outlived
	s.outlived = nil
	return out
}

// checkGivenUp notes the given-up runs of a worker that a report still lists, and forgets them
// all. A poll sent before a run was given up proves nothing about it: its reply may be as old.
func (s *State) checkGivenUp(rep Report) {
	var later []givenUpRun
	for _, g := range s.givenUp[rep.Worker] {
		if rep.PolledAt <= g.at {
			later = append(later, g)
			continue
		}
		if slices.ContainsFunc(rep.Running, func(r RunStatus) bool { return r.Task == g.task && r.Attempt == g.attempt }) {
			s.outlived = append(s.outlived, OutlivedRun{
				Worker: rep.Worker, BootUnixMS: rep.BootUnixMS, GivenUpBootUnixMS: g.bootUnixMS, Task: g.task, Attempt: g.attempt,
				Confirmed: g.confirmed, GivenUpAt: g.at,
			})
		}
	}
	if len(later) > 0 {
		s.givenUp[rep.Worker] = later
		return
	}
	delete(s.givenUp, rep.Worker)
}
