package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// newLargeState returns a State with n idle workers and one queue without an advising
// service.
func newLargeState(t *testing.T, n int) *State {
	t.Helper()
	s := newState(t, nil)
	for i := 1; i < n; i++ {
		addTestWorker(s, fmt.Sprintf("w%d", i), 1)
	}
	return s
}

// fullCPU is the CPU of a test worker, in thousandths of a core.
const fullCPU = 32000

// addWaiting adds n jobs with one task each, numbered from first.
func addWaiting(s *State, first, n int, cpuMilli int64) {
	for i := range n {
		s.AddJob(newJobInQueue(first+i, "q", graph.Step{Count: 1, CPUMilli: cpuMilli, EstimateMS: 1000}))
	}
}

// addUnfitting adds n jobs that fit on no worker, which shows only once a worker is examined.
func addUnfitting(s *State, n int) {
	for i := range n {
		s.AddJob(newJobInQueue(i, "q", graph.Step{Count: 1, CPUMilli: 1000, MemoryMiB: 1e6, EstimateMS: 1000}))
	}
}

// TestRoundCost guards against rounds that examine every worker for every waiting step: with
// thousands of workers such a round took an owner seconds, in which it started tasks on
// workers that had reported their shutdown.
func TestRoundCost(t *testing.T) {
	t.Parallel()
	const workers, waiting = 3000, 2000
	advice := func(s *State) {
		s.rules = rules.New(2, []rules.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, StretchFactor: 2, Advice: &rules.AdviceConfig{BaseMS: 10, ValidMS: 2000}}},
			[]rules.Team{{Name: "a", Rate: 100}}, rules.Limits{})
	}
	tests := map[string]struct {
		prepare func(*State)
		at      time.Duration
		limit   int // workers examined in a round
	}{
		"no worker has free CPU": {
			prepare: func(s *State) {
				addWaiting(s, 0, workers, fullCPU)
				s.Decide(testNow)
				addWaiting(s, workers, waiting, 1000)
			},
			limit: 0,
		},
		"few workers have free CPU": {
			prepare: func(s *State) {
				addWaiting(s, 0, workers-10, fullCPU)
				s.Decide(testNow)
				addWaiting(s, workers, waiting, fullCPU)
			},
			limit: 10 * 10, // one step less for each started one
		},
		"few workers are allowed": {
			prepare: func(s *State) {
				advice(s)
				addUnfitting(s, waiting)
				for i := range waiting {
					name := fmt.Sprintf("%016x.0.0", i)
					s.AdviceReceived(name, []string{"w0", "w1"}, []Ticket{{Worker: "w1"}}, testNow.Add(time.Minute), true)
				}
			},
			limit: 2 * waiting,
		},
		"gangs that batch tasks could make room for": {
			prepare: func(s *State) {
				s.rules = rules.New(2, []rules.Queue{{Name: "q", Service: "svc", StretchFactor: 9, TargetMS: 9000}, {Name: "low", Service: "svc", Priority: 2, StretchFactor: 9}},
					[]rules.Team{{Name: "a", Rate: 1e6}}, rules.Limits{})
				for i := range workers {
					s.AddJob(newJobInQueue(i, "low", graph.Step{Count: 1, CPUMilli: fullCPU - 1000, EstimateMS: 1000, Checkpointing: true}))
				}
				s.Decide(testNow)
				for i := range waiting {
					s.AddJob(newJobInQueue(workers+i, "q", graph.Step{Count: 2 * workers, CPUMilli: 2000, EstimateMS: 1000, Gang: true}))
				}
			},
			at:    preemptAfter,
			limit: maxSearches * workers,
		},
		"backlog without value that fits nowhere": {
			prepare: func(s *State) {
				addUnfitting(s, waiting)
			},
			at:    time.Minute,
			limit: waiting / 2 * workers,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLargeState(t, workers)
			tt.prepare(s)
			s.Decide(testNow.Add(tt.at))
			if s.scratch.examined > tt.limit {
				t.Errorf("%d workers examined for %d waiting steps, want at most %d", s.scratch.examined, s.Waiting(), tt.limit)
			}
		})
	}
}

