package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

// stopsOf returns the tasks stopped by a list of decisions.
func stopsOf(list []Decision) []graph.TaskID {
	var out []graph.TaskID
	for _, d := range list {
		if st, ok := d.(Stop); ok {
			out = append(out, st.Task)
		}
	}
	return out
}

// startAll takes a decision and answers all its starts with success.
func startAll(s *State, now clock.Mono) {
	for _, d := range s.Decide(now) {
		if st, ok := d.(Start); ok {
			s.StartAnswered(st.Task, st.Attempt, st.Worker, OutcomeStarted)
		}
	}
}

// TestDraining guards against losing runs on a worker that announced its exit, and
// against stopping runs that finish before it.
func TestDraining(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		step    graph.Step
		resumed int           // progress at the start in percent
		percent int           // progress after one second
		left    time.Duration // time to the worker's exit at that point
		at      time.Duration // of the decision, after the start
		want    int           // stops
	}{
		"finishes before":          {step: graph.Step{Count: 1, Checkpointing: true}, percent: 50, left: 2 * time.Second, at: 2500 * time.Millisecond},
		"checkpoints, early":       {step: graph.Step{Count: 1, Checkpointing: true}, percent: 10, left: 3 * time.Second, at: 1500 * time.Millisecond},
		"checkpoints, last moment": {step: graph.Step{Count: 1, Checkpointing: true}, percent: 10, left: 3 * time.Second, at: 3200 * time.Millisecond, want: 1},
		"resumed, cannot finish":   {step: graph.Step{Count: 1}, resumed: 50, percent: 60, left: 3 * time.Second, at: 1100 * time.Millisecond, want: 1},
		"no checkpoints":           {step: graph.Step{Count: 1}, percent: 10, left: 3 * time.Second, at: 1100 * time.Millisecond, want: 1},
		"service task":             {step: graph.Step{Count: 1, Service: true}, percent: 100, left: 9 * time.Second, at: 1100 * time.Millisecond, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			tt.step.CPUMilli, tt.step.EstimateMS = 1000, 5000
			s.AddJob(newJob(tt.step))
			startAll(s, testNow)
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: testNow, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1, Percent: tt.resumed}}})
			reportedAt := testNow.Add(time.Second)
			s.SetNow(reportedAt, 11_000)
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: reportedAt, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1, Percent: tt.percent}}})
			s.PutWorker(WorkerSpec{
				ID: "w0", Addr: "w0", DataCentre: "dc", Service: "svc", Capacity: amount.New(32000, 64000, 0, 0), BootUnixMS: 1,
				Draining: true, LeavesAt: reportedAt.Add(tt.left),
			})
			got := stopsOf(s.Decide(testNow.Add(tt.at)))
			if diff := cmp.Diff(tt.want, len(got)); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDrainDeadlines guards against a worker that is not empty by its VM's maintenance, one
// that gets new tasks while it drains, and more unavailable service tasks than their step
// allows.
func TestDrainDeadlines(t *testing.T) {
	t.Parallel()
	s := newState(t, nil)
	s.AddJob(newJob(graph.Step{Count: 3, CPUMilli: 1000, Service: true, MaxUnavailable: 1}, graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
	startAll(s, testNow)
	report := func(now clock.Mono, percent ...int) {
		s.SetNow(now, 11_000)
		rep := Report{Worker: "w0", BootUnixMS: 1, PolledAt: now}
		for i, p := range percent {
			id := taskID(0, i)
			if i == 3 {
				id = taskID(1, 0)
			}
			rep.Running = append(rep.Running, RunStatus{Task: id, Attempt: 1, Percent: p})
		}
		s.Observe(rep)
	}
	now := testNow.Add(time.Second)
	report(now, 100, 100, 100, 5)
	addTestWorker(s, "w1", 2)
	s.SetDrainDeadlines(map[string]clock.Mono{"w0": now.Add(3 * time.Second)})
	steps := []struct {
		name string
		at   time.Duration
		do   func()
		want []graph.TaskID
	}{
		{name: "one service task at a time", at: 0, want: []graph.TaskID{taskID(0, 0)}},
		{name: "no further disruption allowed", at: time.Second / 2},
		{name: "another one once the first is available again", at: time.Second, do: func() {
			s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now, Ended: []RunEnd{{Seq: 1, Task: taskID(0, 0), Attempt: 1, Outcome: "s"}}, Running: []RunStatus{
				{Task: taskID(0, 1), Attempt: 1, Percent: 100}, {Task: taskID(0, 2), Attempt: 1, Percent: 100}, {Task: taskID(1, 0), Attempt: 1, Percent: 6},
			}})
			for _, d := range s.Decide(s.now) {
				if st, ok := d.(Start); ok && st.Worker != "w1" {
					t.Errorf("%v starts on %s, which drains for maintenance", st.Task, st.Worker)
				}
			}
			s.StartAnswered(taskID(0, 0), 2, "w1", OutcomeStarted)
			s.Observe(Report{Worker: "w1", BootUnixMS: 2, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 2, Percent: 100}}})
		}, want: []graph.TaskID{taskID(0, 1)}},
		{name: "the rest at the deadline", at: 3100 * time.Millisecond, want: []graph.TaskID{taskID(1, 0)}},
	}
	for _, step := range steps {
		s.SetNow(now.Add(step.at), 11_000)
		if step.do != nil {
			step.do()
		}
		var got []graph.TaskID
		for _, d := range s.Decide(now.Add(step.at)) {
			if st, ok := d.(Stop); ok && st.Reason == ReasonWorkerExits {
				got = append(got, st.Task)
			}
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("%s: stops (-want +got):\n%s", step.name, diff)
		}
	}
}

// TestUnknownStartIsNotStopped guards against stopping a task whose start got no answer. It
// may run, and a service task may be available while other tasks of its step are not.
func TestUnknownStartIsNotStopped(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ service bool }{
		"service task": {service: true},
		"batch task":   {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, Service: tt.service}))
			s.Decide(testNow)
			s.StartAnswered(taskID(0, 0), 1, "w0", OutcomeUnknown)
			if diff := cmp.Diff([]graph.TaskID(nil), stopsOf(s.TakeDecisions())); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}
