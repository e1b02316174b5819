package engine

import (
	"context"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/sched"
)

// orderRecorder are workers that record their orders. They answer starts with outcome, if there is
// one, and leave everything else unanswered.
type orderRecorder struct {
	silentWorkers
	outcome sched.StartOutcome
	starts  chan StartOrder
	polls   chan PollOrder
	ended   <-chan struct{} // closed at the end of the test
}

func (w orderRecorder) Start(_ context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.starts <- o
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
		// executed is whether the worker executed the start and rejects lower tokens, wantHeld whether
		// no poll is sent while the answer to the start is due.
		executed, wantHeld bool
		want               []acknowledgement
	}{
		"start unanswered": {
			wantHeld: true, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd, Token: -1}},
		},
		"start unanswered, but executed": {
			executed: true, wantHeld: true, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd, Token: -1}, {}},
		},
		"start answered": {
			outcome: sched.OutcomeStarted, want: []acknowledgement{{Through: lastEnd, Token: -1}, {Through: lastEnd}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			w := orderRecorder{outcome: tt.outcome, starts: make(chan StartOrder, len(startTimeouts)), polls: make(chan PollOrder, 1), ended: t.Context().Done()}
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
			r.handlePost()
			poll()
			if diff := cmp.Diff(tt.wantHeld, len(polls) == 1); diff != "" {
				t.Errorf("poll held back (-want +got):\n%s", diff)
			}
			r.clk.Advance(startTimeouts[0])
			if tt.wantHeld {
				poll()
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

// TestOvertakenOrder guards against a start or a stop that is lost because a later order with a higher
// token reached the worker before it.
func TestOvertakenOrder(t *testing.T) {
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
