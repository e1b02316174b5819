package serve

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/roll"
)

// TestWorse guards against "not run" for a repeatable request that may have run
// on an earlier attempt.
func TestWorse(t *testing.T) {
	tests := map[string]struct{ before, now, want rcode.Code }{
		"refused twice":          {rcode.NoOwner, rcode.OverLimit, rcode.OverLimit},
		"may have run after":     {rcode.NoOwner, rcode.OutcomeUnknown, rcode.OutcomeUnknown},
		"may have run before":    {rcode.OutcomeUnknown, rcode.NoOwner, rcode.OutcomeUnknown},
		"may have run both ways": {rcode.OutcomeUnknown, rcode.AnswerIncomplete, rcode.AnswerIncomplete},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := worse(rcode.New(tt.before, "before"), rcode.New(tt.now, "now"))
			if d := cmp.Diff(tt.want, rcode.Of(got)); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestHoldsUnknown guards against a job that is called impossible while a VM
// does not know the workers yet.
func TestHoldsUnknown(t *testing.T) {
	v := &VM{layouts: &layouts{}, rolls: roll.New(roll.Deps{})}
	if d := cmp.Diff(manyTasks, v.holds(amount.New(1, 1, 0, 0))); d != "" {
		t.Error(d)
	}
}
