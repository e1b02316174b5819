package sched

import "limpethitch.example/entry/events"

// CutShort is a run that ended without being done.
type CutShort struct {
	Queue string
	// Reason is why the run was stopped, or ReasonFailed or ReasonLost.
	Reason Reason
	// LostCoreSeconds is the work since the run's last known checkpoint.
	LostCoreSeconds float64
}

// TakeCutShort returns the runs that ended without being done since the last call.
func (s *State) TakeCutShort() []CutShort {
	out := s.cutShort
	s.cutShort = nil
	return out
}

// recordCutShort notes the end of a run that is not done.
func (s *State) recordCutShort(r *run, outcome events.RunOutcome) {
	if s.replaying || outcome == events.RunDone {
		return
	}
	c := CutShort{Queue: r.task.step.job.doc.Queue, Reason: r.stopReason}
	switch {
	case outcome == events.RunFailed:
		c.Reason = ReasonFailed
	case !r.stopping:
		c.Reason = ReasonLost
	}
	if r.confirmed {
		c.LostCoreSeconds = s.now.Sub(r.unsavedSince()).Seconds() * float64(r.size.CPUMilli()) / 1000
	}
	s.cutShort = append(s.cutShort, c)
	s.lostCoreSeconds += c.LostCoreSeconds
	if c.Reason == ReasonPreempted {
		s.preempted++
	}
}
