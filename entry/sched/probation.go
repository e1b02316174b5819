package sched

import (
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
	case len(w.runs) > 0:
		return 0
	case !st.spec.Gang:
		return min(n, 1)
	case s.now < w.gangTrialAt:
		return 0
	default:
		return n
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
	w.gangTrialAt = s.now.Add(gangTrialDelay)
	if s.replaying {
		return
	}
	w.gangTrialAt = w.gangTrialAt.Add(suspectDuration)
	if w.failStreak >= suspectThreshold {
		w.suspectUntil = s.now.Add(suspectDuration)
	}
}
