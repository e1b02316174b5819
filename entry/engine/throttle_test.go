package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/store"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

// throttledWorkers are workers whose answer to a throttle order is err.
type throttledWorkers struct {
	silentWorkers
	err      error
	throttle chan int // percent
}

func (w *throttledWorkers) Throttle(_ context.Context, o ThrottleOrder) error {
	w.throttle <- o.Percent
	return w.err
}

// newThrottleTerm returns a term in which w0 has run a service task and a filler for a second.
func newThrottleTerm(t *testing.T, w *throttledWorkers) *restartTerm {
	t.Helper()
	r := newRestartTerm(t)
	r.engine.cfg.Workers = w
	r.term.state.AddJob(&graph.Job{ID: throttledJob, Queue: "q", Steps: []graph.Step{
		{Count: 1, CPUMilli: 100, Service: true, MaxTailLatencyMS: 100}, {Count: 1, CPUMilli: 100, Filler: true, EstimateMS: 60_000},
	}})
	r.reply(PollReply{ClockMS: 1000, BootUnixMS: 1})
	for _, d := range r.term.state.Decide(r.clk.Now()) {
		if st, ok := d.(sched.Start); ok {
			r.term.state.StartAnswered(st.Task, st.Attempt, st.Worker, sched.OutcomeStarted)
		}
	}
	r.clk.Advance(time.Second)
	return r
}

const throttledJob = "00000000000000bb"

// overBound returns the speeds that are ordered after a reply with a tail latency over its bound.
func (r *restartTerm) overBound() []sched.Throttle {
	reply := PollReply{ClockMS: 2000, BootUnixMS: 1}
	for step, load := range []int64{120, 0} {
		id := graph.TaskID{Job: throttledJob, Step: step}
		reply.Running = append(reply.Running, sched.RunStatus{Task: id, Attempt: 1, Percent: 1, Load: load})
	}
	r.reply(reply)
	var out []sched.Throttle
	for _, d := range r.term.state.TakeDecisions() {
		if th, ok := d.(sched.Throttle); ok {
			out = append(out, th)
		}
	}
	return out
}

// handlePost takes the place of the loop for one post.
func (r *restartTerm) handlePost() {
	r.t.Helper()
	select {
	case f := <-r.engine.posts:
		f()
	case <-time.After(10 * time.Second):
		r.t.Error("the outcome of the order was not posted")
	}
}

// TestThrottleIsRepeated guards against a filler that slows down a service task for as long as its
// speed does not change, because an order was lost or could not be sent.
func TestThrottleIsRepeated(t *testing.T) {
	t.Parallel()
	pause := []sched.Throttle{{Task: graph.TaskID{Job: throttledJob, Step: 1}, Attempt: 1, Worker: "w0", Percent: 0}}
	lose := errors.New("no answer")
	tests := map[string]struct {
		err     error
		prepare func(*restartTerm) // before the order is sent
		notSent bool
		want    []sched.Throttle // after the next report
	}{
		"answered":   {},
		"no answer":  {err: lose, want: pause},
		"term ended": {err: lose, prepare: func(r *restartTerm) { r.engine.term = nil }},
		"not sent, no authority": {prepare: func(r *restartTerm) {
			r.engine.cfg.Elector = lead.New(lead.Config{Store: store.NewMemory()}, r.clk, zap.NewNop())
		}, notSent: true, want: pause},
		"not sent, no connection": {prepare: func(r *restartTerm) { delete(r.term.workers, "w0") }, notSent: true, want: pause},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := &throttledWorkers{err: tt.err, throttle: make(chan int, 1)}
			r := newThrottleTerm(t, w)
			first := r.overBound()
			if diff := cmp.Diff(pause, first); diff != "" {
				t.Fatalf("first order (-want +got):\n%s", diff)
			}
			if tt.prepare != nil {
				tt.prepare(r)
			}
			r.engine.sendThrottle(r.term, first[0])
			if !tt.notSent {
				<-w.throttle
			}
			if tt.err != nil {
				r.handlePost()
			}
			r.engine.term, r.term.workers["w0"] = r.term, r.conn
			if diff := cmp.Diff(tt.want, r.overBound()); diff != "" {
				t.Errorf("orders after the next report (-want +got):\n%s", diff)
			}
		})
	}
}
