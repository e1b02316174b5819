package sched

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// failureCase drives a State with one job on one worker, which lists all ends until the test is over.
type failureCase struct {
	s       *State
	journal []events.Event
	ended   []RunEnd
	stopped []int // attempts
}

// decide decides, stores the events, and has the workers accept all starts. A worker that answers
// again gets starts in the second round, after its lease note was replaced.
func (c *failureCase) decide() {
	for range 2 {
		c.decideOnce()
	}
}

func (c *failureCase) decideOnce() {
	for _, d := range append(c.s.TakeDecisions(), c.s.Decide(c.s.now)...) {
		switch d := d.(type) {
		case Start:
			c.s.StartAnswered(d.Task, d.Attempt, d.Worker, OutcomeStarted)
			c.s.LeaseExtended(d.Worker, c.s.now, c.s.now.Add(testLease))
		case Stop:
			c.stopped = append(c.stopped, d.Attempt)
		case RequestAdvice, Throttle:
		}
	}
	c.journal = append(c.journal, c.s.TakeEvents()...)
	c.s.LeasesStored()
}

// answer has the worker list its ends, and no run as missing.
func (c *failureCase) answer() {
	c.s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: c.s.now, Ended: c.ended, MoreEnds: true})
	c.decide()
}

// giveUp has the worker answer no poll until its leases are over, and lets it answer again.
func (c *failureCase) giveUp() {
	c.s.WorkerUnresponsive("w0")
	c.s.SetNow(c.s.now.Add(testLease), 10_000)
	c.decide()
	c.answer()
}

// replay replaces the State by that of a new owner.
func (c *failureCase) replay() {
	c.s.events = c.journal
	c.s = recoverFrom(c.s)
	listTestWorker(c.s, "w0", 1)
}

func (c *failureCase) takeOver() {
	c.replay()
	c.answer()
}

// end returns a function that has the worker list another end, with a checkpoint.
func end(index, attempt int, outcome events.RunOutcome) func(*failureCase) {
	return func(c *failureCase) {
		c.ended = append(c.ended, RunEnd{
			Seq: int64(len(c.ended) + 1), Task: taskID(0, index), Attempt: attempt, Outcome: outcome, Checkpoint: "old",
		})
		c.answer()
	}
}

