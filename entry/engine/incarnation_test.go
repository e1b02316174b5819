package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/sched"
)

// recordingWorkers are workers that answer nothing and record the polls.
type recordingWorkers struct {
	silentWorkers
	polls chan PollOrder
}

func (w recordingWorkers) Poll(_ context.Context, o PollOrder) (PollReply, error) {
	w.polls <- o
	return PollReply{}, errors.New("no answer")
}

// list applies an entry of w0 in the platform's list.
func (r *restartTerm) list(spec sched.WorkerSpec) {
	spec.ID = r.conn.id
	r.engine.cfg.ParseWorker = func(string, []byte, clock.Mono) (sched.WorkerSpec, bool) { return spec, true }
	r.engine.putWorker(r.term, spec.ID, nil)
}

// TestPollAfterEntryOfRestart guards against a poll that extends a lease on the former incarnation's
// clock, or acknowledges ended runs of the new one, although the platform's list has shown the
// restart.
func TestPollAfterEntryOfRestart(t *testing.T) {
	t.Parallel()
	const lastEnd = 5
	tests := map[string]struct {
		entry sched.WorkerSpec
		want  PollOrder
	}{
		"same incarnation":      {entry: sched.WorkerSpec{Addr: "w0", BootUnixMS: 1}, want: PollOrder{Addr: "w0", AckThrough: lastEnd, ExpiresMS: 57_000}},
		"incarnation not given": {entry: sched.WorkerSpec{Addr: "w0"}, want: PollOrder{Addr: "w0", AckThrough: lastEnd, ExpiresMS: 57_000}},
		"another incarnation":   {entry: sched.WorkerSpec{Addr: "w0", BootUnixMS: 2}, want: PollOrder{Addr: "w0"}},
		"another address":       {entry: sched.WorkerSpec{Addr: "elsewhere", BootUnixMS: 1}, want: PollOrder{Addr: "elsewhere"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			polls := make(chan PollOrder, 1)
			r.engine.cfg.Workers = recordingWorkers{polls: polls}
			r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
			r.conn.ackableEnd = lastEnd
			r.list(tt.entry)
			r.poll()
			got := <-polls
			if diff := cmp.Diff(tt.want, PollOrder{Addr: got.Addr, AckThrough: got.AckThrough, ExpiresMS: got.ExpiresMS}); diff != "" {
				t.Errorf("poll (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplyAfterNewEntry guards against the clock of a former incarnation, or of one at a former
// address, that is taken from a reply which arrives after the list has shown another one. The next
// poll would give that one a lease of another length than the owner counts.
func TestReplyAfterNewEntry(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		entry sched.WorkerSpec
		// sentBefore is whether the poll was sent before the entry was read.
		sentBefore bool
		want       int64
	}{
		"same incarnation":                 {entry: sched.WorkerSpec{Addr: "w0", BootUnixMS: 1}, sentBefore: true, want: 90_000},
		"another address":                  {entry: sched.WorkerSpec{Addr: "new", BootUnixMS: 1}, sentBefore: true},
		"another address, sent after":      {entry: sched.WorkerSpec{Addr: "new", BootUnixMS: 1}, want: 90_000},
		"another incarnation":              {entry: sched.WorkerSpec{Addr: "w0", BootUnixMS: 2}, sentBefore: true},
		"another incarnation, sent after":  {entry: sched.WorkerSpec{Addr: "w0", BootUnixMS: 2}, want: 90_000},
		"entry that says nothing about it": {entry: sched.WorkerSpec{Addr: "w0"}, sentBefore: true, want: 90_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
			sent := r.clk.Now()
			r.clk.Advance(time.Second)
			r.list(tt.entry)
			r.clk.Advance(time.Second)
			if !tt.sentBefore {
				sent = r.clk.Now()
			}
			r.engine.handlePollReply(r.term, r.conn, sent, PollOrder{}, PollReply{ClockMS: 90_000, BootUnixMS: 1}, nil)
			if diff := cmp.Diff(tt.want, r.conn.clockMS); diff != "" {
				t.Errorf("clock in ms, 0 if unknown (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplyToRemovedWorker guards against polls of a worker that was removed: if it is listed again,
// replies to two connections would overtake each other.
func TestReplyToRemovedWorker(t *testing.T) {
	t.Parallel()
	r := newRestartTerm(t)
	r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
	delete(r.term.workers, "w0")
	r.term.ready = true
	r.reply(PollReply{ClockMS: 90_000, BootUnixMS: 1})
	if diff := cmp.Diff(int64(50_000), r.conn.clockMS); diff != "" {
		t.Errorf("clock in ms (-want +got):\n%s", diff)
	}
	if r.conn.polling {
		t.Error("the removed worker is polled again")
	}
}
