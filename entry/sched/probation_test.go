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

// restart returns the state of a new owner that has the journal and the jobs of s, and has
// read that nothing runs on w0.
func restart(s *State) *State {
	next := recoverFrom(s)
	addTestWorker(next, "w0", 1)
	return next
}

// recoverFrom returns the state of a new owner that has the journal and the jobs of s.
func recoverFrom(s *State) *State {
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

// failOn has tasks of two jobs, the first with the given number, fail on a worker.
func failOn(s *State, worker string, first int) {
	for i := range probationThreshold {
		doc := newJobInQueue(first+i, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000})
		s.AddJob(doc)
		tk := s.lookupTask(graph.TaskID{Job: doc.ID})
		s.newRun(tk, s.workers[worker], tk.attempt+1)
		s.endRun(tk.run, events.RunFailed, "")
		s.Cancel(doc.ID)
	}
}

// endAttempt reports the end of all runs of one job on a worker.
func endAttempt(s *State, worker, job string, outcome events.RunOutcome) {
	w := s.workers[worker]
	rep := Report{Worker: worker, BootUnixMS: w.spec.BootUnixMS, PolledAt: s.now}
	for _, r := range w.runs {
		id := r.task.id()
		if id.Job == job {
			rep.Ended = append(rep.Ended, RunEnd{Seq: w.lastSeenSeq + int64(len(rep.Ended)) + 1, Task: id, Attempt: r.attempt, Outcome: outcome})
		} else {
			rep.Running = append(rep.Running, RunStatus{Task: id, Attempt: r.attempt})
		}
	}
	s.Observe(rep)
}

// TestGangsAfterProbation guards against gangs that wait for ever, while all workers are sound
// and idle, once each worker has failed some runs and only gangs are left to run.
func TestGangsAfterProbation(t *testing.T) {
	t.Parallel()
	const (
		gangJob, otherJob = 1, 2
		resumed           = suspectDuration + gangTrialDelay
	)
	gang := func(members int) graph.Step {
		return graph.Step{Count: members, CPUMilli: 10_000, EstimateMS: 1000, Gang: true}
	}
	tests := map[string]struct {
		failing []string // workers on which runs of two jobs fail first
		members int
		at      time.Duration // after the failures
		// then changes the state at that time, before the gang is added.
		then func(s *State, now clock.Mono)
		want map[string]int // members started by worker
	}{
		"all on probation, too early":  {failing: []string{"w0", "w1"}, members: 2, at: resumed - 1, want: map[string]int{}},
		"all on probation":             {failing: []string{"w0", "w1"}, members: 2, at: resumed, want: map[string]int{"w0": 2}},
		"more members than workers":    {failing: []string{"w0", "w1"}, members: 6, at: resumed, want: map[string]int{"w0": 3, "w1": 3}},
		"sound worker first":           {failing: []string{"w0"}, members: 3, at: resumed, want: map[string]int{"w1": 3}},
		"sound worker, then the other": {failing: []string{"w0"}, members: 4, at: resumed, want: map[string]int{"w1": 3, "w0": 1}},
		"another gang tries the worker": {
			failing: []string{"w0", "w1"}, members: 4, at: resumed,
			then: func(s *State, now clock.Mono) {
				s.AddJob(newJobInQueue(otherJob, "q", gang(1)))
				s.Decide(now)
			},
			want: map[string]int{},
		},
		"the gang that tried the worker failed": {
			failing: []string{"w0", "w1"}, members: 4, at: resumed,
			then: func(s *State, now clock.Mono) {
				s.AddJob(newJobInQueue(otherJob, "q", gang(1)))
				s.Decide(now)
				endAttempt(s, "w0", newJobInQueue(otherJob, "q").ID, events.RunFailed)
				s.Cancel(newJobInQueue(otherJob, "q").ID)
			},
			want: map[string]int{},
		},
		"the gang that tried the worker is done": {
			failing: []string{"w0", "w1"}, members: 4, at: resumed,
			then: func(s *State, now clock.Mono) {
				s.AddJob(newJobInQueue(otherJob, "q", gang(1)))
				s.Decide(now)
				endAttempt(s, "w0", newJobInQueue(otherJob, "q").ID, events.RunDone)
			},
			want: map[string]int{"w0": 3, "w1": 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLargeState(t, 2)
			for i, w := range tt.failing {
				failOn(s, w, 100+10*i)
			}
			now := testNow.Add(tt.at)
			s.Decide(now)
			if tt.then != nil {
				tt.then(s, now)
			}
			s.AddJob(newJobInQueue(gangJob, "q", gang(tt.members)))
			got := make(map[string]int)
			for _, d := range s.Decide(now) {
				if st, ok := d.(Start); ok && st.Task.Job == newJobInQueue(gangJob, "q").ID {
					got[st.Worker]++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("members started by worker (-want +got):\n%s", diff)
			}
		})
	}
}

// TestServiceOnProbation guards against a worker on probation that gets nothing but one service
// task, because that task never ends.
func TestServiceOnProbation(t *testing.T) {
	t.Parallel()
	service := graph.Step{Count: 8, CPUMilli: 1000, Service: true}
	tests := map[string]struct {
		// before is whether one service task ran before the failures.
		before bool
		// percent is the progress of the service task, at is when it is reported again.
		percent int
		at      time.Duration
		want    int // tasks started then
	}{
		"starting up":                       {percent: 50, at: trialTime, want: 0},
		"at work for a short time":          {percent: 100, at: trialTime - 1, want: 0},
		"at work":                           {percent: 100, at: trialTime, want: 7},
		"at work since before the failures": {before: true, percent: 100, at: trialTime, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			report := func(at time.Duration) {
				s.SetNow(testNow.Add(at), 20_000)
				rep := Report{Worker: "w0", BootUnixMS: 1, PolledAt: s.now}
				for _, r := range s.workers["w0"].runs {
					rep.Running = append(rep.Running, RunStatus{Task: r.task.id(), Attempt: r.attempt, Percent: tt.percent})
				}
				s.Observe(rep)
			}
			if tt.before {
				one := service
				one.Count = 1
				s.AddJob(newJobInQueue(2, "q", one))
				s.Decide(testNow)
				report(0)
			}
			failOn(s, "w0", 100)
			s.AddJob(newJobInQueue(1, "q", service))
			const startedAt = time.Second
			s.Decide(testNow.Add(startedAt))
			report(startedAt)
			report(startedAt + tt.at)
			got := len(startsOf(s.Decide(s.now)))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("tasks started (-want +got):\n%s", diff)
			}
		})
	}
}

