package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/graph"
)

// TestAckToken guards against an acknowledgement that a later incarnation of the worker could execute
// after a late start, whose end it would remove unread, and against ends that are never acknowledged.
func TestAckToken(t *testing.T) {
	t.Parallel()
	const (
		stored  = 50 // token of the start
		current = 60
	)
	type result struct {
		Token int64
		OK    bool
	}
	held, lower, free := result{Token: stored - 1}, result{Token: stored - 1, OK: true}, result{Token: current, OK: true}
	answer := func(outcome StartOutcome) func(*State) *State {
		return func(s *State) *State {
			s.StartAnswered(taskID(0, 0), 1, "w0", outcome)
			return s
		}
	}
	takeOver := func(s *State) *State {
		s = recoverFrom(s)
		listTestWorker(s, "w0", 1)
		return s
	}
	listed := Report{Worker: "w0", BootUnixMS: 1, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}}
	tests := map[string]struct {
		step  graph.Step // of the task, if it is not a plain one
		seen  int64
		after func(*State) *State
		want  result
	}{
		"start not answered yet":     {want: lower},
		"start's token was seen":     {seen: stored, want: held},
		"answered":                   {after: answer(OutcomeStarted), want: free},
		"answered on a later try":    {after: answer(OutcomeStartedOnRetry), want: lower},
		"answered by another life":   {after: answer(OutcomeStartedByLater), want: lower},
		"no try answered":            {after: answer(OutcomeUnknown), want: lower},
		"refused":                    {after: answer(OutcomeNoCapacity), want: free},
		"copies allowed":             {step: graph.Step{AllowDuplicates: true}, want: free},
		"lasts":                      {step: graph.Step{Service: true}, want: free},
		"new owner, run not listed":  {after: takeOver, want: result{Token: -1}},
		"new owner, run listed":      {after: func(s *State) *State { s = takeOver(s); s.Observe(listed); return s }, want: free},
		"new owner, start repeated":  {after: func(s *State) *State { s = takeOver(s); observeAgain(s); return s }, want: result{Token: -1}},
		"the list of ends was cut":   {after: func(s *State) *State { s.Observe(Report{Worker: "w0", BootUnixMS: 1, MoreEnds: true}); return s }, want: free},
		"order can no longer arrive": {after: func(s *State) *State { s.SetNow(testNow.Add(2*time.Second+maxOrderDelay), 0); return s }, want: free},
		"job cancelled":              {after: func(s *State) *State { s.Cancel(testJob); return s }, want: free},
		"worker restarted":           {after: func(s *State) *State { s.Observe(Report{Worker: "w0", BootUnixMS: 2}); return s }, want: held},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			step := tt.step
			step.Count, step.CPUMilli, step.EstimateMS = 1, 1000, 60_000
			s.AddJob(newJob(step))
			s.Decide(testNow)
			if got, _ := s.AckToken("w0", current, 0); got != current {
				t.Errorf("token %d before the start is stored, want %d", got, current)
			}
			s.StartsStored(stored)
			if tt.after != nil {
				s = tt.after(s)
			}
			var got result
			got.Token, got.OK = s.AckToken("w0", current, tt.seen)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("acknowledgement (-want +got):\n%s", diff)
			}
		})
	}
}

// observeAgain has w0 answer without the run until its start is repeated.
func observeAgain(s *State) {
	s.SetNow(testNow.Add(3*time.Second), 0)
	s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now})
	s.Decide(s.now)
}
