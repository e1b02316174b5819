package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// failRuns has n jobs of one task fail on the only worker, the first with the given number.
func failRuns(s *State, n int, now clock.Mono) {
	for i := range n {
		s.AddJob(newJobInQueue(100+i, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
		s.Decide(now)
		endRuns(s, events.RunFailed)
	}
}

// endRuns reports the end of all runs of the only worker.
func endRuns(s *State, outcome events.RunOutcome) {
	w := s.workerList[0]
	rep := Report{Worker: w.spec.ID, BootUnixMS: w.spec.BootUnixMS, PolledAt: s.now}
	for i, r := range w.runs {
		rep.Ended = append(rep.Ended, RunEnd{Seq: w.lastSeenSeq + int64(i) + 1, Task: r.task.id(), Attempt: r.attempt, Outcome: outcome})
	}
	s.Observe(rep)
}

// TestProbation guards against a worker that fails all that it starts and gets as many tasks
// as fit, or members of a gang, each time that it is tried again.
func TestProbation(t *testing.T) {
	t.Parallel()
	const afterSuspicion = suspectDuration + time.Second
	tests := map[string]struct {
		failures int
		// then changes the state after the failures.
		then func(*State) *State
		gang bool
		want int // tasks started of a step with eight
	}{
		"sound":                     {want: 8},
		"one failure":               {failures: 1, want: 8},
		"two failures":              {failures: 2, want: 1},
		"two failures, gang":        {failures: 2, gang: true, want: 0},
		"sound, gang":               {gang: true, want: 8},
		"two failures, new owner":   {failures: 2, then: restart, want: 1},
		"one failure, new owner":    {failures: 1, then: restart, want: 8},
		"two failures, new machine": {failures: 2, then: func(s *State) *State { addTestWorker(s, "w0", 2); return s }, want: 8},
		"two failures, then a success": {failures: 2, then: func(s *State) *State {
			s.AddJob(newJobInQueue(200, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000}))
			s.Decide(testNow.Add(afterSuspicion))
			endRuns(s, events.RunDone)
			return s
		}, want: 8},
		"two failures, then another of the same job": {failures: 2, then: func(s *State) *State {
			s.Decide(testNow.Add(afterSuspicion)) // the failed tasks wait for their next attempt
			endRuns(s, events.RunFailed)
			return s
		}, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			failRuns(s, tt.failures, testNow)
			if tt.then != nil {
				s = tt.then(s)
			}
			now := testNow.Add(afterSuspicion)
			for i := range tt.failures {
				s.Cancel(fmt.Sprintf("%016x", 100+i))
			}
			s.Decide(now)
			s.AddJob(newJobInQueue(1, "q", graph.Step{Count: 8, CPUMilli: 1000, EstimateMS: 1000, Gang: tt.gang}))
			got := 0
			for _, id := range startsOf(s.Decide(now.Add(time.Millisecond))) {
				if id.Job == fmt.Sprintf("%016x", 1) {
					got++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("tasks started (-want +got):\n%s", diff)
			}
		})
	}
}

// restart returns the state of a new owner that has the journal and the jobs of s.
func restart(s *State) *State {
	next := New(s.cfg)
	next.SetNow(s.now, 10_000)
	next.SetRules(s.rules)
	var docs []*graph.Job
	for _, j := range s.jobs {
		docs = append(docs, j.doc)
	}
	next.RestoreJobs(docs)
	next.Replay(s.TakeEvents())
	next.FinishRecovery(s.now)
	addTestWorker(next, "w0", 1)
	return next
}

// TestSuspicion guards against workers that get nothing for seconds because a few runs failed
// there by their jobs' own fault, and against a failing worker that is not recognized.
func TestSuspicion(t *testing.T) {
	t.Parallel()
	const jobCPU = 1000
	// fail has a task of a job fail on a worker.
	fail := func(s *State, job int, worker string) {
		doc := newJobInQueue(job, "q", graph.Step{Count: 1, CPUMilli: jobCPU, EstimateMS: 60_000})
		s.AddJob(doc)
		tk := s.lookupTask(graph.TaskID{Job: doc.ID})
		s.newRun(tk, s.workers[worker], tk.attempt+1)
		s.endRun(tk.run, events.RunFailed, "")
	}
	tests := map[string]struct {
		failures []int // on worker w0, by job
		// elsewhere are the jobs that fail on another worker first.
		elsewhere []int
		want      bool
	}{
		"two jobs":                               {failures: []int{1, 2}, want: false},
		"three jobs":                             {failures: []int{1, 2, 3}, want: true},
		"one job, again and again":               {failures: []int{1, 1, 1, 1}, want: false},
		"three jobs that failed elsewhere":       {elsewhere: []int{1, 2, 3}, failures: []int{1, 2, 3}, want: false},
		"on probation, a job that failed before": {elsewhere: []int{3}, failures: []int{1, 2, 3}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.SetRules(rules.New(2, []rules.Queue{{Name: "q", Service: "svc", MaxAttempts: 100}}, []rules.Team{{Name: "a", Rate: 100}}, rules.Limits{}))
			addTestWorker(s, "w1", 1)
			for _, job := range tt.elsewhere {
				fail(s, job, "w1")
				s.workers["w1"].failStreak = 0
			}
			for _, job := range tt.failures {
				fail(s, job, "w0")
			}
			if diff := cmp.Diff(tt.want, s.now < s.workers["w0"].suspectUntil); diff != "" {
				t.Errorf("suspected (-want +got):\n%s", diff)
			}
		})
	}
}
