package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

// TestFence guards against a start on a restarted worker before it has seen a token that rejects the
// orders for its former incarnation, and against a worker that gets no task any more.
func TestFence(t *testing.T) {
	t.Parallel()
	const token = testFenceToken
	report := func(bootMS, token int64) func(*State) {
		return func(s *State) {
			s.Observe(Report{Worker: "w0", BootUnixMS: bootMS, Token: token, PolledAt: s.now})
		}
	}
	list := func(s *State) { listTestWorker(s, "w0", 2) }
	round := func(s *State) { s.fenceRestarted() }
	stored := func(token int64) func(*State) { return func(s *State) { s.RestartsStored(token) } }
	wait := func(d time.Duration) func(*State) { return func(s *State) { s.SetNow(s.now.Add(d), 0) } }
	remove := func(s *State) { s.DelistWorker("w0"); s.SetNow(s.now.Add(relistTime), 0); s.endExpiredRuns() }
	relist := func(s *State) { listTestWorker(s, "w0", 1) }
	failed := func(s *State) { s.PollFailed("w0") }
	raised := []func(*State){list, report(2, 1), round, stored(token)}
	starts := []graph.TaskID{taskID(0, 0)}
	tests := map[string]struct {
		steps []func(*State)
		want  []graph.TaskID
	}{
		"no restart":                       {want: starts},
		"restart":                          {steps: []func(*State){list, report(2, 1)}},
		"being stored":                     {steps: []func(*State){list, report(2, 1), round}},
		"stored":                           {steps: raised},
		"answers with the former token":    {steps: append(raised[:4:4], report(2, token-1))},
		"answers with the token":           {steps: append(raised[:4:4], report(2, token)), want: starts},
		"answers late":                     {steps: append(raised[:4:4], wait(FenceTTL+1), report(2, token))},
		"answers late, raised again":       {steps: append(raised[:4:4], wait(FenceTTL+1), report(2, token), round, stored(token+1), report(2, token+1)), want: starts},
		"restarts while it is stored":      {steps: []func(*State){list, report(3, 1), round, report(2, 1), stored(token), report(2, token)}},
		"restarts again, raised again":     {steps: []func(*State){list, report(3, 1), round, report(2, 1), stored(token), round, stored(token + 1), report(2, token+1)}, want: starts},
		"removed, listed again":            {steps: []func(*State){remove, relist, report(1, 1)}},
		"removed, listed again, raised":    {steps: []func(*State){remove, relist, report(1, 1), round, stored(token), report(1, token)}, want: starts},
		"removed, listed again much later": {steps: []func(*State){remove, wait(maxOrderDelay), func(s *State) { s.forgetDeparted() }, relist, report(1, 1)}, want: starts},
		"poll failed":                      {steps: []func(*State){failed}},
		"poll failed, answers":             {steps: []func(*State){failed, report(1, 1)}, want: starts},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			for _, step := range tt.steps {
				step(s)
			}
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
			if diff := cmp.Diff(tt.want, startsOf(s.Decide(s.now))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLeaseEnd guards against a run that is given up while it may hold the longest lease, because an
// order for a former incarnation of its worker can have begun it there, and against a task that waits for
// that lease although its worker's present incarnation accepted the only try of the start.
func TestLeaseEnd(t *testing.T) {
	t.Parallel()
	const short, long = testLease, MaxOrderTime + 10*time.Second
	tests := map[string]struct {
		outcome StartOutcome
		listed  bool
		// after is how long after the start the worker was last polled.
		after time.Duration
		want  time.Duration
	}{
		"accepted, not listed":                    {outcome: OutcomeStarted, want: short},
		"accepted by a later incarnation":         {outcome: OutcomeStartedByLater, want: long},
		"accepted on a later try, not listed":     {outcome: OutcomeStartedOnRetry, want: long},
		"listed":                                  {outcome: OutcomeStarted, listed: true, after: time.Second, want: short},
		"listed, a try without an answer":         {outcome: OutcomeStartedOnRetry, listed: true, after: time.Second, want: long},
		"listed, no answer":                       {outcome: OutcomeUnknown, listed: true, after: time.Second, want: long},
		"listed after the start's deadline":       {outcome: OutcomeUnknown, listed: true, after: 3 * time.Second, want: short},
		"listed late, a try without an answer":    {outcome: OutcomeStartedOnRetry, listed: true, after: 3 * time.Second, want: short},
		"not listed, an answer that is not clear": {outcome: OutcomeUnknown, want: long},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.cfg.MaxLease, s.cfg.LeaseCap = testLease, 10*time.Second
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
			s.Decide(s.now)
			s.StartAnswered(taskID(0, 0), 1, "w0", tt.outcome)
			if tt.listed {
				s.SetNow(s.now.Add(tt.after), 0)
				s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
			}
			sent := s.now
			s.LeaseExtended("w0", sent, sent.Add(testLease))
			w := s.workers["w0"]
			var got clock.Mono
			for _, r := range w.runs {
				got = s.leaseEnd(w, r)
			}
			if diff := cmp.Diff(tt.want, got.Sub(sent)); diff != "" {
				t.Errorf("lease after the last order (-want +got):\n%s", diff)
			}
		})
	}
}
