package wrkr

import (
	"encoding/json"
	"time"

	"limpethitch.example/core/amount"
)

// State says what became of a task.
type State string

// States of tasks.
const (
	StateRunning   State = "running"
	StateThrottled State = "throttled"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateStopped   State = "stopped"
	StateExpired   State = "lapsed"
)

// Exits of tasks that run to their end.
const (
	ExitOK   = "ok"
	ExitFail = "fail"
)

// throttleFactor divides the speed and the processors of a throttled task.
const throttleFactor = 2

// Start is the body of POST /v1/tasks.
type Start struct {
	ID           string     `json:"id"`
	Attempt      int64      `json:"attempt"`
	Job          string     `json:"job"`
	Team         string     `json:"team"`
	Size         amount.Vec `json:"size"`
	LeaseUnixMS  int64      `json:"lease_unix_ms"`
	CheckpointMS int64      `json:"checkpoint_ms,omitempty"`
	Payload      []byte     `json:"payload,omitempty"`
}

// program is what the payload of a task makes the stand-in do: how long it runs,
// what it uses and how it exits.
type program struct {
	RunMS int64      `json:"run_ms"`
	Use   amount.Vec `json:"use"`
	Exit  string     `json:"exit"`
}

// program reads the payload; a payload of another form runs for no time and uses
// what was set aside.
func (s *Start) program() program {
	p := program{Exit: ExitOK}
	if json.Unmarshal(s.Payload, &p) != nil || p.Use.IsZero() {
		p.Use = s.Size
	}
	return p
}

// Status is one element of the list of tasks.
type Status struct {
	ID            string     `json:"id"`
	Attempt       int64      `json:"attempt"`
	Job           string     `json:"job"`
	Team          string     `json:"team"`
	Size          amount.Vec `json:"size"`
	State         State      `json:"state"`
	LeaseUnixMS   int64      `json:"lease_unix_ms"`
	Used          amount.Vec `json:"used"`
	UsedAgeMS     int64      `json:"used_age_ms"`
	CheckpointMS  int64      `json:"checkpoint_ms"`
	StartedUnixMS int64      `json:"started_unix_ms"`
	EndedUnixMS   int64      `json:"ended_unix_ms,omitempty"`
}

// task moves only when it is looked at: its end follows from its progress, its
// speed and its lease.
type task struct {
	prog       program
	start      Start
	state      State
	lease      time.Time
	started    time.Time
	ended      time.Time
	progress   time.Duration
	progressAt time.Time
	checkpoint time.Duration
	use, used  amount.Vec
	useSince   time.Time
	record     *record
}

func newTask(s Start, now time.Time, r *record) *task {
	saved := time.Duration(s.CheckpointMS) * time.Millisecond
	prog := s.program()
	return &task{
		start: s, prog: prog, state: StateRunning, lease: time.UnixMilli(s.LeaseUnixMS), started: now,
		progress: saved, progressAt: now, checkpoint: saved, use: prog.Use, useSince: now, record: r,
	}
}

func (t *task) running() bool { return t.state == StateRunning || t.state == StateThrottled }

func (t *task) speed() time.Duration {
	if t.state == StateThrottled {
		return throttleFactor
	}
	return 1
}

// advance brings the task to now: it ends when its work is done or its lease
// lapses, whichever comes first.
func (t *task) advance(now time.Time) {
	if !t.running() {
		return
	}
	left := time.Duration(t.prog.RunMS)*time.Millisecond - t.progress
	end := t.progressAt.Add(max(left, 0) * t.speed())
	switch {
	case t.lease.Before(end) && !now.Before(t.lease):
		t.end(StateExpired, t.lease)
	case !now.Before(end) && t.prog.Exit == ExitFail:
		t.end(StateFailed, end)
	case !now.Before(end):
		t.end(StateDone, end)
	default:
		t.progress += now.Sub(t.progressAt) / t.speed()
		t.progressAt = now
	}
}

func (t *task) end(s State, at time.Time) {
	t.state = s
	t.ended = at
	t.setUse(amount.Vec{}, at)
	t.record.end(at)
}

func (t *task) setUse(v amount.Vec, at time.Time) {
	t.used, t.use, t.useSince = t.use, v, at
}

func (t *task) throttle(on bool, now time.Time) {
	if !t.running() || on == (t.state == StateThrottled) {
		return
	}
	t.state = StateRunning
	u := t.prog.Use
	if on {
		t.state = StateThrottled
		u = amount.New(u.CPUMilli()/throttleFactor, u.MemoryMiB(), u.Accelerators(), u.Requests())
	}
	t.setUse(u, now)
}

// status reports usage as it was lag before now.
func (t *task) status(now time.Time, lag time.Duration) Status {
	s := Status{
		ID: t.start.ID, Attempt: t.start.Attempt, Job: t.start.Job, Team: t.start.Team, Size: t.start.Size,
		State: t.state, LeaseUnixMS: t.lease.UnixMilli(), Used: t.use, UsedAgeMS: lag.Milliseconds(),
		CheckpointMS: t.checkpoint.Milliseconds(), StartedUnixMS: t.started.UnixMilli(),
	}
	if now.Add(-lag).Before(t.useSince) {
		s.Used = t.used
	}
	if !t.ended.IsZero() {
		s.EndedUnixMS = t.ended.UnixMilli()
	}
	return s
}
