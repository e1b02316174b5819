package engine

import (
	"context"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/sched"
)

// StartOrder orders a worker to start a run.
type StartOrder struct {
	// Addr is the worker's address. Instance is its id, by which the order reaches no
	// other worker at that address.
	Addr, Instance     string
	Task               string
	Attempt            int
	Spec               string
	Checkpoint, Ticket string
	Token              int64
	// LeastClockMS is the earliest that the worker's clock can be when it receives the order. An answer
	// with an earlier one is of a later incarnation.
	LeastClockMS int64
	// ExpiresMS is a time on the worker's clock. After it the worker refuses the start
	// and kills the run that it started, unless a poll has extended the lease.
	ExpiresMS int64
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Addr, Instance string
	Task           string
	Attempt        int
	Token          int64
}

// ThrottleOrder orders a worker to execute a run at Percent of its full speed.
type ThrottleOrder struct {
	Addr, Instance string
	Task           string
	Attempt        int
	Percent        int
	Token          int64
}

// PollOrder asks a worker for its current and ended runs, acknowledges ended runs and
// extends the lease of all current ones.
type PollOrder struct {
	Addr, Instance string
	Token          int64
	// AckThrough acknowledges all ended runs up to this number.
	AckThrough int64
	// ExpiresMS is when the lease expires, on the worker's clock; 0 extends nothing.
	ExpiresMS int64
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// PollReply is a worker's reply to a PollOrder.
type PollReply struct {
	ClockMS    int64
	BootUnixMS int64
	Running    []sched.RunStatus
	Ended      []sched.RunEnd
	// MoreEnds is whether the worker may have ended runs that did not fit into the reply.
	// They follow once those in Ended were acknowledged.
	MoreEnds bool
}

// Workers sends orders to workers. An error has the code rcode.NotOwner if the worker
// has seen a higher token, and rcode.NotFound if another incarnation answers.
type Workers interface {
	Start(ctx context.Context, o StartOrder) (sched.StartOutcome, error)
	Stop(ctx context.Context, o StopOrder) error
	Throttle(ctx context.Context, o ThrottleOrder) error
	Poll(ctx context.Context, o PollOrder) (PollReply, error)
	// Release closes the connections to the worker at an address, those in use once their calls
	// have ended. A later call opens new ones.
	Release(addr string)
}

// Adviser calls the advising service from this VM. valid is how long the tickets may
// be used.
type Adviser interface {
	Advise(ctx context.Context, step string, workers []string) (tickets []sched.Ticket, valid time.Duration, err error)
}

// RemoteAdviser has another VM, at addr, call the advising service.
type RemoteAdviser interface {
	Advise(ctx context.Context, addr, step string, workers []string) (tickets []sched.Ticket, valid time.Duration, err error)
}

// ParseWorker decodes a worker's entry in the platform's list, which was read at now.
// ok is false if the entry does not describe a usable worker.
type ParseWorker func(id string, value []byte, now clock.Mono) (spec sched.WorkerSpec, ok bool)

// Clock includes the time during which this VM is suspended.
type Clock = clock.Clock
