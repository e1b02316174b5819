package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

// servicePair is a state in which both tasks of a step that allows one to be unavailable are at work, on w0
// and w1, and a third worker is idle.
type servicePair struct {
	*State
	reportedAt clock.Mono
}

func newServicePair(t *testing.T) *servicePair {
	t.Helper()
	p := &servicePair{State: newState(t, nil)}
	addTestWorker(p.State, "w1", 1)
	addTestWorker(p.State, "w2", 1)
	p.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 1000, Service: true, MaxUnavailable: 1, MaxPerWorker: 1}))
	startAll(p.State, testNow)
	p.StartsStored(1)
	p.report(testNow.Add(time.Second), "w0", 100)
	p.report(testNow.Add(time.Second), "w1", 100)
	return p
}

// report has a worker list its task with a progress in percent.
func (p *servicePair) report(at clock.Mono, worker string, percent int) {
	p.SetNow(at, 11_000)
	index := 0
	if worker == "w1" {
		index = 1
	}
	p.Observe(Report{
		Worker: worker, BootUnixMS: 1, PolledAt: at, Running: []RunStatus{{Task: taskID(0, index), Attempt: 1, Percent: percent}},
	})
	p.reportedAt = at
}

// maintenanceStops has w0 drain for maintenance, and returns the tasks that are stopped for it.
func (p *servicePair) maintenanceStops(at clock.Mono) []graph.TaskID {
	p.SetNow(at, 11_000)
	p.SetDrainDeadlines(map[string]clock.Mono{"w0": at})
	var out []graph.TaskID
	for _, d := range p.Decide(at) {
		if st, ok := d.(Stop); ok && (st.Reason == ReasonWorkerExits || st.Reason == ReasonRepeated) {
			out = append(out, st.Task)
		}
	}
	return out
}

