package place

import (
	"strconv"
	"strings"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
)

// Outcome is how a task ended.
type Outcome string

// Outcomes of a task. A task is lost if its worker and its lease are gone, refused
// if its worker did not start it, and withdrawn if it was never sent to the worker.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeLost    Outcome = "lost"
	OutcomeStopped Outcome = "stopped"
	OutcomeRefused Outcome = "refused"

	OutcomeWithdrawn Outcome = "withdrawn"
)

// mayHaveRun reports whether the task may have done some of its work.
func (o Outcome) mayHaveRun() bool { return o != OutcomeRefused && o != OutcomeWithdrawn }

// Reason is why a job waits. Its text is shown to users.
type Reason string

// Reasons for waiting. ReasonNone is the reason of a job that does not wait, and
// ReasonShare that of one whose turn has not come.
const (
	ReasonNone          Reason = ""
	ReasonLimit         Reason = "limit"
	ReasonShare         Reason = "share"
	ReasonNoCapacity    Reason = "no room"
	ReasonReservation   Reason = "reservation"
	ReasonOutOfService  Reason = "data centre out"
	ReasonUnschedulable Reason = "can never run"
	ReasonNoReadyWorker Reason = "worker unready"
)

// Job is a number of tasks of one team with the same size and class; its tasks are
// called members.
type Job struct {
	id, team, kind string
	class          policy.Class
	members        int
	size           amount.Vec
	runTime        time.Duration
	deadline       clock.Mono
	repeatable     bool
	priority       int
}

// NewJob returns a job of members tasks, each of the declared size.
func NewJob(id, team string, class policy.Class, members int, size amount.Vec) Job {
	return Job{id: id, team: team, class: class, members: members, size: size}
}

// WithKind returns the job with a label. Sizes and run times are learned for each
// team and kind.
func (j Job) WithKind(kind string) Job { j.kind = kind; return j }

// WithRunTime returns the job with a declared run time of each task.
func (j Job) WithRunTime(runTime time.Duration) Job { j.runTime = runTime; return j }

// WithDeadline returns the job with the time by which all tasks must be complete.
func (j Job) WithDeadline(at clock.Mono) Job { j.deadline = at; return j }

// WithRepeatable returns the job with its tasks marked as safe to run more than
// once, or not.
func (j Job) WithRepeatable(ok bool) Job { j.repeatable = ok; return j }

// WithPriority returns the job with a priority within its team and class; higher
// ones are served first.
func (j Job) WithPriority(p int) Job { j.priority = p; return j }

// ID returns the job's id.
func (j Job) ID() string { return j.id }

// Team returns the team to which the job's usage is charged.
func (j Job) Team() string { return j.team }

// Kind returns the label under which sizes and run times are learned.
func (j Job) Kind() string { return j.kind }

// Class returns the job's class.
func (j Job) Class() policy.Class { return j.class }

// Members returns the number of tasks.
func (j Job) Members() int { return j.members }

// Size returns the declared size of one task.
func (j Job) Size() amount.Vec { return j.size }

// RunTime returns the declared run time of one task.
func (j Job) RunTime() time.Duration { return j.runTime }

// Deadline returns when all tasks must be complete; 0 is none.
func (j Job) Deadline() clock.Mono { return j.deadline }

// Repeatable reports whether a task may run more than once.
func (j Job) Repeatable() bool { return j.repeatable }

// Priority returns the priority within the team and class.
func (j Job) Priority() int { return j.priority }

// TaskID returns the task id of a job's member.
func TaskID(job string, member int) string { return job + "." + strconv.Itoa(member) }

// SplitTaskID returns the job and the member of a task id.
func SplitTaskID(task string) (job string, member int, ok bool) {
	i := strings.LastIndexByte(task, '.')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(task[i+1:])
	return task[:i], n, err == nil && n >= 0
}

// TeamShare is the weight of a team's share of a full cell.
type TeamShare struct {
	team   string
	weight int64
}

// NewTeamShare returns a team's weight.
func NewTeamShare(team string, weight int64) TeamShare { return TeamShare{team: team, weight: weight} }

// Team returns the team's name.
func (t TeamShare) Team() string { return t.team }

// Weight returns the team's weight.
func (t TeamShare) Weight() int64 { return t.weight }

// Task is a running task that a new owner adopts.
type Task struct {
	job               Job
	member            int
	worker            string
	size              amount.Vec
	startedAt, runEnd clock.Mono
}

// NewTask returns a running task with its allocated size, its start and its
// expected end (0 if unknown).
func NewTask(job Job, member int, worker string, size amount.Vec, startedAt, runEnd clock.Mono) Task {
	return Task{job: job, member: member, worker: worker, size: size, startedAt: startedAt, runEnd: runEnd}
}

// ID returns the task's id.
func (t Task) ID() string { return TaskID(t.job.id, t.member) }
