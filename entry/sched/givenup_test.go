package sched

import (
	"strconv"
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
	s.LeaseExtended("w1", s.now, s.now.Add(testLease))
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

// TestOutlivedRuns guards against a lease that was counted too short and is not noticed when the
// worker answers again, and against false alarms: by a reply as old as the decision, or by runs
// that ended in time.
func TestOutlivedRuns(t *testing.T) {
	t.Parallel()
	begin := testNow.Add(relistTime)
	givenUpAt := begin.Add(testLease)
	both := []RunStatus{{Task: taskID(0, 0), Attempt: 1}, {Task: taskID(0, 1), Attempt: 1}}
	first := OutlivedRun{Worker: "w1", BootUnixMS: 1, GivenUpBootUnixMS: 1, Task: taskID(0, 0), Attempt: 1, Confirmed: true, GivenUpAt: givenUpAt}
	second := first
	second.Task, second.Confirmed = taskID(0, 1), false
	restarted := second
	restarted.BootUnixMS = 2
	report := func(after time.Duration, bootMS int64, running ...RunStatus) Report {
		return Report{Worker: "w1", BootUnixMS: bootMS, PolledAt: givenUpAt.Add(after), Running: running}
	}
	tests := map[string]struct {
		delisted bool // and removed, as it has no runs left
		reports  []Report
		want     []OutlivedRun
	}{
		"none listed":                 {reports: []Report{report(1, 1)}},
		"both listed":                 {reports: []Report{report(1, 1, both...)}, want: []OutlivedRun{first, second}},
		"listed by the next life":     {reports: []Report{report(1, 2, both[1])}, want: []OutlivedRun{restarted}},
		"listed on its return":        {delisted: true, reports: []Report{report(1, 1, both[0])}, want: []OutlivedRun{first}},
		"another attempt":             {reports: []Report{report(1, 1, RunStatus{Task: taskID(0, 0), Attempt: 2})}},
		"polled before":               {reports: []Report{report(0, 1, both...)}},
		"polled before, then after":   {reports: []Report{report(0, 1, both...), report(1, 1, both[0])}, want: []OutlivedRun{first}},
		"first answer lists none":     {reports: []Report{report(1, 1), report(2, 1, both...)}},
		"listed in two answers":       {reports: []Report{report(1, 1, both[0]), report(2, 1, both[0])}, want: []OutlivedRun{first}},
		"another worker's first list": {reports: []Report{{Worker: "w2", BootUnixMS: 1, PolledAt: givenUpAt.Add(1), Running: both}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newGivenUpState(t)
			if tt.delisted {
				s.DelistWorker("w1")
			} else {
				s.WorkerUnresponsive("w1")
			}
			s.Decide(givenUpAt)
			if tt.delisted {
				if s.HasWorker("w1") {
					t.Fatal("the delisted worker is still known")
				}
				listTestWorker(s, "w1", 1)
			}
			for _, r := range tt.reports {
				s.Observe(r)
			}
			if diff := cmp.Diff(tt.want, s.TakeOutlivedRuns()); diff != "" {
				t.Errorf("records (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]OutlivedRun(nil), s.TakeOutlivedRuns()); diff != "" {
				t.Errorf("records taken again (-want +got):\n%s", diff)
			}
		})
	}
}

// TestGivenUpIsBounded guards against given-up runs that are remembered without a bound, as many
// workers that never answer again would have them.
func TestGivenUpIsBounded(t *testing.T) {
	t.Parallel()
	const excess = 3
	s := newState(t, nil)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000}))
	runs := make(runSet, maxGivenUpRuns+excess)
	for i := range runs {
		runs[i] = &run{task: s.lookupTask(taskID(0, 0)), attempt: i + 1}
	}
	for i := range maxGivenUpWorkers + excess {
		s.SetNow(testNow.Add(time.Duration(i)), 0)
		s.recordLeaseEnd(&worker{spec: WorkerSpec{ID: strconv.Itoa(i)}}, runs)
	}
	first, last := s.givenUp[strconv.Itoa(excess-1)], s.givenUp[strconv.Itoa(excess)]
	if diff := cmp.Diff([]int{maxGivenUpWorkers, 0, maxGivenUpRuns, excess + 1}, []int{len(s.givenUp), len(first), len(last), last[0].attempt}); diff != "" {
		t.Errorf("workers, runs of one that was forgotten, runs of one that was kept, its first attempt (-want +got):\n%s", diff)
	}
}
