package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/graph"
)

// newGivenUpState returns a state with two runs on w1, one of which the worker accepted. Its leases
// end testLease after the start.
func newGivenUpState(t *testing.T) *State {
	t.Helper()
	s := newState(t, nil)
	s.DelistWorker("w0")
	addTestWorker(s, "w1", 1)
	s.SetNow(testNow.Add(relistTime), 0)
	s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 1000, EstimateMS: 60_000}))
	if diff := cmp.Diff([]graph.TaskID{taskID(0, 0), taskID(0, 1)}, startsOf(s.Decide(s.now))); diff != "" {
		t.Fatalf("starts (-want +got):\n%s", diff)
	}
	s.StartAnswered(taskID(0, 0), 1, "w1", OutcomeStarted)
	s.LeaseExtended("w1", s.now.Add(testLease))
	return s
}

// TestLeaseEnds guards against runs that are given up without a record that says how long their
// worker was silent, and against records of runs that ended in another way.
func TestLeaseEnds(t *testing.T) {
	t.Parallel()
	const silentAfter = time.Second
	begin := testNow.Add(relistTime)
	silent := func(s *State) {
		s.SetNow(begin.Add(silentAfter), 0)
		s.WorkerUnresponsive("w1")
	}
	decide := func(after time.Duration) func(*State) {
		return func(s *State) { s.Decide(begin.Add(after)) }
	}
	record := LeaseEnd{Worker: "w1", BootUnixMS: 1, Runs: 2, Unconfirmed: 1}
	silentRecord := record
	silentRecord.SilentSince = begin.Add(silentAfter)
	tests := map[string]struct {
		steps []func(*State)
		want  []LeaseEnd
	}{
		"silent, leases last":    {steps: []func(*State){silent, decide(testLease - 1)}},
		"silent, leases ended":   {steps: []func(*State){silent, decide(testLease)}, want: []LeaseEnd{silentRecord}},
		"taken only once":        {steps: []func(*State){silent, decide(testLease), func(s *State) { s.TakeLeaseEnds() }, decide(testLease + 1)}},
		"delisted, leases ended": {steps: []func(*State){func(s *State) { s.DelistWorker("w1") }, decide(testLease)}, want: []LeaseEnd{record}},
		"answers": {steps: []func(*State){silent, func(s *State) {
			s.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}, {Task: taskID(0, 1), Attempt: 1}}})
		}, decide(testLease)}},
		"another incarnation answers": {steps: []func(*State){silent, func(s *State) {
			s.Observe(Report{Worker: "w1", BootUnixMS: 2, PolledAt: begin.Add(3 * time.Second)})
		}, decide(testLease)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGivenUpState(t)
			for _, step := range tt.steps {
				step(s)
			}
			if diff := cmp.Diff(tt.want, s.TakeLeaseEnds()); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
		})
	}
}
