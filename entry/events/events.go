// Package events is the owner's journal, a write-ahead log in the store. The owner
// writes its decisions and the ends of runs to it, in numbered segments, before it acts
// on them.
//
// # Usage
//
//	w := events.NewWriter(st, lead.TermKey, epoch, token, clk, log)
//	key, revision, err := w.Append(ctx, []events.Event{events.Start(task, attempt, worker, bootUnixMS)})
//	segments, err := events.Load(ctx, st)
//
// Each segment is a key of its own. It is written on the condition that the key does
// not exist and that the key of the owner's term is unchanged. So a write that arrives
// late has no effect, a segment can be sent again after a lost reply, and a former
// owner cannot append.
package events

import (
	"encoding/json"
	"strings"
	"time"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/graph"
)

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	// KindStart means that the start of a run is about to be sent to a worker.
	KindStart Kind = "s"
	// KindEnd means that a run ended.
	KindEnd Kind = "e"
	// KindCancel means that a job was cancelled before it was complete.
	KindCancel Kind = "c"
	// KindAdvice means that the advising service allowed a step on workers. Nothing depends
	// on it; a new owner only renews the tickets for these workers.
	KindAdvice Kind = "a"
	// KindRestart means that a worker was found to have restarted under its id. It belongs to no
	// task, and a new owner needs it for nothing: the owner that writes it uses the segment's
	// revision as a fencing token. Builds that do not know the kind ignore it.
	KindRestart Kind = "r"
	// KindLease lists the workers whose leases the owner does not extend until a later event
	// of this kind, which replaces it, is stored without them. It belongs to no task.
	// Builds that do not know the kind ignore it.
	KindLease Kind = "l"
)

// RunOutcome is how a run ended.
type RunOutcome string

// Outcomes of a run.
const (
	RunDone    RunOutcome = "d"
	RunFailed  RunOutcome = "f"
	RunStopped RunOutcome = "s"
	// RunLost means that the run has certainly ended or never started, and that the task
	// is not at fault.
	RunLost RunOutcome = "l"
)

// Name returns the name of the kind in log lines and metrics.
func (k Kind) Name() string {
	switch k {
	case KindStart:
		return "start"
	case KindEnd:
		return "end"
	case KindCancel:
		return "cancel"
	case KindAdvice:
		return "advice"
	case KindLease:
		return "lease"
	case KindRestart:
		return "restart"
	default:
		return string(k)
	}
}

// Name returns the name of the outcome in log lines and metrics.
func (o RunOutcome) Name() string {
	switch o {
	case RunDone:
		return "done"
	case RunFailed:
		return "failed"
	case RunStopped:
		return "stopped"
	case RunLost:
		return "lost"
	default:
		return string(o)
	}
}

// Event is one entry of the journal. The fields are exported for the JSON encoding.
type Event struct {
	Kind Kind `json:"k"`
	// Task is the task's id, the job's id for KindCancel, or the id of the step's first task for
	// KindAdvice.
	Task    string `json:"t"`
	Attempt int    `json:"a,omitempty"`
	// Worker and BootUnixMS identify the incarnation of the worker that the start is
	// sent to, or that was found to have restarted.
	Worker     string     `json:"w,omitempty"`
	BootUnixMS int64      `json:"b,omitempty"`
	Outcome    RunOutcome `json:"h,omitempty"`
	// Checkpoint is the newest checkpoint known when the run ended.
	Checkpoint string `json:"v,omitempty"`
	// RanMS is how long a run that is done took, in milliseconds, or 0 if that is not known.
	// A new owner learns from it how long the runs of a queue take.
	RanMS int64 `json:"r,omitempty"`
	// Allowed are the ids of the workers that the step is allowed on.
	Allowed []string `json:"l,omitempty"`
	// Leases are the workers that a KindLease event lists.
	Leases []Lease `json:"n,omitempty"`
}

// Lease says that all leases of a worker have ended LeftMS milliseconds after the event was
// stored, and that the owner extends none. It holds a duration because the owner that
// reads it has another clock.
type Lease struct {
	Worker string `json:"w"`
	LeftMS int64  `json:"r"`
}

