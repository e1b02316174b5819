package graph_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/graph"
)

// TestCheckSize guards against a job whose records exceed an owner's memory: it would end
// each owner in turn.
func TestCheckSize(t *testing.T) {
	t.Parallel()
	steps := func(n, count int) []graph.Step {
		out := make([]graph.Step, n)
		for i := range out {
			out[i].Count = count
		}
		return out
	}
	tests := map[string]struct {
		job  graph.Job
		code rcode.Code
	}{
		"one step":              {job: graph.Job{Steps: steps(1, graph.MaxTasks)}, code: rcode.OK},
		"many steps":            {job: graph.Job{Steps: steps(graph.MaxSteps, graph.MaxTasks/graph.MaxSteps)}, code: rcode.OK},
		"no steps":              {code: rcode.BadRequest},
		"too wide":              {job: graph.Job{Steps: steps(1, graph.MaxTasks+1)}, code: rcode.BadRequest},
		"too wide together":     {job: graph.Job{Steps: steps(2, graph.MaxTasks)}, code: rcode.BadRequest},
		"sum overflows":         {job: graph.Job{Steps: steps(3, 1<<62)}, code: rcode.BadRequest},
		"many occurrences":      {job: graph.Job{Steps: steps(1, 1), Occurrences: graph.MaxOccurrences}, code: rcode.OK},
		"too many occurrences":  {job: graph.Job{Steps: steps(1, 1), Occurrences: 2_000_000_000}, code: rcode.BadRequest},
		"negative task count":   {job: graph.Job{Steps: steps(1, -1)}, code: rcode.BadRequest},
		"negative occurrences":  {job: graph.Job{Steps: steps(1, 1), Occurrences: -1}, code: rcode.BadRequest},
		"dependency on itself":  {job: graph.Job{Steps: []graph.Step{{Count: 1, After: []int{0}}}}, code: rcode.BadRequest},
		"dependency on nothing": {job: graph.Job{Steps: []graph.Step{{Count: 1, After: []int{-1}}}}, code: rcode.BadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tt.job.ID = "00000000000000aa"
			if diff := cmp.Diff(tt.code, rcode.Of(tt.job.Check())); diff != "" {
				t.Errorf("code (-want +got):\n%s", diff)
			}
		})
	}
}
