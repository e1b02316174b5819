package sched

import (
	"limpethitch.example/core/clock"
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
}
