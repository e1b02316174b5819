package engine

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

// silentWorkers are workers that answer nothing.
type silentWorkers struct{ Workers }

func (silentWorkers) Start(context.Context, StartOrder) (sched.StartOutcome, error) {
	return sched.OutcomeUnknown, errors.New("no answer")
}

func (silentWorkers) Poll(context.Context, PollOrder) (PollReply, error) {
	return PollReply{}, errors.New("no answer")
}

func (silentWorkers) Release(string) {}

// restartTerm is a term on a fake clock with a job of one task and one worker, w0. The test takes
// the place of the loop and gives the worker's answers; those to sent orders are not handled.
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
	self := lead.Holder{VM: "vm0", Name: "vm0-a", Addr: "a0"}
	elector := lead.New(lead.Config{Store: store.NewMemory(), Self: self}, r.clk, zap.NewNop())
	go func() { _ = elector.Run(t.Context()) }()
	for _, ok := elector.Authority(); !ok; _, ok = elector.Authority() {
		<-elector.Changed()
	}
	r.engine = New(Config{Self: self, Elector: elector, Workers: silentWorkers{}, Metrics: r.metrics, Lease: 7 * time.Second}, r.clk, zap.New(core))
	state := sched.New(sched.Config{StartTTL: maxStartDelay, ReserveAdviser: func(int64) (string, bool) { return "", false }})
	state.SetNow(r.clk.Now(), 0)
	state.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "svc"}}, nil, rules.Limits{}))
	state.PutWorker(sched.WorkerSpec{ID: "w0", Service: "svc", Capacity: amount.New(1000, 1000, 0, 0), BootUnixMS: 1})
	state.AddJob(&graph.Job{ID: testJob, Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: 100, EstimateMS: 60_000}}})
	r.conn = &workerConn{id: "w0", addr: "w0", listed: true}
	r.term = &term{ctx: t.Context(), cancel: func() {}, state: state, workers: map[string]*workerConn{"w0": r.conn}}
	r.engine.term = r.term
	return r
}

// reply handles the reply to a poll that was sent just now.
func (r *restartTerm) reply(reply PollReply) {
	r.engine.handlePollReply(r.term, r.conn, r.clk.Now(), PollOrder{Addr: r.conn.addr}, reply, nil)
}

// start sends a start of the task to w0.
func (r *restartTerm) start() {
	r.t.Helper()
	r.term.decidedAt = r.clk.Now()
	starts := r.engine.dispatch(r.term, r.term.state.Decide(r.clk.Now()), nil)
	if len(starts) != 1 {
		r.t.Fatalf("%d starts, want 1", len(starts))
	}
	r.engine.sendStart(r.term, starts[0])
}

// poll sends a poll to w0.
func (r *restartTerm) poll() {
	r.term.ready = true
	r.engine.poll(r.term, r.conn)
	r.term.ready, r.conn.polling = false, false
}

// fail handles n polls without an answer.
func (r *restartTerm) fail(n int) {
	for range n {
		r.engine.handlePollReply(r.term, r.conn, r.clk.Now(), PollOrder{Addr: r.conn.addr}, PollReply{}, errors.New("no answer"))
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
				r.poll()
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

// TestLeasesOverLine guards against runs that are given up without a line that says what was last
// sent to their worker, by which a lease that was counted too short is found.
func TestLeasesOverLine(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		do   func(*restartTerm)
		want map[string]any
	}{
		"extended by a poll": {
			do: func(r *restartTerm) {
				r.start()
				r.clk.Advance(time.Second)
				r.poll()
				r.clk.Advance(2 * time.Second)
				r.term.state.SetNow(r.clk.Now(), 0)
				r.fail(2)
			},
			want: map[string]any{
				"worker": "w0", "boot_ms": int64(1), "runs": int64(1), "unconfirmed": int64(1), "silent_ms": int64(8000),
				"extended_ms": int64(10_000), "clock_ms": int64(61_000), "sent_expiry_ms": int64(58_000),
			},
		},
		"extended by a start": {
			do: func(r *restartTerm) {
				r.poll()
				r.clk.Advance(time.Second)
				r.start()
				r.fail(2)
			},
			want: map[string]any{
				"worker": "w0", "boot_ms": int64(1), "runs": int64(1), "unconfirmed": int64(1), "silent_ms": int64(8000),
				"extended_ms": int64(8000), "clock_ms": int64(59_000), "sent_expiry_ms": int64(57_000),
			},
		},
		"delisted and unknown": {
			do: func(r *restartTerm) {
				r.start()
				r.term.state.DelistWorker("w0")
				delete(r.term.workers, "w0")
			},
			want: map[string]any{
				"worker": "w0", "boot_ms": int64(1), "runs": int64(1), "unconfirmed": int64(1), "silent_ms": int64(-1),
				"extended_ms": int64(-1), "clock_ms": int64(0), "sent_expiry_ms": int64(0),
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
			tt.do(r)
			r.clk.Advance(8 * time.Second)
			r.term.state.Decide(r.clk.Now())
			r.engine.storeRound(r.term, nil, nil)
			if diff := cmp.Diff([]map[string]any{tt.want}, r.lines("leases over")); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRunOutlivedLeaseLine guards against a run that goes on after its task may have started
// elsewhere, without a line and a count that say so.
func TestRunOutlivedLeaseLine(t *testing.T) {
	t.Parallel()
	task := graph.TaskID{Job: testJob}
	r := newRestartTerm(t)
	r.reply(PollReply{ClockMS: 50_000, BootUnixMS: 1})
	r.start()
	r.fail(2)
	r.clk.Advance(8 * time.Second)
	r.term.state.Decide(r.clk.Now())
	r.clk.Advance(500 * time.Millisecond)
	for range 2 { // the second reply adds nothing
		r.reply(PollReply{ClockMS: 3000, BootUnixMS: 9, Running: []sched.RunStatus{{Task: task, Attempt: 1}}})
	}
	want := []map[string]any{{
		"worker": "w0", "boot_ms": int64(9), "former_boot_ms": int64(1), "task": task.String(), "attempt": int64(1), "given_up_ms": int64(500),
		"confirmed": false, "clock_ms": int64(3000),
	}}
	if diff := cmp.Diff(want, r.lines("run outlived its lease")); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1.0, r.count("limpethitch_runs_outlived_lease_total")); diff != "" {
		t.Errorf("runs counted (-want +got):\n%s", diff)
	}
}
