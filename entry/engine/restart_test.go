package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

// restartTerm is a term on a fake clock with a job of one task and one worker, w0. The test takes
// the place of the loop and of the worker; no order is sent.
type restartTerm struct {
	t       *testing.T
	engine  *Engine
	term    *term
	conn    *workerConn
	clk     *clock.Fake
	logs    *observer.ObservedLogs
	metrics *stats.Metrics
}

func newRestartTerm(t *testing.T) *restartTerm {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	r := &restartTerm{t: t, clk: clock.NewFake(time.Unix(1000, 0)), logs: logs, metrics: stats.New(func() int64 { return 0 })}
	r.clk.Advance(time.Minute)
	r.engine = New(Config{Metrics: r.metrics, Lease: 7 * time.Second}, r.clk, zap.New(core))
	state := sched.New(sched.Config{StartTTL: maxStartDelay, ReserveAdviser: func(int64) (string, bool) { return "", false }})
	state.SetNow(r.clk.Now(), 0)
	state.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "svc"}}, nil, rules.Limits{}))
	state.PutWorker(sched.WorkerSpec{ID: "w0", Service: "svc", Capacity: amount.New(1000, 1000, 0, 0), BootUnixMS: 1})
	state.AddJob(&graph.Job{ID: testJob, Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: 100, EstimateMS: 60_000}}})
	r.conn = &workerConn{id: "w0", listed: true}
	r.term = &term{ctx: t.Context(), cancel: func() {}, state: state, workers: map[string]*workerConn{"w0": r.conn}}
	r.engine.term = r.term
	return r
}

// reply handles the reply to a poll that was sent just now.
func (r *restartTerm) reply(reply PollReply) {
	r.engine.handlePollReply(r.term, r.conn, r.clk.Now(), reply, nil)
}

// start decides to start the task on w0.
func (r *restartTerm) start() {
	r.t.Helper()
	starts := 0
	for _, d := range r.term.state.Decide(r.clk.Now()) {
		if _, ok := d.(sched.Start); ok {
			starts++
		}
	}
	if starts != 1 {
		r.t.Fatalf("%d starts, want 1", starts)
	}
}

// fail handles n polls without an answer.
func (r *restartTerm) fail(n int) {
	for range n {
		r.engine.handlePollReply(r.term, r.conn, r.clk.Now(), PollReply{}, errors.New("no answer"))
	}
}

// lines returns the fields of all log lines with a message.
func (r *restartTerm) lines(message string) []map[string]any {
	var out []map[string]any
	for _, l := range r.logs.FilterMessage(message).All() {
		out = append(out, l.ContextMap())
	}
	return out
}

// count returns the value of a counter without labels.
func (r *restartTerm) count(name string) float64 {
	r.t.Helper()
	families, err := r.metrics.Registry().Gather()
	if err != nil {
		r.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	r.t.Fatalf("no metric %s", name)
	return 0
}

// TestWorkerRestartedLine guards against a worker that starts again under its id without a line that
// says what was sent to its former life, and against lines for workers that did not restart.
func TestWorkerRestartedLine(t *testing.T) {
	t.Parallel()
	first := PollReply{ClockMS: 50_000, BootUnixMS: 1}
	tests := map[string]struct {
		do   func(*restartTerm)
		want []map[string]any
	}{
		"first reply": {do: func(r *restartTerm) { r.reply(first) }},
		"same life": {do: func(r *restartTerm) {
			r.reply(first)
			r.fail(2)
			r.reply(PollReply{ClockMS: 51_000, BootUnixMS: 1})
		}},
		"incarnation not given": {do: func(r *restartTerm) {
			r.reply(first)
			r.reply(PollReply{ClockMS: 51_000})
		}},
		"restarted": {
			do: func(r *restartTerm) {
				r.reply(first)
				r.start()
				r.conn.leaseExpiresMS = 57_000
				r.clk.Advance(2 * time.Second)
				r.fail(3)
				r.reply(PollReply{ClockMS: 400, BootUnixMS: 9, Running: []sched.RunStatus{{Task: graph.TaskID{Job: testJob}, Attempt: 1}}})
			},
			want: []map[string]any{{
				"worker": "w0", "former_boot_ms": int64(1), "boot_ms": int64(9), "clock_ms": int64(400), "former_clock_ms": int64(52_000),
				"sent_expiry_ms": int64(57_000), "failures": int64(3), "running": int64(1), "unconfirmed": int64(1),
			}},
		},
		"restarted at another address": {
			do: func(r *restartTerm) {
				r.reply(first)
				r.conn.clockMS = 0 // as for a new address
				r.reply(PollReply{ClockMS: 400, BootUnixMS: 9})
			},
			want: []map[string]any{{
				"worker": "w0", "former_boot_ms": int64(1), "boot_ms": int64(9), "clock_ms": int64(400), "former_clock_ms": int64(0),
				"sent_expiry_ms": int64(0), "failures": int64(0), "running": int64(0), "unconfirmed": int64(0),
			}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			tt.do(r)
			if diff := cmp.Diff(tt.want, r.lines("worker restarted"), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(float64(len(tt.want)), r.count("limpethitch_worker_restarts_total")); diff != "" {
				t.Errorf("restarts counted (-want +got):\n%s", diff)
			}
		})
	}
}
