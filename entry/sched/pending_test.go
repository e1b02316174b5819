package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// TestPending guards against jobs that no worker has started a task of and that are not counted as pending,
// because their first start was decided and then refused, withdrawn or not answered.
func TestPending(t *testing.T) {
	t.Parallel()
	answer := func(outcome StartOutcome) func(*State) *State {
		return func(s *State) *State {
			s.StartAnswered(taskID(0, 0), 1, "w0", outcome)
			return s
		}
	}
	list := func(s *State) *State {
		s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
		return s
	}
	end := func(outcome events.RunOutcome) func(*State) *State {
		return func(s *State) *State {
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now, Ended: []RunEnd{{Seq: 1, Task: taskID(0, 0), Attempt: 1, Outcome: outcome}}})
			return s
		}
	}
	tests := map[string]struct {
		then func(*State) *State
		want int
	}{
		"decided":                     {then: func(s *State) *State { return s }, want: 1},
		"refused":                     {then: answer(OutcomeUnhealthy), want: 1},
		"withdrawn":                   {then: answer(OutcomeNotSent), want: 1},
		"no answer":                   {then: answer(OutcomeUnknown), want: 1},
		"started":                     {then: answer(OutcomeStarted), want: 0},
		"started on a later try":      {then: answer(OutcomeStartedOnRetry), want: 0},
		"listed":                      {then: list, want: 0},
		"ended as done":               {then: end(events.RunDone), want: 0},
		"ended as failed":             {then: end(events.RunFailed), want: 0},
		"new owner, decided":          {then: recoverFrom, want: 1},
		"new owner, listed":           {then: func(s *State) *State { return list(recoverFrom(s)) }, want: 0},
		"new owner, failed before it": {then: func(s *State) *State { return recoverFrom(end(events.RunFailed)(s)) }, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 20_000, EstimateMS: 60_000}))
			s.Decide(testNow.Add(time.Second))
			if diff := cmp.Diff(tt.want, tt.then(s).Pending()["q"]); diff != "" {
				t.Errorf("pending jobs (-want +got):\n%s", diff)
			}
		})
	}
}
