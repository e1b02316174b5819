package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// newBatchState returns a State with eight workers of 32 cores, on each of which tasks of one
// batch job run that leave no room for a member of a gang of 9 cores.
func newBatchState(t *testing.T, batch graph.Step, gang rules.Queue) *State {
	t.Helper()
	s := New(Config{
		StartTTL: 2 * time.Second, MaxStopDuration: 400 * time.Millisecond,
		ReserveAdviser: func(int64) (string, bool) { return "vm", true },
	})
	s.SetNow(testNow, 10_000)
	s.SetRules(rules.New(1, []rules.Queue{gang, {Name: "batch", Service: "svc", Priority: 2, MaxAttempts: 2, StretchFactor: 4}},
		[]rules.Team{{Name: "a", Rate: 1e6}}, rules.Limits{}))
	for i := range 8 {
		addTestWorker(s, fmt.Sprintf("w%d", i), 1)
	}
	s.AddJob(newJobInQueue(1, "batch", batch))
	for _, d := range s.Decide(testNow) {
		if st, ok := d.(Start); ok {
			s.StartAnswered(st.Task, st.Attempt, st.Worker, OutcomeStarted)
		}
	}
	return s
}

// decideUntil has decisions made each 50 ms until a time, with all stops taking effect, and
// returns the number of stops with the given reason and of started tasks of a job.
func decideUntil(s *State, until clock.Mono, reason Reason, job string) (stops, starts int) {
	for s.now < until {
		now := s.now.Add(50 * time.Millisecond)
		s.SetNow(now, 10_000+time.Duration(now-testNow).Milliseconds())
		for _, d := range s.Decide(now) {
			switch d := d.(type) {
			case Start:
				s.StartAnswered(d.Task, d.Attempt, d.Worker, OutcomeStarted)
				if d.Task.Job == job {
					starts++
				}
			case Stop:
				if d.Reason == reason {
					stops++
				}
				w := s.workers[d.Worker]
				s.Observe(Report{Worker: d.Worker, BootUnixMS: 1, PolledAt: testNow, Ended: []RunEnd{
					{Seq: w.lastSeenSeq + 1, Task: d.Task, Attempt: d.Attempt, Outcome: "s", Checkpoint: "c"},
				}})
			case RequestAdvice:
				var tickets []Ticket
				for _, id := range d.Workers {
					tickets = append(tickets, Ticket{Worker: id, Value: "t"})
				}
				s.AdviceReceived(d.Step, d.Workers, tickets, now.Add(1500*time.Millisecond), true)
			case Throttle:
			}
		}
	}
	return stops, starts
}

// TestPreemption guards against gangs that wait while batch tasks leave the CPU in pieces too
// small for them, and against stopping runs that lose more than the gang gains, that cannot
// resume, or that do not make enough room.
func TestPreemption(t *testing.T) {
	t.Parallel()
	queue := rules.Queue{Name: "gangs", Service: "svc", Priority: 1, MaxAttempts: 2, StretchFactor: 4, TargetMS: 1000}
	gang := graph.Step{Count: 16, CPUMilli: 9000, EstimateMS: 8000, Gang: true}
	batch := graph.Step{Count: 48, CPUMilli: 5000, EstimateMS: 10_000, Checkpointing: true} // 6 on each worker, 2 cores stay free
	type result struct{ Stops, Starts int }
	tests := map[string]struct {
		gang  func(*graph.Step)
		queue func(*rules.Queue)
		batch func(*graph.Step)
		want  result
	}{
		// Three members take the place of five batch tasks, on five workers, and the last member
		// that of two.
		"batch tasks that save their progress": {want: result{Stops: 27, Starts: 16}},
		"with advice": {
			queue: func(q *rules.Queue) { q.Advice = &rules.AdviceConfig{BaseMS: 10, PerWorkerMS: 0.1, ValidMS: 1500} },
			want:  result{Stops: 27, Starts: 16},
		},
		"batch tasks that do not":          {batch: func(st *graph.Step) { st.Checkpointing = false }},
		"batch tasks of the same priority": {queue: func(q *rules.Queue) { q.Priority = 2 }},
		"service tasks":                    {batch: func(st *graph.Step) { st.Service = true }},
		"another gang":                     {batch: func(st *graph.Step) { st.Gang = true }},
		"a gang that ends soon":            {gang: func(st *graph.Step) { st.EstimateMS = 300 }},
		"a gang that never fits":           {gang: func(st *graph.Step) { st.Count = 30 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queue, gang, batch := queue, gang, batch
			if tt.queue != nil {
				tt.queue(&queue)
			}
			if tt.gang != nil {
				tt.gang(&gang)
			}
			if tt.batch != nil {
				tt.batch(&batch)
			}
			s := newBatchState(t, batch, queue)
			doc := newJobInQueue(2, "gangs", gang)
			s.AddJob(doc)
			// Nothing may happen before preemptAfter: the room may become free by itself.
			var early result
			early.Stops, early.Starts = decideUntil(s, testNow.Add(preemptAfter-100*time.Millisecond), ReasonPreempted, doc.ID)
			if diff := cmp.Diff(result{}, early); diff != "" {
				t.Errorf("before preemptAfter (-want +got):\n%s", diff)
			}
			var got result
			got.Stops, got.Starts = decideUntil(s, testNow.Add(preemptAfter+time.Second), ReasonPreempted, doc.ID)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("preempted runs and members started (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPreemptionLimits guards against batch tasks that are stopped for gangs again and again,
// and against so much room kept for gangs that nothing else starts.
func TestPreemptionLimits(t *testing.T) {
	t.Parallel()
	s := newBatchState(t, graph.Step{Count: 48, CPUMilli: 5000, EstimateMS: 60_000, Checkpointing: true},
		rules.Queue{Name: "gangs", Service: "svc", Priority: 1, MaxAttempts: 2, StretchFactor: 40, TargetMS: 1000})
	for i := range 20 {
		s.AddJob(newJobInQueue(10+i, "gangs", graph.Step{Count: 2, CPUMilli: 9000, EstimateMS: 10_000, Gang: true}))
	}
	kept := 0
	for s.now < testNow.Add(20*time.Second) {
		decideUntil(s, s.now.Add(50*time.Millisecond), ReasonPreempted, "")
		workers := make(map[string]bool)
		for _, st := range s.waiting {
			if s.roomPending(st) {
				for _, w := range st.preemption.workers {
					workers[w.spec.ID] = true
				}
			}
		}
		kept = max(kept, len(workers))
	}
	most := 0
	for _, tk := range s.lookupStep(newJobInQueue(1, "").ID + ".0.0").tasks {
		most = max(most, tk.preemptions)
	}
	if most == 0 || most > maxPreemptions {
		t.Errorf("a task was preempted %d times, want 1 to %d", most, maxPreemptions)
	}
	// One gang needs two workers, more than maxKeptShare of them.
	if kept > 2 {
		t.Errorf("room kept on %d of 8 workers at one time, want at most 2", kept)
	}
}
