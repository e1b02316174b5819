package store_test

import (
	"context"
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

func commit(t *testing.T, m *store.Memory, txn *store.Txn) store.Result {
	t.Helper()
	res, err := m.Commit(context.Background(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func keys(t *testing.T, m *store.Memory, prefix string) map[string]string {
	t.Helper()
	kvs, _, err := m.List(context.Background(), prefix)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, kv := range kvs {
		out[kv.Key()] = string(kv.Value())
	}
	return out
}

// Guards against a transaction that takes effect only in part, and against one that
// takes effect although a condition does not hold.
func TestCommit(t *testing.T) {
	tests := map[string]struct {
		txn  *store.Txn
		done bool
		rev  int64
		want map[string]string
	}{
		"revision holds": {
			store.NewTxn().If("a", 2).Put("a", []byte("2")).Delete("b"), true, 4, map[string]string{"a": "2"},
		},
		"older revision": {
			store.NewTxn().If("a", 1).Put("a", []byte("2")), false, 3, map[string]string{"a": "1", "b": "1"},
		},
		"one of two": {
			store.NewTxn().If("a", 2).If("b", 2).Put("c", nil), false, 3, map[string]string{"a": "1", "b": "1"},
		},
		"must not exist": {
			store.NewTxn().If("a", 0).Put("a", []byte("2")), false, 3, map[string]string{"a": "1", "b": "1"},
		},
		"does not exist": {
			store.NewTxn().If("c", 0).Put("c", nil), true, 4, map[string]string{"a": "1", "b": "1", "c": ""},
		},
		"changes nothing": {store.NewTxn().If("a", 2).Delete("c"), true, 3, map[string]string{"a": "1", "b": "1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := store.NewMemory()
			commit(t, m, store.NewTxn().Put("a", []byte("1")))
			commit(t, m, store.NewTxn().Put("b", []byte("1")))
			res := commit(t, m, tt.txn)
			if d := cmp.Diff([]any{tt.done, tt.rev}, []any{res.Succeeded(), res.Revision()}); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(tt.want, keys(t, m, "")); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against a stored value that changes when the writer reuses its buffer.
func TestValueIsCopied(t *testing.T) {
	m := store.NewMemory()
	buf := []byte("1")
	commit(t, m, store.NewTxn().Put("a", buf))
	buf[0] = '2'
	if d := cmp.Diff(map[string]string{"a": "1"}, keys(t, m, "")); d != "" {
		t.Error(d)
	}
	if _, err := m.Get(context.Background(), "b"); !rcode.Is(err, rcode.NotFound) {
		t.Error(err)
	}
}

// Guards against a watch that silently skips changes that were dropped from the log,
// and against one that fails although the log still has its changes.
func TestWatchBounds(t *testing.T) {
	tests := map[string]struct {
		entries, bytes int
		from           int64
		want           []int64
		compacted      bool
	}{
		"all in log":       {10, math.MaxInt, 1, []int64{2, 3, 4}, false},
		"from the middle":  {10, math.MaxInt, 3, []int64{3, 4}, false},
		"oldest in log":    {2, math.MaxInt, 3, []int64{3, 4}, false},
		"dropped from log": {2, math.MaxInt, 2, nil, true},
		"within max bytes": {10, 8, 3, []int64{3, 4}, false},
		"beyond max bytes": {10, 8, 2, nil, true},
		"newest in log":    {0, 0, 4, []int64{4}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := store.NewMemoryBounded(tt.entries, tt.bytes)
			for range 3 {
				commit(t, m, store.NewTxn().Put("a", []byte("1234")))
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var got []int64
			next, err := m.Watch(ctx, "a", tt.from, func(c store.Change) {
				got = append(got, c.KV().ModRevision())
				if c.KV().ModRevision() == 4 {
					cancel()
				}
			})
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
			wantNext := tt.from
			if len(tt.want) > 0 {
				wantNext = tt.want[len(tt.want)-1] + 1
			}
			if d := cmp.Diff(wantNext, next); d != "" {
				t.Errorf("next revision:\n%s", d)
			}
			if d := cmp.Diff([]bool{tt.compacted, tt.compacted}, []bool{errors.Is(err, store.ErrCompacted), rcode.Is(err, rcode.NotFound)}); d != "" {
				t.Error(err, d)
			}
		})
	}
}

// Guards against a watch from revision 0 that reports earlier changes, and against
// changes of keys without the prefix.
func TestWatchFromNow(t *testing.T) {
	m := store.NewMemory()
	commit(t, m, store.NewTxn().Put("w/old", nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan string, 10)
	// The watch starts at the revision that is current when its goroutine runs, so
	// the test writes until the first change is reported.
	go func() {
		_, _ = m.Watch(ctx, "w/", 0, func(c store.Change) { got <- c.KV().Key() })
	}()
	for len(got) == 0 {
		commit(t, m, store.NewTxn().Put("other", nil))
		commit(t, m, store.NewTxn().Put("w/new", nil))
	}
	if d := cmp.Diff("w/new", <-got); d != "" {
		t.Error(d)
	}
}
