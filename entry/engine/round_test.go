package engine

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
)

// TestDecideAfterPause guards against an owner that decides after a pause by a configuration
// that may have changed meanwhile, although it still has authority.
func TestDecideAfterPause(t *testing.T) {
	t.Parallel()
	clk := clock.NewFake(time.Unix(1000, 0))
	self := lead.Holder{VM: "vm0", Name: "vm0-a", Addr: "a0"}
	elector := lead.New(lead.Config{Store: store.NewMemory(), Self: self}, clk, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = elector.Run(ctx) }()
	for _, ok := elector.Authority(); !ok; _, ok = elector.Authority() {
		<-elector.Changed()
	}
	current := false
	e := New(Config{Self: self, Elector: elector, RulesCurrent: func() bool { return current }}, clk, zap.NewNop())
	state := sched.New(sched.Config{StartTTL: time.Second, ReserveAdviser: func(int64) (string, bool) { return "", false }})
	state.SetNow(clk.Now(), 0)
	state.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "s"}}, nil, rules.Limits{}))
	state.PutWorker(sched.WorkerSpec{ID: "w0", Service: "s", Capacity: (&graph.Step{CPUMilli: 1000}).Size(), BootUnixMS: 1})
	state.Observe(sched.Report{Worker: "w0", BootUnixMS: 1, PolledAt: clk.Now()})
	state.AddJob(&graph.Job{ID: testJob, Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: 100, EstimateMS: 1000}}})
	e.term = &term{ctx: ctx, cancel: cancel, state: state, ready: true, dirty: true, writing: true}
	// With writing set, a round only asks for advice; the check comes before that.
	clk.Advance(minRoundInterval)
	wait, again := e.decide()
	if diff := cmp.Diff([]any{tickInterval, true, clock.Mono(0)}, []any{wait, again, e.term.advisedAt}); diff != "" {
		t.Errorf("wait, again and time of the last decision after a pause (-want +got):\n%s", diff)
	}
	current = true
	if _, again := e.decide(); !again || e.term.advisedAt == 0 {
		t.Error("no decision once the configuration was read again")
	}
}

// TestLargeRound guards against a round with more events than one value of the store holds: the
// store refuses it each time that it is sent, and nothing is started any more.
func TestLargeRound(t *testing.T) {
	t.Parallel()
	const tasks, valueBytes = 5000, 1 << 18
	h := newHarness(t)
	h.store.mu.Lock()
	h.store.maxValue = valueBytes
	h.store.mu.Unlock()
	go func() {
		for range h.worker.started {
		}
	}()
	job := graph.Job{ID: testJob, Team: "a", Queue: "q", Steps: []graph.Step{{Count: tasks, EstimateMS: 100}}}
	raw, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.store.Commit(h.ctx, store.NewTxn().If(JobPrefix+job.ID, 0).Put(JobPrefix+job.ID, raw)); err != nil {
		t.Fatal(err)
	}
	h.waitForStatus(t, func(s JobStatus) bool { return s.State == sched.JobDone })
}