// TestOverdueBacklog guards against a backlog whose results have no value any more, as it
// piles up while no VM decides: it must delay no new job, and each of its jobs must still
// run once there is capacity.
func TestOverdueBacklog(t *testing.T) {
	t.Parallel()
	for _, backlog := range []int{500, 5000, 50_000} {
		t.Run(fmt.Sprint(backlog), func(t *testing.T) {
			t.Parallel()
			const perRound = 4 * 32 // tasks that fit on the workers
			s := newLargeState(t, 4)
			addWaiting(s, 1, backlog, 1000)
			now := testNow.Add(time.Minute)
			s.SetNow(now, 70_000)
			urgent := newJobInQueue(0, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
			urgent.AcceptedUnixMS = 70_000
			s.AddJob(urgent)
			list := startsOf(s.Decide(now))
			if len(list) == 0 || list[0].Job != urgent.ID {
				t.Fatalf("the new job does not start first: %v", list[:min(3, len(list))])
			}
			started := make(map[string]bool)
			seq := int64(0)
			for round := 0; len(list) > 0; round++ {
				if round > 2*backlog/perRound+2 {
					t.Fatalf("only %d of %d jobs started in %d rounds", len(started), backlog, round)
				}
				for _, id := range list {
					started[id.Job] = true
				}
				now = now.Add(time.Second)
				s.SetNow(now, 0)
				seq = endAll(s, seq)
				list = startsOf(s.Decide(now))
			}
			if len(started) != backlog+1 || s.Waiting() != 0 {
				t.Errorf("%d of %d jobs started, %d steps wait", len(started), backlog+1, s.Waiting())
			}
		})
	}
}

// endAll reports the end of all runs, numbered from after seq, and returns the last number.
func endAll(s *State, seq int64) int64 {
	for _, w := range slices.Clone(s.workerList) {
		rep := Report{Worker: w.spec.ID, BootUnixMS: w.spec.BootUnixMS, PolledAt: s.now}
		for _, r := range w.runs {
			seq++
			rep.Ended = append(rep.Ended, RunEnd{Seq: seq, Task: r.task.id(), Attempt: r.attempt, Outcome: events.RunDone})
		}
		s.Observe(rep)
	}
	return seq
}

// checkIndex returns the difference between the index and the workers that it must hold.
func checkIndex(s *State) string {
	want := []string{}
	s.indexWorkers()
	list := slices.Clone(s.workerList)
	slices.SortFunc(list, compareFree)
	for _, w := range list {
		if s.acceptsWork(w) && w.unknownRuns == 0 {
			want = append(want, fmt.Sprintf("%s %d", w.spec.ID, w.free().CPUMilli()))
		}
	}
	got := []string{}
	for _, w := range s.index.open {
		got = append(got, fmt.Sprintf("%s %d", w.spec.ID, w.indexedFreeCPU))
	}
	return cmp.Diff(want, got)
}

// drain has a worker report its shutdown.
func drain(s *State, id string) {
	spec := s.workers[id].spec
	spec.Draining = true
	s.PutWorker(spec)
}

// TestIndex guards against starts on workers that may get none, and against workers that
// get none any more, after each kind of change of a worker.
func TestIndex(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		change func(*State)
		want   []string // workers that may get tasks, in order
	}{
		"nothing": {change: func(*State) {}, want: []string{"w0", "w1", "w2"}},
		"start":   {change: func(s *State) { addWaiting(s, 0, 1, 1000); s.Decide(testNow) }, want: []string{"w1", "w2", "w0"}},
		"silent":  {change: func(s *State) { s.WorkerUnresponsive("w1") }, want: []string{"w0", "w2"}},
		"lapses":  {change: func(s *State) { s.DelistWorker("w0") }, want: []string{"w0", "w1", "w2"}},
		"leaves":  {change: func(s *State) { drain(s, "w0"); s.DelistWorker("w0") }, want: []string{"w1", "w2"}},
		"lapsed, not listed again": {
			change: func(s *State) { s.DelistWorker("w0"); s.Decide(testNow.Add(relistTime)) },
			want:   []string{"w1", "w2"},
		},
		"out":         {change: func(s *State) { s.SetOutOfService(map[string]bool{"dc": true}) }, want: []string{}},
		"maintenance": {change: func(s *State) { s.SetDrainDeadlines(map[string]clock.Mono{"w2": testNow}) }, want: []string{"w0", "w1"}},
		"returns": {
			change: func(s *State) { drain(s, "w0"); s.DelistWorker("w0"); s.indexWorkers(); addTestWorker(s, "w0", 2) },
			want:   []string{"w0", "w1", "w2"},
		},
		"end": {
			change: func(s *State) { addWaiting(s, 0, 1, 1000); s.Decide(testNow); endAll(s, 0) },
			want:   []string{"w0", "w1", "w2"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLargeState(t, 3)
			s.Decide(testNow)
			tt.change(s)
			if diff := checkIndex(s); diff != "" {
				t.Errorf("index (-want +got):\n%s", diff)
			}
			got := []string{}
			for _, w := range s.index.open {
				got = append(got, w.spec.ID)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("workers that may get tasks (-want +got):\n%s", diff)
			}
		})
	}
}
