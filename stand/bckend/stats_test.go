package bckend

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a ring that grows without bound, or forgets a run that is
// repeated within it.
func TestRuns(t *testing.T) {
	r := newRuns(2)
	for _, id := range []string{"a", "b", "b", "c", "b"} {
		r.add(id)
	}
	if d := cmp.Diff(map[string]int{"b": 3, "c": 1}, r.count); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(int64(1), r.dropped); d != "" {
		t.Error(d)
	}
}
