package events

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/graph"
)

const termKey = "term"

// lossyStore loses the replies to the first writes, which still take effect.
type lossyStore struct {
	*store.Memory
	loseReplies int
}

func (l *lossyStore) Commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	res, err := l.Memory.Commit(ctx, t)
	if l.loseReplies > 0 {
		l.loseReplies--
		return store.Result{}, rcode.New(rcode.OutcomeUnknown, "the reply was lost")
	}
	return res, err
}

// beginTerm writes the term's key and returns the token of the new term.
func beginTerm(t *testing.T, st store.Store) int64 {
	t.Helper()
	res, err := st.Commit(context.Background(), store.NewTxn().Put(termKey, nil))
	if err != nil {
		t.Fatal(err)
	}
	return res.Revision()
}

// TestAppend guards against a segment that is stored twice or not at all when replies
// are lost, and against segments of a former owner.
func TestAppend(t *testing.T) {
	t.Parallel()
	list := []Event{Start(graph.TaskID{Job: "a"}, 1, "w", 7), End(graph.TaskID{Job: "a"}, 1, RunDone, "x"), Cancel("b")}
	tests := map[string]struct {
		loseReplies int
		superseded  bool
		wantCode    rcode.Code
		want        []Segment
	}{
		"stored":       {wantCode: rcode.OK, want: []Segment{{Key: segmentKey(3, 1), Events: list}}},
		"reply lost":   {loseReplies: 2, wantCode: rcode.OK, want: []Segment{{Key: segmentKey(3, 1), Events: list}}},
		"term is over": {superseded: true, wantCode: rcode.NotOwner},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			st := &lossyStore{Memory: store.NewMemory()}
			token := beginTerm(t, st)
			if tt.superseded {
				beginTerm(t, st)
			}
			st.loseReplies = tt.loseReplies
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_, _, err := NewWriter(st, termKey, 3, token, clock.New(), zap.NewNop()).Append(ctx, list)
			if diff := cmp.Diff(tt.wantCode, rcode.Of(err)); diff != "" {
				t.Errorf("code (-want +got):\n%s", diff)
			}
			got, err := Load(ctx, st)
			if err != nil {
				t.Fatal(err)
			}
			if len(got) == 0 {
				got = nil
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("journal (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSplit guards against segments that the store refuses for their size, and against events that
// are left out, repeated or reordered between segments.
func TestSplit(t *testing.T) {
	t.Parallel()
	const valueBytes = 1 << 20 // that the store accepts
	task := graph.TaskID{Job: "00000000000000aa"}
	many := func(n int, e Event) []Event {
		list := make([]Event, n)
		for i := range list {
			list[i] = e
			list[i].Attempt = i + 1
		}
		return list
	}
	tests := map[string]struct {
		list  []Event
		parts int
	}{
		"none":                 {parts: 1},
		"few":                  {list: many(100, Start(task, 1, "i-0123456789", 1)), parts: 1},
		"many":                 {list: many(20_000, Start(task, 1, "i-0123456789", 1_764_000_000_000)), parts: 20},
		"much":                 {list: many(3, End(task, 1, RunStopped, strings.Repeat("c", maxSegmentBytes))), parts: 3},
		"short list of leases": {list: append(many(2, Cancel("a")), Leases(make([]Lease, 100)), Cancel("b")), parts: 1},
		"long list of leases":  {list: append(many(2, Cancel("a")), Leases(make([]Lease, 1000)), Cancel("b")), parts: 3},
		"long lists":           {list: many(1000, Advice(task, slices.Repeat([]string{"i-0123456789"}, 100))), parts: 13},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			parts := Split(tt.list)
			if diff := cmp.Diff(tt.parts, len(parts)); diff != "" {
				t.Errorf("segments (-want +got):\n%s", diff)
			}
			var all []Event
			for _, p := range parts {
				raw, err := Encode(p)
				if err != nil {
					t.Fatal(err)
				}
				if len(raw) > valueBytes {
					t.Errorf("a segment has %d bytes", len(raw))
				}
				all = append(all, p...)
			}
			if diff := cmp.Diff(tt.list, all); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}
