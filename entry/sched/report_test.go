package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// TestEntryOfOtherIncarnation guards against ending the runs of a worker because of an entry in
// the platform's list that speaks of another life of it: one that is over and was read late, or
// one that another writer made up. The tasks would run twice at the same time.
func TestEntryOfOtherIncarnation(t *testing.T) {
	t.Parallel()
	const former, present, later = 1, 2, 3
	tests := map[string]struct {
		entry    int64 // start of the incarnation that the entry speaks of
		reported int64 // start of the one that reports next, without any run
		want     []graph.TaskID
	}{
		"former life, read late":    {entry: former},
		"later life, not confirmed": {entry: later},
		"unknown life":              {entry: 0},
		"later life":                {entry: later, reported: later, want: []graph.TaskID{taskID(0, 0)}},
		"later life, entry late":    {entry: present, reported: later, want: []graph.TaskID{taskID(0, 0)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLargeState(t, 2)
			addTestWorker(s, "w1", former)
			s.WorkerUnresponsive("w1")
			addTestWorker(s, "w0", present)
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
			s.Decide(testNow)
			s.StartAnswered(taskID(0, 0), 1, "w0", OutcomeStarted)
			s.SetNow(testNow.Add(time.Second), 11_000)
			s.Observe(Report{Worker: "w0", BootUnixMS: present, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
			listTestWorker(s, "w0", tt.entry)
			if tt.reported != 0 {
				observeFenced(s, Report{Worker: "w0", BootUnixMS: tt.reported, PolledAt: s.now})
			}
			s.Observe(Report{Worker: "w1", BootUnixMS: former, PolledAt: s.now})
			if diff := cmp.Diff(tt.want, startsOf(s.Decide(s.now))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoStartBeforeReport guards against a start for a worker's former life after its entry has
// shown a later one: the order's lease would be on the former life's clock.
func TestNoStartBeforeReport(t *testing.T) {
	t.Parallel()
	const present, later = 2, 3
	tests := map[string]struct {
		entry    int64 // start of the incarnation that the entry speaks of
		reported bool  // whether it reports then
		want     []graph.TaskID
	}{
		"same life":                {entry: present, want: []graph.TaskID{taskID(0, 0)}},
		"later life":               {entry: later},
		"later life, has reported": {entry: later, reported: true, want: []graph.TaskID{taskID(0, 0)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			addTestWorker(s, "w0", present)
			listTestWorker(s, "w0", tt.entry)
			if tt.reported {
				observeFenced(s, Report{Worker: "w0", BootUnixMS: tt.entry, PolledAt: s.now})
			}
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
			if diff := cmp.Diff(tt.want, startsOf(s.Decide(testNow))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCapacityOfOtherIncarnation guards against starts that exceed a worker's capacity, because the
// entry that says how much it has describes another incarnation than the one that reports.
func TestCapacityOfOtherIncarnation(t *testing.T) {
	t.Parallel()
	const former, present = 1, 2
	tests := map[string]struct {
		entries  []int64 // incarnations of the entries that are read, in order
		reported int64
		want     []graph.TaskID
	}{
		"same incarnation":          {entries: []int64{present}, reported: present, want: []graph.TaskID{taskID(0, 0)}},
		"entry of the former one":   {entries: []int64{former}, reported: present},
		"entry of a later one":      {entries: []int64{present}, reported: former},
		"former one's entry late":   {entries: []int64{present, former}, reported: present},
		"present one's entry later": {entries: []int64{former, present}, reported: present, want: []graph.TaskID{taskID(0, 0)}},
		"entry without incarnation": {entries: []int64{0}, reported: present, want: []graph.TaskID{taskID(0, 0)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.WorkerUnresponsive("w0")
			for _, bootMS := range tt.entries {
				listTestWorker(s, "w1", bootMS)
			}
			observeFenced(s, Report{Worker: "w1", BootUnixMS: tt.reported, PolledAt: s.now})
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
			if diff := cmp.Diff(tt.want, startsOf(s.Decide(testNow))); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCutListOfEnds guards against a run that is taken as lost, so that its task runs again,
// because its end did not fit into the list of a worker that has many ends to report.
func TestCutListOfEnds(t *testing.T) {
	t.Parallel()
	const index = 1 // of the task whose end is not listed at first
	own := func(t *testing.T) *State {
		s := newState(t, nil)
		s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 1000, EstimateMS: 1000}))
		s.Decide(testNow)
		for i := range 2 {
			s.StartAnswered(taskID(0, i), 1, "w0", OutcomeStarted)
		}
		return s
	}
	takenOver := func(t *testing.T) *State {
		s := recoverFrom(own(t))
		listTestWorker(s, "w0", 1)
		return s
	}
	tests := map[string]struct {
		state  func(*testing.T) *State
		more   bool
		starts []graph.TaskID
	}{
		"complete list":                   {state: own, starts: []graph.TaskID{taskID(0, index)}},
		"cut list":                        {state: own, more: true},
		"cut list, run of a former owner": {state: takenOver, more: true},
		"complete list, run of a former owner": {
			state: takenOver, starts: []graph.TaskID{taskID(0, index)},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := tt.state(t)
			at := testNow.Add(time.Second)
			s.SetNow(at, 11_000)
			end := func(seq int64, index int) RunEnd {
				return RunEnd{Seq: seq, Task: taskID(0, index), Attempt: 1, Outcome: events.RunDone}
			}
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: at, Ended: []RunEnd{end(1, 0)}, MoreEnds: tt.more})
			if diff := cmp.Diff(tt.starts, startsOf(s.Decide(at))); diff != "" {
				t.Errorf("starts after the first list (-want +got):\n%s", diff)
			}
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: at, Ended: []RunEnd{end(2, index)}})
			if got, _ := s.Job(testJob); got != JobDone {
				t.Errorf("job is %q after the second list, want %q", got, JobDone)
			}
		})
	}
}

// TestUnansweredStartGoesOn guards against giving up the run of a worker that was only slow to
// answer, and against a task that is started again before it is certain that the first start
// has no effect.
func TestUnansweredStartGoesOn(t *testing.T) {
	t.Parallel()
	const beforeExpiry, afterExpiry = time.Second, 2100 * time.Millisecond
	type result struct{ Starts, Stops int }
	tests := map[string]struct {
		polledAt time.Duration // after the start
		listed   bool
		want     result // of decisions after the start
	}{
		"listed":                          {polledAt: beforeExpiry, listed: true, want: result{}},
		"listed late":                     {polledAt: afterExpiry, listed: true, want: result{}},
		"not listed, may still begin":     {polledAt: beforeExpiry, want: result{}},
		"not listed, can no longer begin": {polledAt: afterExpiry, want: result{Starts: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
			s.Decide(testNow)
			s.SetNow(testNow.Add(800*time.Millisecond), 10_800)
			s.StartAnswered(taskID(0, 0), 1, "w0", OutcomeUnknown)
			rep := Report{Worker: "w0", BootUnixMS: 1, PolledAt: testNow.Add(tt.polledAt)}
			if tt.listed {
				rep.Running = []RunStatus{{Task: taskID(0, 0), Attempt: 1, Percent: 1}}
			}
			s.Observe(rep)
			var got result
			for _, d := range s.Decide(testNow.Add(tt.polledAt + 10*time.Millisecond)) {
				switch d.(type) {
				case Start:
					got.Starts++
				case Stop:
					got.Stops++
				case RequestAdvice, Throttle:
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("decisions (-want +got):\n%s", diff)
			}
		})
	}
}