// TestStopOnOldEvidence guards against a stop that leaves no task of a service at work, because the other
// task counts as available although its worker no longer answers, has restarted or has left, or was not
// seen at work since.
func TestStopOnOldEvidence(t *testing.T) {
	t.Parallel()
	stopped := []graph.TaskID{taskID(0, 0)}
	takeOver := func(p *servicePair, listedFor time.Duration) {
		p.State = recoverFrom(p.State)
		for _, w := range []string{"w0", "w1", "w2"} {
			listTestWorker(p.State, w, 1)
		}
		p.Observe(Report{Worker: "w2", BootUnixMS: 1, PolledAt: p.now})
		first := p.now
		for _, at := range []clock.Mono{first, first.Add(listedFor)} {
			p.report(at, "w0", 100)
			p.report(at, "w1", 100)
		}
	}
	tests := map[string]struct {
		// after is what happens once both tasks are at work.
		after func(p *servicePair)
		wait  time.Duration // since the last report
		want  []graph.TaskID
	}{
		"the other task is at work":            {after: func(*servicePair) {}, want: stopped},
		"its worker left a poll unanswered":    {after: func(p *servicePair) { p.PollFailed("w1") }},
		"its worker is silent":                 {after: func(p *servicePair) { p.WorkerUnresponsive("w1") }},
		"its worker was last heard before now": {after: func(*servicePair) {}, wait: maxReportAge + time.Millisecond},
		"its worker is no longer listed":       {after: func(p *servicePair) { p.DelistWorker("w1") }, wait: relistTime},
		"its worker's entry lapsed just now":   {after: func(p *servicePair) { p.DelistWorker("w1") }, want: stopped},
		"its worker restarted": {after: func(p *servicePair) {
			p.Observe(Report{Worker: "w1", BootUnixMS: 2, PolledAt: p.now})
		}},
		"its worker's list shows another life": {after: func(p *servicePair) { listTestWorker(p.State, "w1", 2) }},
		"its worker restarted and accepted it again": {after: func(p *servicePair) {
			p.StartAnswered(taskID(0, 1), 1, "w1", OutcomeStartedOnRetry)
			observeFenced(p.State, Report{Worker: "w1", BootUnixMS: 2, PolledAt: p.now})
			p.Decide(p.now)
			p.StartAnswered(taskID(0, 1), 1, "w1", OutcomeStarted)
		}},
		"it is only starting": {after: func(p *servicePair) { p.report(p.now.Add(time.Second), "w1", 50) }},
		"neither was seen at work yet": {after: func(p *servicePair) {
			p.report(p.now.Add(time.Second), "w0", 99)
			p.report(p.now, "w1", 99)
		}},
		"a former owner may have stopped it":     {after: func(p *servicePair) { takeOver(p, 300*time.Millisecond) }},
		"no stop of a former owner is under way": {after: func(p *servicePair) { takeOver(p, 500*time.Millisecond) }, want: stopped},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newServicePair(t)
			tt.after(p)
			if diff := cmp.Diff(tt.want, p.maintenanceStops(p.reportedAt.Add(tt.wait))); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStopRepeatedOnOldEvidence guards against a stop that took no effect and is sent again later, when the
// other task of the service is no longer at work, and against a cancelled job whose stop is not repeated.
func TestStopRepeatedOnOldEvidence(t *testing.T) {
	t.Parallel()
	stopped := []graph.TaskID{taskID(0, 0)}
	tests := map[string]struct {
		after func(p *servicePair)
		want  []graph.TaskID
	}{
		"the other task is at work": {after: func(*servicePair) {}, want: stopped},
		"its worker is silent":      {after: func(p *servicePair) { p.WorkerUnresponsive("w1") }},
		"its worker is silent, the first one's shuts down": {after: func(p *servicePair) {
			p.WorkerUnresponsive("w1")
			p.PutWorker(WorkerSpec{
				ID: "w0", Addr: "w0", DataCentre: "dc", Service: "svc", Capacity: amount.New(32000, 64000, 0, 0), BootUnixMS: 1, Draining: true,
			})
		}, want: stopped},
		"its worker is silent, the job was cancelled": {after: func(p *servicePair) { p.WorkerUnresponsive("w1"); p.Cancel(testJob) }, want: stopped},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newServicePair(t)
			if diff := cmp.Diff(stopped, p.maintenanceStops(p.now)); diff != "" {
				t.Fatalf("first stops (-want +got):\n%s", diff)
			}
			at := p.now.Add(stopRetryInterval)
			p.report(at, "w0", 100)
			p.report(at, "w1", 100)
			tt.after(p)
			if diff := cmp.Diff(tt.want, p.maintenanceStops(at)); diff != "" {
				t.Errorf("repeated stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMayEndRuns guards against a maintenance order that ends the only task of a service that is at work, and
// against orders that wait for nothing.
func TestMayEndRuns(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		after func(p *servicePair)
		want  map[string]bool
	}{
		"both at work":          {after: func(*servicePair) {}, want: map[string]bool{"w0": true, "w1": true, "w2": true, "unknown": true}},
		"one worker is silent":  {after: func(p *servicePair) { p.WorkerUnresponsive("w1") }, want: map[string]bool{"w0": false, "w1": true, "w2": true, "unknown": true}},
		"job cancelled as well": {after: func(p *servicePair) { p.WorkerUnresponsive("w1"); p.Cancel(testJob) }, want: map[string]bool{"w0": true, "w1": true, "w2": true, "unknown": true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newServicePair(t)
			tt.after(p)
			got := make(map[string]bool)
			for id := range tt.want {
				got[id] = p.MayEndRuns(id)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("workers whose runs may be ended (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCopiesCountOnce guards against a stop that is allowed because two runs of another task count as two
// available tasks.
func TestCopiesCountOnce(t *testing.T) {
	t.Parallel()
	s := newLargeState(t, 4)
	s.AddJob(newJob(graph.Step{Count: 3, CPUMilli: 1000, Service: true, AllowDuplicates: true, MaxUnavailable: 1, MaxPerWorker: 1}))
	startAll(s, testNow)
	s.StartsStored(1)
	list := func(worker string, index, attempt int) {
		s.Observe(Report{
			Worker: worker, BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, index), Attempt: attempt, Percent: progressComplete}},
		})
	}
	on := make(map[int]string) // workers of the tasks
	for _, st := range s.jobs[testJob].occurrences[0] {
		for _, r := range st.liveRuns {
			on[r.task.index] = r.worker.spec.ID
		}
	}
	s.SetNow(testNow.Add(time.Second), 11_000)
	list(on[0], 0, 1)
	list(on[1], 1, 1)
	// The worker of task 1 is silent for a while, and the task gets a copy on the fourth worker.
	s.WorkerUnresponsive(on[1])
	var second string
	for _, d := range s.Decide(s.now) {
		if st, ok := d.(Start); ok && st.Task == taskID(0, 1) {
			second = st.Worker
		}
	}
	if second == "" {
		t.Fatal("task 1 gets no copy")
	}
	s.StartsStored(2)
	s.StartAnswered(taskID(0, 1), 2, second, OutcomeStarted)
	list(second, 1, 2)
	list(on[1], 1, 1)
	// Task 2 was never seen at work, so that task 0 must go on.
	s.SetDrainDeadlines(map[string]clock.Mono{on[0]: s.now})
	for _, d := range s.Decide(s.now) {
		if st, ok := d.(Stop); ok && st.Task == taskID(0, 0) {
			t.Errorf("task 0 is stopped (%s) while task 2 is unavailable", st.Reason)
		}
	}
}
