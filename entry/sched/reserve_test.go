package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// TestReservationBesideServiceTask guards against workers that are reserved for a gang which cannot fit
// before a service task ends, so that work of later queues waits while the workers are idle.
func TestReservationBesideServiceTask(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		first graph.Step // runs on one of the two workers
		busy  bool       // a task that ends by itself runs there, too
		cpu   int64      // of each of the gang's two members
		// stopping is whether the first task is being stopped.
		stopping bool
		// want is whether a later job gets the other worker while the gang waits.
		want bool
	}{
		"a service task leaves no room": {first: graph.Step{Count: 1, CPUMilli: 4000, Service: true}, cpu: 30_000, want: true},
		"a service task leaves room":    {first: graph.Step{Count: 1, CPUMilli: 4000, Service: true}, busy: true, cpu: 28_000, want: false},
		"a service task is being stopped": {
			first: graph.Step{Count: 1, CPUMilli: 4000, Service: true}, stopping: true, cpu: 30_000, want: false,
		},
		"a task that ends is in the way": {first: graph.Step{Count: 1, CPUMilli: 4000, EstimateMS: 60_000}, cpu: 30_000, want: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.SetRules(rules.New(1, []rules.Queue{
				{Name: "gangs", Service: "svc", StretchFactor: 9}, {Name: "later", Service: "svc", Priority: 1, StretchFactor: 9},
			}, nil, rules.Limits{}))
			addTestWorker(s, "w1", 1)
			s.AddJob(newJobInQueue(1, "gangs", tt.first))
			s.Decide(testNow)
			if tt.stopping {
				s.stop(s.lookupTask(graph.TaskID{Job: newJobInQueue(1, "gangs").ID}).run, ReasonSlowWorker)
			}
			if tt.busy {
				s.AddJob(newJobInQueue(4, "gangs", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
				s.Decide(testNow)
			}
			s.AddJob(newJobInQueue(2, "gangs", graph.Step{Count: 2, CPUMilli: tt.cpu, EstimateMS: 60_000, Gang: true}))
			s.Decide(testNow)
			later := newJobInQueue(3, "later", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
			s.Decide(testNow.Add(reserveAfter))
			s.AddJob(later)
			started := false
			for _, id := range startsOf(s.Decide(testNow.Add(reserveAfter + time.Second))) {
				started = started || id.Job == later.ID
			}
			if diff := cmp.Diff(tt.want, started); diff != "" {
				t.Errorf("a later job is started (-want +got):\n%s", diff)
			}
		})
	}
}
