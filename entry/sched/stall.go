package sched

import "time"

const (
	// stalledAfter is how long a run may go without progress, in addition to a tenth of
	// its declared run time. Even the longest healthy runs advance by one percent much
	// sooner.
	stalledAfter     = 2500 * time.Millisecond
	progressComplete = 100 // percent
	// runCheckInterval is the time between two checks of all runs for stalls and for stops
	// that took no effect, which both take much longer to show.
	runCheckInterval = 100 * time.Millisecond
)

// stopStalled stops runs that make no progress, so that they are restarted on another
// worker.
func (s *State) stopStalled() {
	for _, w := range s.workerList {
		for _, r := range w.runs {
			st := r.task.step
			if !r.confirmed || r.stopping || st.spec.Service || st.spec.Filler || r.progress >= progressComplete {
				continue
			}
			// Time without reports does not count: the run may go on while the worker is
			// unreachable.
			if r.lastListedAt.Sub(r.progressedAt) < stalledAfter+time.Duration(st.spec.EstimateMS)*time.Millisecond/10 {
				continue
			}
			w.suspectUntil = s.now.Add(suspectDuration)
			r.task.avoidWorker = w
			s.stop(r, ReasonStalled)
		}
	}
}