// TestFailureOfGivenUpRun guards against a task that starts after its last allowed attempt has
// failed because the failure was listed after the run had been given up, and against a failure that
// counts twice because it is listed again, also to a new owner.
func TestFailureOfGivenUpRun(t *testing.T) {
	t.Parallel()
	const failed, done = events.RunFailed, events.RunDone
	giveUp, takeOver := (*failureCase).giveUp, (*failureCase).takeOver
	listAgain := func(c *failureCase) {
		c.s.WorkerReplaced("w0") // forgets which ends it has listed
		c.answer()
	}
	listElsewhere := func(c *failureCase, attempt int) {
		ended := RunEnd{Seq: 1, Task: taskID(0, 0), Attempt: attempt, Outcome: failed, Checkpoint: "old"}
		c.s.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: c.s.now, Ended: []RunEnd{ended}, MoreEnds: true})
		c.decide()
	}
	duplicateFails := func(c *failureCase) {
		addTestWorker(c.s, "w1", 1)
		c.s.WorkerUnresponsive("w0")
		c.decide()
		end(0, 1, failed)(c)
		listElsewhere(c, 2)
	}
	one := graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}
	with := func(change func(*graph.Step)) graph.Step {
		st := one
		change(&st)
		return st
	}
	two := with(func(st *graph.Step) { st.Count = 2 })
	gang := with(func(st *graph.Step) { st.Count, st.Gang = 2, true })
	// late is the event of a run that was given up, known that of another. The end of a given-up run
	// leaves the task's checkpoint alone, which may be that of a later attempt.
	late := func(index, attempt int) events.Event { return events.End(taskID(0, index), attempt, failed, "") }
	known := func(index, attempt int) events.Event { return events.End(taskID(0, index), attempt, failed, "old") }
	type result struct {
		State   JobState
		Failed  []events.Event // in the journal
		Stopped []int
	}
	tests := map[string]struct {
		step graph.Step
		do   []func(*failureCase)
		want result
	}{
		"one failure": {
			step: one, do: []func(*failureCase){giveUp, end(0, 1, failed)},
			want: result{State: JobRunning, Failed: []events.Event{late(0, 1)}},
		},
		"both attempts were given up": {
			step: one, do: []func(*failureCase){giveUp, giveUp, end(0, 1, failed), end(0, 2, failed)},
			want: result{State: JobFailed, Failed: []events.Event{late(0, 1), late(0, 2)}, Stopped: []int{3}},
		},
		"a later attempt failed before": {
			step: one, do: []func(*failureCase){giveUp, end(0, 2, failed), end(0, 1, failed)},
			want: result{State: JobFailed, Failed: []events.Event{known(0, 2), late(0, 1)}, Stopped: []int{3}},
		},
		"a later attempt fails after a takeover": {
			step: one, do: []func(*failureCase){giveUp, end(0, 1, failed), takeOver, end(0, 2, failed)},
			want: result{State: JobFailed, Failed: []events.Event{late(0, 1), known(0, 2)}},
		},
		"listed again": {
			step: one, do: []func(*failureCase){giveUp, end(0, 1, failed), listAgain},
			want: result{State: JobRunning, Failed: []events.Event{late(0, 1)}},
		},
		"listed again to new owners": {
			step: one, do: []func(*failureCase){giveUp, end(0, 1, failed), takeOver, takeOver},
			want: result{State: JobRunning, Failed: []events.Event{late(0, 1)}},
		},
		"not given up, listed again": {
			step: one, do: []func(*failureCase){end(0, 1, failed), takeOver, listAgain},
			want: result{State: JobRunning, Failed: []events.Event{known(0, 1)}},
		},
		"two tasks": {
			step: two, do: []func(*failureCase){giveUp, end(0, 1, failed), end(1, 1, failed)},
			want: result{State: JobRunning, Failed: []events.Event{late(0, 1), late(1, 1)}},
		},
		"the task is done": {
			step: two, do: []func(*failureCase){giveUp, giveUp, end(0, 3, done), end(0, 1, failed), end(0, 2, failed)},
			want: result{State: JobRunning},
		},
		"service task": {
			step: with(func(st *graph.Step) { st.Service = true }),
			do:   []func(*failureCase){giveUp, giveUp, end(0, 1, failed), end(0, 2, failed)},
			want: result{State: JobRunning},
		},
		"the job was cancelled": {
			step: one, do: []func(*failureCase){giveUp, func(c *failureCase) { c.s.Cancel(testJob) }, end(0, 1, failed)},
			want: result{State: JobCancelled, Stopped: []int{2}},
		},
		"one attempt of a gang": {
			step: gang, do: []func(*failureCase){giveUp, end(0, 1, failed), end(1, 1, failed)},
			want: result{State: JobRunning, Failed: []events.Event{late(0, 1)}, Stopped: []int{1}},
		},
		"two attempts of a gang, the later one first": {
			step: gang, do: []func(*failureCase){giveUp, giveUp, end(1, 2, failed), end(0, 1, failed)},
			want: result{State: JobFailed, Failed: []events.Event{late(1, 2), late(0, 1)}, Stopped: []int{1, 2, 3, 3}},
		},
		// A new owner would take the event as the end of the run that goes on.
		"run of another worker": {
			step: one, do: []func(*failureCase){func(c *failureCase) {
				addTestWorker(c.s, "w1", 1)
				listElsewhere(c, 1)
			}},
			want: result{State: JobRunning},
		},
		"not given up, ends after its duplicate's start": {
			step: with(func(st *graph.Step) { st.AllowDuplicates = true }), do: []func(*failureCase){duplicateFails},
			want: result{State: JobFailed, Failed: []events.Event{known(0, 1), known(0, 2)}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &failureCase{s: newState(t, nil)}
			c.s.AddJob(newJob(tt.step))
			c.decide()
			for _, f := range tt.do {
				f(c)
			}
			got := result{Stopped: c.stopped}
			got.State, _ = c.s.Job(testJob)
			for _, e := range c.journal {
				if e.Outcome == failed {
					got.Failed = append(got.Failed, e)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			c.replay()
			if state, _ := c.s.Job(testJob); state != tt.want.State {
				t.Errorf("the job is %q for a new owner, want %q", state, tt.want.State)
			}
		})
	}
}
