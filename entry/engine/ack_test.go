package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/sched"
)

// orderRecorder are workers that record their orders. They answer starts with outcome, if there is
// one, and leave everything else unanswered.
type orderRecorder struct {
	silentWorkers
	outcome sched.StartOutcome
	hangs   bool // whether starts are waited for until the end of the test
	starts  chan StartOrder
	polls   chan PollOrder
	ended   <-chan struct{} // closed at the end of the test
}

func (w orderRecorder) Start(_ context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.starts <- o
	if w.hangs {
		<-w.ended
	}
	if w.outcome == "" {
		return sched.OutcomeUnknown, errors.New("no answer")
	}
	return w.outcome, nil
}

func (w orderRecorder) Poll(_ context.Context, o PollOrder) (PollReply, error) {
	w.polls <- o
	<-w.ended
	return PollReply{}, errors.New("no answer")
}

// acknowledgement is what a poll acknowledges, and how its token compares with that of the start.
type acknowledgement struct {
	Through int64
	Token   int // -1 is lower than the start's, 0 the same
}

// TestLateAcknowledgement guards against a task that runs again after it was done: a worker that
// restarted executes a start that was left unanswered, and then an acknowledgement for its former
// incarnation, which removes the end of that run before it was read.
func TestLateAcknowledgement(t *testing.T) {
	t.Parallel()
	const lastEnd, round, revision = 7, 1, 1000
	tests := map[string]struct {
		outcome sched.StartOutcome // of the start, if it is answered
		// hangs is whether the start's tries are still waited for when the poll may be held back no
		// longer, executed whether the worker executed it and rejects lower tokens.
		hangs, executed bool
		want            []acknowledgement
	}{
		"start unanswered": {want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd, Token: -1}}},
		"answer overdue":   {hangs: true, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd, Token: -1}}},
		"start unanswered, but executed": {
			executed: true, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd, Token: -1}, {}},
		},
		"start answered": {outcome: sched.OutcomeStarted, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			w := orderRecorder{outcome: tt.outcome, hangs: tt.hangs, starts: make(chan StartOrder, len(startTimeouts)), polls: make(chan PollOrder, 1), ended: t.Context().Done()}
			r.engine.cfg.Workers = w
			r.term.raisedTokens = make(map[string]int64)
			r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
			r.conn.ackableEnd = lastEnd
			var polls []PollOrder
			poll := func() { // as far as one may be sent
				r.term.ready = true
				r.engine.poll(r.term, r.conn)
				r.term.ready = false
				if r.conn.polling {
					polls, r.conn.polling = append(polls, <-w.polls), false
				}
			}
			poll()

			r.term.decidedAt = r.clk.Now()
			starts := r.engine.dispatch(r.term, r.term.state.Decide(r.clk.Now()), nil)
			r.engine.handleRoundStored(r.term, round, revision, starts)
			start := <-w.starts
			poll()
			if diff := cmp.Diff(1, len(polls)); diff != "" {
				t.Errorf("polls sent while the start is under way (-want +got):\n%s", diff)
			}
			if tt.hangs {
				r.clk.Advance(startTimeouts[0])
				poll()
			} else {
				r.term.ready = true
				r.handlePost() // sends the poll that was held back
				r.term.ready = false
				if r.conn.polling {
					polls, r.conn.polling = append(polls, <-w.polls), false
				}
			}
			if tt.executed {
				r.conn.polling = true
				refused := rcode.New(rcode.NotOwner, "a higher token was seen")
				r.engine.handlePollReply(r.term, r.conn, r.clk.Now(), polls[len(polls)-1], PollReply{}, refused)
				poll()
			}
			var got []acknowledgement
			for _, p := range polls {
				token := 0
				if p.Token < start.Token {
					token = -1
				}
				got = append(got, acknowledgement{Through: p.AckThrough, Token: token})
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("acknowledgements (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(0, r.conn.failures); diff != "" {
				t.Errorf("failed polls (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOvertakenStart guards against a start that is lost because a later order with a higher token reached
// the worker before it.
func TestOvertakenStart(t *testing.T) {
	t.Parallel()
	r := newRestartTerm(t)
	w := orderRecorder{outcome: sched.OutcomeFenced, starts: make(chan StartOrder, 1), polls: make(chan PollOrder, 1), ended: t.Context().Done()}
	r.engine.cfg.Workers = w
	r.term.raisedTokens = make(map[string]int64)
	r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
	r.term.decidedAt = r.clk.Now()
	starts := r.engine.dispatch(r.term, r.term.state.Decide(r.clk.Now()), nil)
	const revision, later = 1000, 1001
	r.engine.handleRoundStored(r.term, 1, revision, starts)
	first := <-w.starts
	r.term.raiseToken("w0", later)
	r.handlePost()
	second := <-w.starts
	if diff := cmp.Diff([]int64{revision, later}, []int64{first.Token, second.Token}); diff != "" {
		t.Errorf("tokens of the starts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(first.ExpiresMS, second.ExpiresMS); diff != "" {
		t.Errorf("expiry of the second start (-want +got):\n%s", diff)
	}
}

// fencedStops are workers that record stops and reject those with a token below least.
type fencedStops struct {
	silentWorkers
	least  int64
	tokens chan int64
}

func (w fencedStops) Stop(_ context.Context, o StopOrder) error {
	w.tokens <- o.Token
	if o.Token < w.least {
		return rcode.New(rcode.NotOwner, "a higher token was seen")
	}
	return nil
}

// TestOvertakenStop guards against a stop that is repeated only after a pause although a later order
// overtook it, and against one that is repeated at once for ever although a newer owner's token was seen.
func TestOvertakenStop(t *testing.T) {
	t.Parallel()
	const later = 1001
	tests := map[string]struct {
		raised bool // whether a later order has a higher token
		want   []int64
	}{
		"a later order overtook it": {raised: true, want: []int64{0, later}},
		"a newer owner's was seen":  {want: []int64{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			w := fencedStops{least: later, tokens: make(chan int64, 4)}
			r.engine.cfg.Workers = w
			r.term.raisedTokens = make(map[string]int64)
			first := r.term.Token()
			r.engine.sendStop(r.term, sched.Stop{Task: graph.TaskID{Job: testJob}, Attempt: 1, Worker: "w0"})
			if tt.raised {
				r.term.raiseToken("w0", later)
			}
			r.handlePost()
			if tt.raised {
				r.handlePost()
			}
			var got []int64
			for len(w.tokens) > 0 {
				token := <-w.tokens
				if token == first {
					token = 0
				}
				got = append(got, token)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("tokens of the stops, 0 for the first one's (-want +got):\n%s", diff)
			}
			if len(r.conn.orders.stops) > 0 {
				t.Errorf("%d stops wait to be sent", len(r.conn.orders.stops))
			}
		})
	}
}

// TestPollHeldOnce guards against a worker that is not polled as long as starts for it follow each other, so that
// the ends of its runs are not seen.
func TestPollHeldOnce(t *testing.T) {
	t.Parallel()
	c, now := &workerConn{}, clock.Mono(0).Add(time.Minute)
	steps := []struct {
		name     string
		wait     time.Duration
		inFlight int
		want     bool
	}{
		{name: "nothing is under way"},
		{name: "a start is under way", inFlight: 1, want: true},
		{name: "still within the time for its answer", wait: startTimeouts[0] - 1, inFlight: 1, want: true},
		{name: "another one is under way by then", wait: 1, inFlight: 1},
		{name: "and one more", wait: time.Second, inFlight: 1},
		{name: "all were answered"},
		{name: "a later start is under way", inFlight: 1, want: true},
	}
	for _, step := range steps {
		now = now.Add(step.wait)
		c.orders.inFlight = step.inFlight
		if diff := cmp.Diff(step.want, c.holdPoll(now)); diff != "" {
			t.Errorf("%s: poll held back (-want +got):\n%s", step.name, diff)
		}
	}
}
