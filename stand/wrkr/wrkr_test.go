package wrkr_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/agent"
	"limpethitch.example/stand/httpd"
	"limpethitch.example/stand/wrkr"
)

var (
	size = amount.New(1000, 512, 0, 0)
	base = time.UnixMilli(1_800_000_000_000)
)

type rig struct {
	clk  *clock.Fake
	w    *wrkr.Worker
	cli  *agent.Client
	addr string
}

func newRig(t *testing.T) rig {
	t.Helper()
	r := rig{clk: clock.NewFake(base), cli: agent.New(agent.Config{CallTimeout: 10 * time.Second})}
	r.w = wrkr.New(wrkr.Config{ID: "w1", Capacity: amount.New(4000, 4096, 0, 0)}, r.clk)
	ln, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	go func() { _ = r.w.Serve(ln) }()
	t.Cleanup(func() { _ = r.w.Close() })
	return r
}

// task lasts 60 s of running time under a lease of 20 s.
func (r rig) task(id string) agent.Task {
	return agent.NewTask(id, 1, "job", "ana", size, r.clk.Wall().Add(20*time.Second)).
		WithRun(60_000, amount.New(800, 256, 0, 0), agent.ExitOK)
}

func (r rig) start(t *testing.T, task agent.Task) {
	t.Helper()
	if err := r.cli.Start(context.Background(), r.addr, task); err != nil {
		t.Fatal(err)
	}
}

// renew returns the state of each task after renewing ids for 20 s.
func (r rig) renew(t *testing.T, ids, ack []string) map[string]agent.State {
	t.Helper()
	list, err := r.cli.Renew(context.Background(), r.addr, r.clk.Wall().Add(20*time.Second), ids, ack)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]agent.State{}
	for _, s := range list {
		out[s.ID()] = s.State()
	}
	return out
}

// Guards against a task that outlives its lease, which a successor's second
// start of it would then run beside.
func TestLease(t *testing.T) {
	r := newRig(t)
	r.start(t, r.task("kept"))
	r.start(t, r.task("left"))
	r.clk.Advance(15 * time.Second)
	r.renew(t, []string{"kept"}, nil)
	r.clk.Advance(10 * time.Second)
	want := map[string]agent.State{"kept": agent.StateRunning, "left": agent.StateLapsed}
	if d := cmp.Diff(want, r.renew(t, []string{"kept", "left"}, nil)); d != "" {
		t.Error(d)
	}
	starts := r.w.Stats().Starts
	if d := cmp.Diff(base.Add(20*time.Second).UnixMilli(), starts[1].EndedUnixMS); d != "" {
		t.Errorf("end of the task not renewed:\n%s", d)
	}
}

// Guards against a worker that runs an id twice or under a lease that passed.
func TestStartRefused(t *testing.T) {
	r := newRig(t)
	r.start(t, r.task("a"))
	tests := map[string]struct {
		task agent.Task
		want rcode.Code
	}{
		"id runs":      {r.task("a"), rcode.IDReused},
		"lease passed": {r.task("b").WithLease(base), rcode.DeadlinePassed},
		"no id":        {r.task(""), rcode.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := r.cli.Start(context.Background(), r.addr, tt.task)
			if d := cmp.Diff(tt.want, rcode.Of(err)); d != "" {
				t.Error(d)
			}
		})
	}
}