// Start returns the event for a start that is about to be sent.
func Start(task graph.TaskID, attempt int, worker string, bootUnixMS int64) Event {
	return Event{Kind: KindStart, Task: task.String(), Attempt: attempt, Worker: worker, BootUnixMS: bootUnixMS}
}

// End returns the event for a run that ended.
func End(task graph.TaskID, attempt int, outcome RunOutcome, checkpoint string) Event {
	return Event{Kind: KindEnd, Task: task.String(), Attempt: attempt, Outcome: outcome, Checkpoint: checkpoint}
}

// Done returns the event for a run that ended as done after ran.
func Done(task graph.TaskID, attempt int, checkpoint string, ran time.Duration) Event {
	e := End(task, attempt, RunDone, checkpoint)
	e.RanMS = ran.Milliseconds()
	return e
}

// Advice returns the event for an answer that allows the step of a task on workers.
func Advice(task graph.TaskID, allowed []string) Event {
	return Event{Kind: KindAdvice, Task: task.String(), Allowed: allowed}
}

// Leases returns the event that lists all workers whose leases are not extended.
func Leases(list []Lease) Event { return Event{Kind: KindLease, Leases: list} }

// Restart returns the event for a worker that restarted at bootUnixMS under its id.
func Restart(worker string, bootUnixMS int64) Event {
	return Event{Kind: KindRestart, Worker: worker, BootUnixMS: bootUnixMS}
}

// Cancel returns the event for a job that was cancelled.
func Cancel(job string) Event { return Event{Kind: KindCancel, Task: job} }

// Job returns the id of the job that the event belongs to.
func (e *Event) Job() string {
	if i := strings.IndexByte(e.Task, '.'); i >= 0 {
		return e.Task[:i]
	}
	return e.Task
}

const (
	// maxSegmentBytes bounds a segment by the estimated sizes of its events. It is far below
	// the store's largest value, since texts may grow when they are encoded.
	maxSegmentBytes = 128 << 10
	// eventOverhead is the size of an event without its texts, in bytes, textOverhead that of a
	// text in a list.
	eventOverhead = 96
	textOverhead  = 3
	// leaseOverhead is the size of an entry of a list of leases without the worker's id.
	leaseOverhead = 24
	// maxSharedLeaseBytes is the size from which a list of leases gets a segment of its own. The
	// list is soon replaced, but a segment stays as long as a job of its other events.
	maxSharedLeaseBytes = 4 << 10
)

// needsOwnSegment reports whether the event must not share its segment.
func (e *Event) needsOwnSegment() bool { return e.Kind == KindLease && e.size() > maxSharedLeaseBytes }

// size returns about how many bytes the event takes in a segment.
func (e *Event) size() int {
	n := eventOverhead + len(e.Task) + len(e.Worker) + len(e.Checkpoint)
	for _, id := range e.Allowed {
		n += textOverhead + len(id)
	}
	for _, l := range e.Leases {
		n += leaseOverhead + len(l.Worker)
	}
	return n
}

// Split divides events into the parts that make up a segment each, in order. A new owner may
// find the first parts only, which describe an earlier moment of the same round.
func Split(list []Event) [][]Event {
	var parts [][]Event
	first, bytes := 0, 0
	for i := range list {
		n := list[i].size()
		if i > first && (bytes+n > maxSegmentBytes || list[i].needsOwnSegment() || list[i-1].needsOwnSegment()) {
			parts = append(parts, list[first:i])
			first, bytes = i, 0
		}
		bytes += n
	}
	return append(parts, list[first:])
}

// Encode encodes the events of a segment as JSON.
func Encode(list []Event) ([]byte, error) {
	raw, err := json.Marshal(list)
	return raw, rcode.Wrap(err, rcode.Internal, "events.Encode")
}

// Decode decodes the events of a segment.
func Decode(raw []byte) ([]Event, error) {
	var list []Event
	err := json.Unmarshal(raw, &list)
	return list, rcode.Wrap(err, rcode.Internal, "events.Decode")
}
