package accept

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// silent is a store that answers reads or not, and counts them.
type silent struct {
	*store.Memory
	cut   atomic.Bool
	reads atomic.Int64
}

func (s *silent) Get(ctx context.Context, key string) (store.KV, error) {
	s.reads.Add(1)
	if s.cut.Load() {
		return store.KV{}, rcode.New(rcode.OutcomeUnknown, "no answer")
	}
	return s.Memory.Get(ctx, key)
}

// TestWay guards against writes that are sent into a cut, whose callers would have
// to be told that the outcome is not known, against a read before each write while
// all is well, and against a way that stays closed after the cut.
func TestWay(t *testing.T) {
	t.Parallel()
	type step struct {
		do    func(w *way, st *silent, clk *clock.Fake)
		open  bool
		reads int64 // so far
	}
	pass := func(d time.Duration) func(*way, *silent, *clock.Fake) {
		return func(_ *way, _ *silent, clk *clock.Fake) { clk.Advance(d) }
	}
	nothing := func(*way, *silent, *clock.Fake) {}
	again := func(w *way, _ *silent, _ *clock.Fake) { w.read() }
	tests := map[string][]step{
		"well": {{do: nothing, open: true}, {do: func(w *way, _ *silent, _ *clock.Fake) { w.enter()(true) }, open: true}},
		"answers come slowly": {
			{do: func(w *way, _ *silent, _ *clock.Fake) { w.enter() }, open: true},
			{do: pass(quietFor + time.Millisecond), open: true, reads: 1},
			{do: nothing, open: true, reads: 1},
		},
		"cut and back": {
			{do: func(w *way, st *silent, _ *clock.Fake) { st.cut.Store(true); w.enter() }, open: true},
			{do: pass(quietFor / 2), open: true},
			{do: pass(quietFor), reads: 1},
			{do: nothing, reads: 1},
			{do: again, reads: 2},
			{do: func(w *way, st *silent, clk *clock.Fake) { st.cut.Store(false); again(w, st, clk) }, open: true, reads: 3},
			{do: nothing, open: true, reads: 3},
		},
		"a write without an answer": {
			{do: func(w *way, st *silent, _ *clock.Fake) { st.cut.Store(true); w.enter()(false) }, reads: 1},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewFake(time.Unix(1000, 0))
			st := &silent{Memory: store.NewMemory()}
			w := newWay(st, clk)
			for i, s := range steps {
				s.do(w, st, clk)
				if diff := cmp.Diff(s.open, w.open(context.Background())); diff != "" {
					t.Errorf("step %d: open (-want +got):\n%s", i, diff)
				}
				if diff := cmp.Diff(s.reads, st.reads.Load()); diff != "" {
					t.Errorf("step %d: reads (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// TestNotSentIntoACut guards against a write on a way that does not answer: "not
// accepted" would be untrue if it took effect after the cut.
func TestNotSentIntoACut(t *testing.T) {
	t.Parallel()
	st := &silent{Memory: store.NewMemory()}
	d, clk := newDesk(st, &peers{cut: true})
	st.cut.Store(true)
	d.way.enter()
	clk.Advance(2 * quietFor)
	if diff := cmp.Diff(rcode.StoreUnavailable, d.create(context.Background(), "k", nil, rcode.AcceptUnknown)); diff != "" {
		t.Errorf("code (-want +got):\n%s", diff)
	}
	st.cut.Store(false) // ends the reads
	if _, err := st.Memory.Get(context.Background(), "k"); rcode.Of(err) != rcode.NotFound {
		t.Errorf("the key was written: %v", err)
	}
}