// TestNoReservationOnProbation guards against a worker on probation that is kept free for a
// gang, although the gang may not try it yet, and so gets no task that could show that it is
// sound.
func TestNoReservationOnProbation(t *testing.T) {
	t.Parallel()
	s := newLargeState(t, 2)
	failOn(s, "w0", 100)
	busy := newJobInQueue(1, "q", graph.Step{Count: 1, CPUMilli: fullCPU, EstimateMS: 60_000})
	s.AddJob(busy)
	s.newRun(s.lookupTask(graph.TaskID{Job: busy.ID}), s.workers["w1"], 1)
	s.AddJob(newJobInQueue(2, "q", graph.Step{Count: 4, CPUMilli: 10_000, EstimateMS: 600_000, Gang: true}))
	s.Decide(testNow)
	now := testNow.Add(reserveAfter)
	s.AddJob(newJobInQueue(3, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 900_000}))
	want := []graph.TaskID{{Job: newJobInQueue(3, "q").ID}}
	if diff := cmp.Diff(want, startsOf(s.Decide(now))); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

// TestLongRunsOnProbation guards against workers on probation that get nothing for as long as a task of minutes
// or hours runs there, so that nobody's work is started although the workers are sound.
func TestLongRunsOnProbation(t *testing.T) {
	t.Parallel()
	long := graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 3_600_000}
	const begun = testNow + clock.Mono(suspectDuration+gangTrialDelay+time.Second) // of the trial
	tests := map[string]struct {
		// before is whether the long task runs since before the failures.
		before  bool
		percent int           // its progress at last
		at      time.Duration // of the last list, after begun
		gang    bool
		want    int // tasks started of a step with eight
	}{
		"since before the failures":             {before: true, want: 1},
		"since before the failures, a gang":     {before: true, gang: true, want: 8},
		"just begun":                            {percent: 1, at: trialTime - 1, want: 0},
		"no progress":                           {at: time.Minute, want: 0},
		"at work":                               {percent: 1, at: trialTime, want: 1},
		"at work, a gang would lose all of its": {percent: 1, at: trialTime, gang: true, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			run := newJobInQueue(1, "q", long)
			if tt.before {
				s.AddJob(run)
				s.Decide(testNow)
				s.SetNow(testNow.Add(time.Second), 0)
			}
			failOn(s, "w0", 10)
			s.SetNow(begun, 0)
			if !tt.before {
				s.AddJob(run)
				s.Decide(begun)
			}
			for i, percent := range []int{0, tt.percent} {
				s.SetNow(begun.Add(time.Duration(i)*tt.at), 0)
				s.Observe(Report{
					Worker: "w0", BootUnixMS: 1, PolledAt: s.now,
					Running: []RunStatus{{Task: graph.TaskID{Job: run.ID}, Attempt: 1, Percent: percent}},
				})
			}
			s.AddJob(newJobInQueue(2, "q", graph.Step{Count: 8, CPUMilli: 1000, EstimateMS: 1000, Gang: tt.gang}))
			if diff := cmp.Diff(tt.want, len(startsOf(s.Decide(s.now)))); diff != "" {
				t.Errorf("tasks started (-want +got):\n%s", diff)
			}
		})
	}
}
