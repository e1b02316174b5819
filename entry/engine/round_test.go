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
