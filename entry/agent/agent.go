// Package agent implements the client side of the worker protocol. It starts,
// lists, checkpoints, throttles, resumes and stops tasks on workers and renews
// their leases.
//
// # Usage
//
//	w := agent.New(agent.Config{})
//	t := agent.NewTask("job1.0", 1, "job1", "ana", size, lease).WithPayload(program)
//	err := w.Start(ctx, "127.0.0.1:9400", t)
//	list, err := w.Renew(ctx, addr, lease, []string{"job1.0"}, nil)
//
// Each call is sent at most once. If the code of an error is NotRun, the worker
// certainly did not execute the call. With rcode.OutcomeUnknown it may have.
package agent

import (
	"context"
	"time"

	"limpethitch.example/core/amount"
)

// Worker is the set of calls that the scheduler makes to workers. Each addr has
// the form IP:PORT.
type Worker interface {
	// Start starts a task. It fails with rcode.IDReused if the worker already
	// lists a running or ended task with this id, and with rcode.DeadlinePassed
	// if the lease had expired when the request arrived.
	Start(ctx context.Context, addr string, t Task) error
	// Renew extends the leases of the tasks in ids and returns all tasks that the
	// worker lists. The worker deletes the ended tasks in ack from its list.
	Renew(ctx context.Context, addr string, lease time.Time, ids, ack []string) ([]TaskStatus, error)
	// Checkpoint saves a task's progress. Like Throttle, Resume and Stop, it
	// fails with rcode.JobUnknown if the worker does not list the task.
	Checkpoint(ctx context.Context, addr, id string) error
	// Throttle reduces the speed of a task.
	Throttle(ctx context.Context, addr, id string) error
	// Resume restores a throttled task to full speed.
	Resume(ctx context.Context, addr, id string) error
	// Stop terminates a task without a checkpoint.
	Stop(ctx context.Context, addr, id string) error
}

// State is the state of a task on its worker.
type State string

// States of a task. StateExpired is a task that its worker stopped because its
// lease was not renewed.
const (
	StateRunning   State = "running"
	StateThrottled State = "throttled"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateStopped   State = "stopped"
	StateExpired   State = "lapsed"
)

// Running reports whether the task uses resources of its worker.
func (s State) Running() bool { return s == StateRunning || s == StateThrottled }

func (s State) known() bool {
	switch s {
	case StateRunning, StateThrottled, StateDone, StateFailed, StateStopped, StateExpired:
		return true
	}
	return false
}

// Task is the request to start one attempt of a task.
type Task struct {
	id, job, team string
	attempt       int64
	size          amount.Vec
	lease         time.Time
	checkpointMS  int64
	payload       []byte
}

// NewTask returns a task whose lease expires at the wall time lease.
func NewTask(id string, attempt int64, job, team string, size amount.Vec, lease time.Time) Task {
	return Task{id: id, attempt: attempt, job: job, team: team, size: size, lease: lease}
}

// WithCheckpoint returns a copy of t that resumes from the checkpoint of an
// earlier attempt, as reported by TaskStatus.CheckpointMS.
func (t Task) WithCheckpoint(ms int64) Task {
	t.checkpointMS = ms
	return t
}

// WithPayload returns a copy of t with the job's payload. The bytes are shared
// with the caller.
func (t Task) WithPayload(p []byte) Task {
	t.payload = p
	return t
}

// WithLease returns a copy of t whose lease expires at lease.
func (t Task) WithLease(lease time.Time) Task {
	t.lease = lease
	return t
}

// ID returns the task's id.
func (t Task) ID() string { return t.id }

// Attempt returns the number of the attempt. Later attempts of a task have
// greater numbers.
func (t Task) Attempt() int64 { return t.attempt }

// Job returns the id of the task's job.
func (t Task) Job() string { return t.job }

// Team returns the team that the task runs for.
func (t Task) Team() string { return t.team }

// Size returns the resources reserved for the task.
func (t Task) Size() amount.Vec { return t.size }

// Lease returns the wall time at which the lease expires.
func (t Task) Lease() time.Time { return t.lease }

// TaskStatus is the state of a task as reported by its worker.
type TaskStatus struct {
	id, job, team  string
	attempt        int64
	size, used     amount.Vec
	usedAgeMS      int64
	state          State
	checkpointMS   int64
	lease          time.Time
	started, ended time.Time
}

// NewTaskStatus returns the status of a task, for tests and for other
// implementations of Worker.
func NewTaskStatus(t Task, s State, started, ended time.Time) TaskStatus {
	return TaskStatus{
		id: t.id, job: t.job, team: t.team, attempt: t.attempt, size: t.size, lease: t.lease,
		checkpointMS: t.checkpointMS, state: s, started: started, ended: ended,
	}
}

// WithUsage returns a copy of s with a usage sample that is ageMS old and with
// the progress of the task's last checkpoint.
func (s TaskStatus) WithUsage(used amount.Vec, ageMS, checkpointMS int64) TaskStatus {
	s.used, s.usedAgeMS, s.checkpointMS = used, ageMS, checkpointMS
	return s
}

// ID returns the task's id.
func (s TaskStatus) ID() string { return s.id }

// Attempt returns the attempt number with which the task was started.
func (s TaskStatus) Attempt() int64 { return s.attempt }

// Job returns the id of the task's job.
func (s TaskStatus) Job() string { return s.job }

// Team returns the team that the task runs for.
func (s TaskStatus) Team() string { return s.team }

// Size returns the resources reserved when the task was started.
func (s TaskStatus) Size() amount.Vec { return s.size }

// State returns the state of the task.
func (s TaskStatus) State() State { return s.state }

// Lease returns the wall time at which the lease expires.
func (s TaskStatus) Lease() time.Time { return s.lease }

// Used returns the resources that the task used UsedAgeMS before the reply.
func (s TaskStatus) Used() amount.Vec { return s.used }

// UsedAgeMS returns the age of the usage sample at the time of the reply, in
// milliseconds.
func (s TaskStatus) UsedAgeMS() int64 { return s.usedAgeMS }

// CheckpointMS returns the progress of the last checkpoint, in milliseconds of
// running time.
func (s TaskStatus) CheckpointMS() int64 { return s.checkpointMS }

// Started returns the start time by the worker's wall clock.
func (s TaskStatus) Started() time.Time { return s.started }

// Ended returns the end time by the worker's wall clock. It is zero while the
// task runs.
func (s TaskStatus) Ended() time.Time { return s.ended }
