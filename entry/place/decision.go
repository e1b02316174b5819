package place

import (
	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// Decision is one of Start, Preempt, Offer and Drop.
type Decision interface{ decision() }

// Start allocates capacity on a worker and starts a task there.
type Start struct {
	task, job, worker string
	member            int
	size              amount.Vec
	runEnd            clock.Mono
}

// Task returns the task's id.
func (d Start) Task() string { return d.task }

// Job returns the id of the task's job.
func (d Start) Job() string { return d.job }

// Member returns the task's number in its job.
func (d Start) Member() int { return d.member }

// Worker returns the id of the worker on which the task starts.
func (d Start) Worker() string { return d.worker }

// Size returns the capacity allocated to the task.
func (d Start) Size() amount.Vec { return d.size }

// RunEnd returns the latest time at which the task is expected to end.
func (d Start) RunEnd() clock.Mono { return d.runEnd }

// Action is what a preempted task has to do.
type Action string

// Actions of a preemption, from the mildest to the harshest.
const (
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
)

// Preempt makes a task give up capacity. A checkpointed task stops once its
// checkpoint is saved.
type Preempt struct {
	task, worker   string
	action         Action
	size           amount.Vec
	actionDeadline clock.Mono
}

// Task returns the task's id.
func (d Preempt) Task() string { return d.task }

// Worker returns the id of the worker on which the task runs.
func (d Preempt) Worker() string { return d.worker }

// Action returns what the task has to do.
func (d Preempt) Action() Action { return d.action }

// Size returns the amount to which a throttled task is limited. A later throttle
// with a larger amount replaces the earlier one.
func (d Preempt) Size() amount.Vec { return d.size }

// Deadline returns when a harsher action may follow if the task has not complied.
func (d Preempt) Deadline() clock.Mono { return d.actionDeadline }

// Offer reports that a job does not fit on this shard and may be taken by another
// one. The job does not start here until OfferDeclined is called.
type Offer struct{ job string }

// Job returns the job's id.
func (d Offer) Job() string { return d.job }

// Drop ends a job without all of its results, because it failed, may have run
// and is not repeatable, or has passed its deadline.
type Drop struct {
	job  string
	code rcode.Code
}

// Job returns the job's id.
func (d Drop) Job() string { return d.job }

// Code returns the job's final result.
func (d Drop) Code() rcode.Code { return d.code }

func (Start) decision()   {}
func (Preempt) decision() {}
func (Offer) decision()   {}
func (Drop) decision()    {}
