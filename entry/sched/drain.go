package sched

import (
	"time"

	"limpethitch.example/core/clock"
)

// Workers drain for two reasons: for the maintenance of their VM, or because they report
// their own shutdown with the earliest time of their exit. Runs that would be killed are
// moved to other workers before that time. For maintenance, service tasks are stopped as
// soon as their step allows a disruption, and other tasks at the deadline. On a worker that
// shuts down, service tasks are stopped immediately, and other tasks if they cannot finish
// before the exit.

// SetDrainDeadlines sets the workers that drain for maintenance and get no new tasks, each
// with the time at which its remaining runs are stopped.
func (s *State) SetDrainDeadlines(workers map[string]clock.Mono) { s.drainDeadlines = workers }

// RunCount returns the number of runs on a worker that have not ended. It is unknown
// unless the worker is listed, answers polls and has reported its runs.
func (s *State) RunCount(workerID string) (runs int, known bool) {
	w := s.workers[workerID]
	if w == nil || !s.isReporting(w) {
		return 0, false
	}
	return len(w.runs) + w.unknownRuns, true
}

const (
	// exitMargin is added to MaxStopDuration when a run is stopped before its worker
	// exits. It covers the delivery of the order and the age of the worker's report.
	exitMargin = 500 * time.Millisecond
	// minObservedProgress is the progress in percent that must be observed before a run's
	// own speed is used to estimate its end.
	minObservedProgress = 5
)

// drainWorkers stops the runs that would be killed on draining workers.
func (s *State) drainWorkers() {
	for _, w := range s.workerList {
		if len(w.runs) == 0 || w.unresponsive || !w.runsKnown {
			continue
		}
		deadline, maintenance := s.drainDeadlines[w.spec.ID]
		exiting := w.spec.Draining && w.spec.LeavesAt != 0
		if !maintenance && !exiting {
			continue
		}
		for _, r := range w.runs.copy() {
			if r.stopping || !r.confirmed {
				continue
			}
			if maintenance && s.stopForMaintenance(r, deadline) || exiting && s.stopBeforeExit(r, w.spec.LeavesAt) {
				r.task.avoidWorker = w
				s.stop(r, ReasonWorkerExits)
			}
		}
	}
}

// stopForMaintenance reports whether to stop a run now so that its worker is empty before
// the maintenance of its VM.
func (s *State) stopForMaintenance(r *run, deadline clock.Mono) bool {
	if r.task.step.spec.Service {
		return s.disruptionAllowed(r)
	}
	return s.now >= deadline
}

// stopBeforeExit reports whether to stop a run now because its worker exits at exitsAt.
// Runs that finish before stay. Checkpointing runs stay until the last moment, so that
// they save as much progress as possible; for others waiting gains nothing.
func (s *State) stopBeforeExit(r *run, exitsAt clock.Mono) bool {
	st := r.task.step
	if st.spec.Service {
		// Stops on a worker that shuts down do not count against MaxUnavailable.
		return true
	}
	if s.estimatedEnd(r) <= exitsAt {
		return false
	}
	if !st.spec.Checkpointing {
		return true
	}
	return s.now >= exitsAt.Add(-s.cfg.MaxStopDuration-exitMargin)
}

// estimatedEnd estimates when a run ends: from its own speed once enough progress was
// observed, else from the run time expected for its queue.
func (s *State) estimatedEnd(r *run) clock.Mono {
	st := r.task.step
	if gained := r.progress - r.firstProgress; gained >= minObservedProgress {
		elapsed := r.lastListedAt.Sub(r.firstListedAt)
		return r.lastListedAt.Add(elapsed * time.Duration(progressComplete-r.progress) / time.Duration(gained))
	}
	from := r.confirmedAt
	if !r.confirmed {
		from = s.now
	}
	return from.Add(time.Duration(s.runTimes.estimateMS(st.job.doc.Queue, st.spec)) * time.Millisecond)
}
