package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/sched"
)

const (
	// formerClockMS and laterClockMS are the clocks of a worker's two incarnations. An expiry of
	// formerClockMS or later was computed on the former one's: on the later one's it would be
	// beyond the lease by tens of seconds.
	formerClockMS = 50_000
	laterClockMS  = 100
	formerBootMS  = 1
	laterBootMS   = 2
)

// restartedWorker is a worker that goes down and is back as a later incarnation under its id, with
// a clock that begins anew.
type restartedWorker struct {
	*fakeWorker
	mu   sync.Mutex
	down bool
	// later is whether the later incarnation runs, or will run once the worker is no longer down.
	later bool
	// failuresLeft is how many polls fail until the worker is back; below 0 it stays down.
	failuresLeft int
	// hangAfterFailure is whether the first poll after a failed one gets no answer.
	hangAfterFailure bool
	failed           bool // whether a poll has failed
	hanging          chan struct{}
	// onFormerClock are the expiries on the former clock in orders sent after a poll had failed, ackedEnds
	// the ends that polls acknowledged from then on until the later incarnation answered.
	onFormerClock, ackedEnds []int64
	// extended is closed once the lease of the later incarnation is extended.
	extended     chan struct{}
	extendedOnce sync.Once
}

func newRestartedWorker() *restartedWorker {
	return &restartedWorker{fakeWorker: newFakeWorker(), hanging: make(chan struct{}), extended: make(chan struct{})}
}

// crash has the next polls fail, or all until comeBack if failures is below 0.
func (w *restartedWorker) crash(failures int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down, w.later, w.failuresLeft = true, true, failures
	w.fakeWorker.mu.Lock()
	defer w.fakeWorker.mu.Unlock()
	w.token, w.lastEnd, w.ended, w.withheld = 0, 0, nil, nil
}

func (w *restartedWorker) comeBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
}

// check records an order that is sent after a poll has failed.
func (w *restartedWorker) check(expiresMS int64) {
	if w.failed && expiresMS >= formerClockMS && len(w.onFormerClock) < 3 {
		w.onFormerClock = append(w.onFormerClock, expiresMS)
	}
}

// receivePoll returns the incarnation that receives a poll, as of its clock and boot time. It
// reports whether the worker refuses the poll instead, and whether the poll hangs. The caller holds
// w.mu.
func (w *restartedWorker) receivePoll(o PollOrder) (from PollReply, refuses, hangs bool) {
	w.check(o.ExpiresMS)
	if !w.down {
		from = PollReply{ClockMS: formerClockMS, BootUnixMS: formerBootMS}
		if w.later {
			from = PollReply{ClockMS: laterClockMS, BootUnixMS: laterBootMS}
		}
		if w.later && o.ExpiresMS > 0 && o.ExpiresMS < formerClockMS {
			w.extendedOnce.Do(func() { close(w.extended) })
		}
		return from, false, false
	}
	if w.failed && o.AckThrough > 0 && len(w.ackedEnds) < 3 {
		w.ackedEnds = append(w.ackedEnds, o.AckThrough)
	}
	hangs = w.failed && w.hangAfterFailure
	w.failed, w.hangAfterFailure = true, w.hangAfterFailure && !hangs
	if w.failuresLeft > 0 {
		w.failuresLeft--
		w.down = w.failuresLeft > 0
	}
	return from, true, hangs
}

func (w *restartedWorker) Poll(ctx context.Context, o PollOrder) (PollReply, error) {
	w.mu.Lock()
	from, refuses, hangs := w.receivePoll(o)
	if hangs {
		w.mu.Unlock()
		close(w.hanging)
		<-ctx.Done()
		return PollReply{}, ctx.Err()
	}
	defer w.mu.Unlock()
	if refuses {
		return PollReply{}, rcode.New(rcode.Internal, "connection refused")
	}
	reply, err := w.fakeWorker.Poll(ctx, o)
	reply.ClockMS, reply.BootUnixMS = from.ClockMS, from.BootUnixMS
	return reply, err
}

func (w *restartedWorker) Start(ctx context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.mu.Lock()
	w.check(o.ExpiresMS)
	down := w.down
	w.mu.Unlock()
	if down {
		return sched.OutcomeUnknown, rcode.New(rcode.Internal, "connection refused")
	}
	return w.fakeWorker.Start(ctx, o)
}

// waitForLease waits until a poll has extended the lease of the former incarnation.
func (w *restartedWorker) waitForLease(t *testing.T) {
	t.Helper()
	for end := time.After(20 * time.Second); ; {
		select {
		case o := <-w.polled:
			if o.ExpiresMS >= formerClockMS {
				return
			}
		case <-end:
			t.Fatal("the lease of the former incarnation is not extended")
		}
	}
}

// checkOrders waits until the lease of the later incarnation is extended, and fails the test if an
// order sent since the first failed poll was meant for the former one.
func (w *restartedWorker) checkOrders(t *testing.T) {
	t.Helper()
	select {
	case <-w.extended:
	case <-time.After(20 * time.Second):
		t.Error("the lease of the later incarnation is not extended")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff([]int64(nil), w.onFormerClock); diff != "" {
		t.Errorf("expiries on the former clock, sent after a failed poll (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int64(nil), w.ackedEnds); diff != "" {
		t.Errorf("ends acknowledged after a failed poll (-want +got):\n%s", diff)
	}
}

// TestPollOnFormerClock guards against a poll after a failed one that gives a restarted worker the
// platform's longest lease, because its expiry is a time on the former incarnation's clock.
func TestPollOnFormerClock(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		failures int // failed polls until the worker is back, or below 0: until it is in a lease note
	}{
		"one failed poll":      {failures: 1},
		"several failed polls": {failures: 4},
		"in a lease note":      {failures: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newRestartedWorker()
			w.withholdEnds = true
			h := newHarnessWith(t, func(cfg *Config) { cfg.Workers = w })
			h.submit(t)
			<-w.started
			w.waitForLease(t)
			w.crash(tt.failures)
			if tt.failures < 0 {
				waitForLeaseNote(t, h, 1)
				w.comeBack()
			}
			w.checkOrders(t)
		})
	}
}

// TestStartOnFormerClock guards against a start sent after a failed poll whose expiry is a time on
// the clock of an incarnation that may be over: a later one executes it however late it arrives.
func TestStartOnFormerClock(t *testing.T) {
	t.Parallel()
	w := newRestartedWorker()
	w.hangAfterFailure = true
	h := newHarnessWith(t, func(cfg *Config) { cfg.Workers = w })
	w.waitForLease(t)
	w.crash(-1)
	<-w.hanging
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.Known })
	w.comeBack()
	h.listWorker(t, laterBootMS)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	w.checkOrders(t)
}
