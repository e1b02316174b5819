package sched

import (
	"slices"
	"time"

	"limpethitch.example/entry/events"
)

const (
	// suspectDuration is how long a suspected worker gets no new tasks.
	suspectDuration = 4 * time.Second
	// unreachableDuration is how long a worker gets no new tasks after a start did not
	// reach it or was rejected.
	unreachableDuration = 600 * time.Millisecond
	// probationThreshold is the number of consecutive failures from which a worker is on
	// probation, suspectThreshold that from which it is suspected. Two in a row are common on
	// healthy workers, because some runs fail by their own fault.
	probationThreshold = 2
	suspectThreshold   = 3
	// gangTrialDelay is how long tasks that are not gangs may try a worker on probation first,
	// after it was suspected. One failing worker costs a gang the work of all its members.
	gangTrialDelay = 2 * time.Second
	// trialTime is how long a service task must be at work to show that its worker is sound, as it
	// has no end as done, and how long another run must be until the worker gets a further one.
	trialTime = 3 * time.Second
)

// isOnProbation reports whether a worker has failed since its last success as suspected
// workers do. It is then tried with one task or one gang at a time: a worker that fails all
// that it starts would otherwise fail as many tasks as fit each time that it is tried again,
// and after each change of the owner.
func (w *worker) isOnProbation() bool { return w.failStreak >= probationThreshold }

// trialCapacity returns how many of n tasks of a step a worker on probation may get. Gangs try
// it later than other tasks, but they do: only a success ends the probation, and perhaps
// nothing but gangs waits.
func (s *State) trialCapacity(w *worker, st *step, n int) int {
	switch {
	case w.hasTrial(st.spec.Gang):
		return 0
	case !st.spec.Gang:
		return min(n, 1)
	case s.now < w.gangTrialAt:
		return 0
	default:
		return n
	}
}

// hasTrial reports whether a run on the worker may soon show whether the worker is sound. Runs from
// before its last failure do not, and those that work for long do not soon: both may take
// hours, in which nothing else would start. For a gang the latter count, as the worker may fail
// all members.
func (w *worker) hasTrial(gang bool) bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool {
		return r.decidedAt >= w.failedAt && !r.hasServed() && (gang || !r.hasWorked())
	})
}

// hasWorked reports whether the run makes progress and has been at work for trialTime. Time
// without reports does not count.
func (r *run) hasWorked() bool {
	return r.firstListedAt != 0 && r.progress > r.firstProgress && r.lastListedAt.Sub(r.firstListedAt) >= trialTime
}

// hasServed reports whether the run is a service task that has been at work for
// trialTime. Time without reports does not count.
func (r *run) hasServed() bool {
	return r.task.step.spec.Service && r.progress >= progressComplete && r.lastListedAt.Sub(r.progressedAt) >= trialTime
}

// evaluateService ends the probation of a worker on which a service task works that was
// started after the worker's last failure.
func (s *State) evaluateService(r *run) {
	w := r.worker
	if w.isOnProbation() && r.hasServed() && !r.partial && r.confirmedAt > w.failedAt {
		w.failStreak, w.failedJobs = 0, nil
	}
}

// evaluateWorker updates a worker's failure record after a run. Failures of different
// jobs without a success in between make the worker suspected. A job that has failed on
// another worker or repeatedly may itself be at fault, unless the worker is on probation.
// Failures in the journal of former owners say nothing about the worker's present state,
// except that it is tried with one task first.
func (s *State) evaluateWorker(w *worker, r *run, outcome events.RunOutcome) {
	switch outcome {
	case events.RunDone:
		w.failStreak, w.failedJobs = 0, nil
	case events.RunFailed:
		s.countWorkerFailure(w, r.task.step.job)
	case events.RunStopped, events.RunLost:
	}
}

// countWorkerFailure counts a failed run of a job against its worker.
func (s *State) countWorkerFailure(w *worker, j *job) {
	onProbation := w.isOnProbation() && !s.replaying
	if j.firstFailedOn == "" {
		j.firstFailedOn = w.spec.ID
	}
	_, counted := w.failedJobs[j.doc.ID]
	if (counted || j.firstFailedOn != w.spec.ID) && !onProbation {
		return
	}
	if w.failedJobs == nil {
		w.failedJobs = make(map[string]struct{})
	}
	w.failedJobs[j.doc.ID] = struct{}{}
	w.failStreak++
	w.failedAt, w.gangTrialAt = s.now, s.now.Add(gangTrialDelay)
	if s.replaying {
		return
	}
	w.gangTrialAt = w.gangTrialAt.Add(suspectDuration)
	if w.failStreak >= suspectThreshold {
		w.suspectUntil = s.now.Add(suspectDuration)
	}
}
