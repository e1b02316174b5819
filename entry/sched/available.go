package sched

import "time"

// A stop ends the work of a service task, and cannot be taken back. What the owner knows of the
// other tasks of its step is as old as their workers' last reports. So another task counts as
// available only if its worker has listed it at work a short time ago and nothing has spoken against it
// since, and the task that is to be stopped counts as at work in any case.

// maxReportAge is how long after a worker's last report its runs count as available. Workers that
// answer report more often, whatever the load of the owner.
const maxReportAge = 3 * time.Second

// disruptionAllowed reports whether a service task's run may be interrupted: no more than
// MaxUnavailable tasks of its step are unavailable then.
func (s *State) disruptionAllowed(r *run) bool {
	st := r.task.step
	return st.spec.MaxUnavailable == 0 || s.unavailableWithout(st, func(o *run) bool { return o.task == r.task }) <= st.spec.MaxUnavailable
}

// unavailableWithout returns how many tasks of a step are unavailable, or would be if the runs for which
// ends returns true ended.
func (s *State) unavailableWithout(st *step, ends func(*run) bool) int {
	n := st.spec.Count
	for _, r := range st.liveRuns {
		if !ends(r) && r.task.run == r && s.isAvailable(r) {
			n--
		}
	}
	return n
}

// MayEndRuns reports whether all runs on a worker may be ended at once: no step has more than
// MaxUnavailable tasks that are unavailable then. It is true for a worker without runs.
func (s *State) MayEndRuns(workerID string) bool {
	w := s.workers[workerID]
	if w == nil {
		return true
	}
	for _, r := range w.runs {
		st := r.task.step
		if st.spec.MaxUnavailable == 0 || r.task.done || st.job.final() {
			continue
		}
		if s.unavailableWithout(st, func(o *run) bool { return o.worker == w }) > st.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// isAvailable reports whether a service task's run is certainly at work: the worker's present
// incarnation has listed it with its startup complete, and the worker answers and is on the platform's
// list. No stop is under way, neither of this owner nor of a former one, which takes MaxStopDuration
// at most once this owner has read the worker's runs.
func (s *State) isAvailable(r *run) bool {
	w := r.worker
	if r.stopping || r.firstListedAt == 0 || r.progress < progressComplete {
		return false
	}
	if w.pollFailed || !s.isReporting(w) || s.now.Sub(r.lastListedAt) > maxReportAge {
		return false
	}
	return r.startToken != 0 || r.lastListedAt.Sub(r.firstListedAt) > s.cfg.MaxStopDuration
}

// mayRepeatStop reports whether a stop that has not taken effect may be sent again. Tasks that were
// available when it was decided may be unavailable now.
func (s *State) mayRepeatStop(r *run) bool {
	if r.task.done || r.task.step.job.final() {
		return true
	}
	switch r.stopReason {
	case ReasonWorkerExits:
		return !r.task.step.spec.Service || r.worker.spec.Draining || s.disruptionAllowed(r)
	case ReasonPaused:
		return s.disruptionAllowed(r)
	default:
		return true
	}
}
