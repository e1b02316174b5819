package engine

import (
	"context"
	"time"

	"limpethitch.example/entry/sched"
)

// maxEndWait is how long a request for the state of a job whose last tasks run waits for their
// end. Callers often ask when the last task has just ended, and the owner learns of the end and
// stores it some milliseconds later; one that is told "running" then asks again only after a
// pause of its own.
const maxEndWait = 100 * time.Millisecond

// JobStatus is the state of a job as the owner reports it. Known is false for a job
// that the owner does not know.
type JobStatus struct {
	State sched.JobState
	Known bool
}

// Job returns the status of a job. A job whose end is not stored yet counts as
// running. If the job's last tasks run, Job waits for their end for maxEndWait at most.
func (e *Engine) Job(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	var ended <-chan struct{}
	err := e.call(ctx, func(t *term) {
		status = e.jobStatus(t, id)
		if t.mayEnd(id, status) {
			ended = t.endOf(id)
		}
	})
	if err != nil {
		return JobStatus{}, err // the loop may still write status
	}
	if ended == nil {
		return status, nil
	}
	select {
	case <-ended:
	case <-e.clk.After(maxEndWait):
		return status, nil
	case <-ctx.Done():
		return status, nil
	}
	later := status
	if err := e.call(ctx, func(t *term) { later = e.jobStatus(t, id) }); err != nil || !later.Known {
		return status, nil
	}
	return later, nil
}

// jobStatus returns the status of a job as it may be reported now.
func (e *Engine) jobStatus(t *term, id string) JobStatus {
	e.recordFinishedJobs(t, t.round+1)
	state, known := t.state.Job(id)
	if _, unstored := t.unstoredJobs[id]; unstored {
		state = sched.JobRunning
	}
	return JobStatus{State: state, Known: known}
}

// mayEnd reports whether a job is about to end: its end is being stored, or all tasks that are
// not done run.
func (t *term) mayEnd(id string, status JobStatus) bool {
	if _, unstored := t.unstoredJobs[id]; unstored {
		return true
	}
	return status.State == sched.JobRunning && t.state.LastTasksRun(id)
}

// endOf returns a channel that is closed when the end of a job is stored, or when the term ends.
func (t *term) endOf(id string) <-chan struct{} {
	c := t.endWaits[id]
	if c == nil {
		c = make(chan struct{})
		t.endWaits[id] = c
	}
	return c
}

// endStored releases the requests that wait for the end of a job.
func (t *term) endStored(id string) {
	if c := t.endWaits[id]; c != nil {
		close(c)
		delete(t.endWaits, id)
	}
}

// releaseEndWaits releases all requests that wait for the end of a job.
func (t *term) releaseEndWaits() {
	for id := range t.endWaits {
		t.endStored(id)
	}
}
