package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

// TestStopOnOldEvidence guards against a stop that leaves no task of a service at work, because a
// task counts as not at work although it has begun since.
func TestStopOnOldEvidence(t *testing.T) {
	t.Parallel()
	stopped := []graph.TaskID{taskID(0, 0)}
	tests := map[string]struct {
		// after is what happens once both tasks are at work.
		after func(p *servicePair)
		wait  time.Duration // since the last report
		want  []graph.TaskID
	}{
		"the other task is at work": {after: func(*servicePair) {}, want: stopped},
		"neither was seen at work yet": {after: func(p *servicePair) {
			p.report(p.now.Add(time.Second), "w0", 99)
			p.report(p.now, "w1", 99)
		}},
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
