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

// TestSpeedRecord guards against one long job making a worker slow, and against old
// observations that count for ever.
func TestSpeedRecord(t *testing.T) {
	t.Parallel()
	type observation struct {
		job      int
		speed    float64
		compared bool
	}
	tests := map[string]struct {
		add  []observation
		age  time.Duration
		want bool
	}{
		"none":                           {},
		"one long job":                   {add: []observation{{1, 0.1, false}}},
		"two long jobs":                  {add: []observation{{1, 0.1, false}, {2, 0.2, false}}, want: true},
		"one job twice":                  {add: []observation{{1, 0.1, false}, {1, 0.1, false}}},
		"one long job among others":      {add: []observation{{1, 1, false}, {2, 0.9, false}, {3, 0.05, false}}},
		"slower than the job's others":   {add: []observation{{1, 0.2, true}}, want: true},
		"usual among the job's others":   {add: []observation{{1, 0.1, false}, {2, 0.1, false}, {3, 1, true}}},
		"usual again":                    {add: []observation{{1, 0.1, true}, {2, 0.1, true}, {3, 1, true}, {4, 1, true}}},
		"old":                            {add: []observation{{1, 0.1, true}}, age: speedLifetime},
		"the newest five":                {add: []observation{{1, 1, true}, {2, 1, true}, {3, 1, true}, {4, 0.1, true}, {5, 0.1, true}, {6, 0.1, true}}, want: true},
		"half the speed is not slow yet": {add: []observation{{1, 0.5, true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := new(worker)
			jobs := make(map[int]*job)
			for _, o := range tt.add {
				if jobs[o.job] == nil {
					jobs[o.job] = new(job)
				}
				w.speed.add(jobs[o.job], o.speed, o.compared, testNow)
			}
			if got := w.isSlow(testNow.Add(tt.age)); got != tt.want {
				t.Errorf("slow: %t, want %t", got, tt.want)
			}
		})
	}
}

// listProgress has workers list their runs with the given progress in percent.
func listProgress(s *State, at clock.Mono, percent func(worker string) int) {
	s.now = at
	for _, w := range s.workerList {
		var running []RunStatus
		for _, r := range w.runs {
			running = append(running, RunStatus{Task: r.task.id(), Attempt: r.attempt, Percent: percent(w.spec.ID)})
		}
		s.Observe(Report{Worker: w.spec.ID, BootUnixMS: 1, PolledAt: at, Running: running})
	}
}

// newUnevenState returns a State with eight workers that run a batch job of 4 tasks each, of
// which w0 makes a tenth of the progress of the others.
func newUnevenState(t *testing.T, estimate time.Duration, batch func(*graph.Step)) *State {
	t.Helper()
	step := graph.Step{Count: 32, CPUMilli: 5000, EstimateMS: estimate.Milliseconds(), Checkpointing: true, MaxPerWorker: 4}
	if batch != nil {
		batch(&step)
	}
	s := newBatchState(t, step, rules.Queue{Name: "gangs", Service: "svc", Priority: 1, MaxAttempts: 2, StretchFactor: 2})
	s.cfg.AvoidSlowWorkers = true
	for seconds := range 2 { // the first lists of the others come after that of w0
		listProgress(s, testNow.Add(time.Duration(seconds+1)*time.Second), func(id string) int {
			if id == "w0" {
				return seconds + 1
			}
			return 10 * (seconds + 1)
		})
	}
	return s
}

// TestSlowWorker guards against gangs and urgent tasks on workers that look healthy but are
// several times slower than others, against leaving them idle for tasks that have time, and
// against keeping the judgement for a new incarnation.
func TestSlowWorker(t *testing.T) {
	t.Parallel()
	type result struct{ Slow, OnSlow int }
	tests := map[string]struct {
		step        graph.Step
		reincarnate bool
		off         bool  // slow workers are not avoided
		estimate    int64 // declared for the batch job; its tasks take 10 s
		want        result
	}{
		"a gang":                        {step: graph.Step{Count: 7, CPUMilli: 11_000, EstimateMS: 1000, Gang: true}, want: result{Slow: 1}},
		"a gang that needs it":          {step: graph.Step{Count: 8, CPUMilli: 11_000, EstimateMS: 1000, Gang: true}, want: result{Slow: 1}},
		"a task that would be late":     {step: graph.Step{Count: 8, CPUMilli: 11_000, EstimateMS: 1000}, want: result{Slow: 1}},
		"another worker is as free":     {step: graph.Step{Count: 4, CPUMilli: 1000, EstimateMS: 1}, want: result{Slow: 1}},
		"a new incarnation":             {step: graph.Step{Count: 8, CPUMilli: 11_000, EstimateMS: 1000}, reincarnate: true, want: result{OnSlow: 1}},
		"not avoided":                   {step: graph.Step{Count: 8, CPUMilli: 11_000, EstimateMS: 1000}, off: true, want: result{Slow: 1, OnSlow: 1}},
		"a job with a wrong estimate":   {step: graph.Step{Count: 7, CPUMilli: 11_000, EstimateMS: 1000, Gang: true}, estimate: 1000, want: result{Slow: 1}},
		"a job with a far too long one": {step: graph.Step{Count: 7, CPUMilli: 11_000, EstimateMS: 1000, Gang: true}, estimate: 90_000, want: result{Slow: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			estimate := 10 * time.Second
			if tt.estimate != 0 {
				estimate = time.Duration(tt.estimate) * time.Millisecond
			}
			s := newUnevenState(t, estimate, nil)
			s.cfg.AvoidSlowWorkers = !tt.off
			if tt.reincarnate {
				addTestWorker(s, "w0", 2)
			}
			var got result
			got.Slow = s.Load().Slow
			doc := newJobInQueue(2, "gangs", tt.step)
			doc.AcceptedUnixMS = 12_000
			s.AddJob(doc)
			for _, d := range s.Decide(s.now.Add(10 * time.Millisecond)) {
				if st, ok := d.(Start); ok && st.Task.Job == doc.ID && st.Worker == "w0" {
					got.OnSlow++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("slow workers and tasks there (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMoveFromSlow guards against runs that stay on a slow worker until they are late, and
// against moving those that gain nothing.
func TestMoveFromSlow(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		batch func(*graph.Step)
		age   time.Duration // of the job, in addition
		want  int
	}{
		"would be late":                       {want: 4},
		"would be late, saves nothing so far": {batch: func(st *graph.Step) { st.Checkpointing = false }, want: 4},
		"service":                             {batch: func(st *graph.Step) { st.Service = true }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUnevenState(t, 10*time.Second, tt.batch)
			moved := 0
			for _, d := range s.Decide(s.now.Add(10 * time.Millisecond)) {
				if st, ok := d.(Stop); ok && st.Reason == ReasonSlowWorker && st.Worker == "w0" {
					moved++
				}
			}
			for range 10 { // stops are spread over rounds
				for _, d := range s.Decide(s.now.Add(runCheckInterval)) {
					if st, ok := d.(Stop); ok && st.Reason == ReasonSlowWorker && st.Worker == "w0" {
						moved++
					}
				}
			}
			if moved != tt.want {
				t.Errorf("%d runs moved, want %d", moved, tt.want)
			}
		})
	}
	t.Run("in time there", func(t *testing.T) {
		t.Parallel()
		s := newUnevenState(t, 10*time.Second, nil)
		s.workers["w0"].runs[0].task.step.job.objective = s.now.Add(5 * time.Minute)
		for range 10 {
			for _, d := range s.Decide(s.now.Add(runCheckInterval)) {
				if st, ok := d.(Stop); ok && st.Reason == ReasonSlowWorker {
					t.Fatalf("%s was moved although it ends in time", fmt.Sprint(st.Task))
				}
			}
			s.workers["w0"].runs[0].task.step.job.objective = s.now.Add(5 * time.Minute)
		}
	})
}

// TestUsualRunTime guards against a comparison with a slow sibling, or with one alone.
func TestUsualRunTime(t *testing.T) {
	t.Parallel()
	st := &step{runTimeMS: 1000}
	r := &run{worker: &worker{spec: WorkerSpec{ID: "w0"}}}
	other := new(worker)
	type result struct {
		Time     time.Duration
		Compared bool
	}
	var got []result
	for _, d := range []time.Duration{0, 3 * time.Second, 3 * time.Second, 20 * time.Second, 20 * time.Second} {
		if d > 0 {
			st.took = append(st.took, took{worker: other, time: d}, took{worker: r.worker, time: time.Minute})
		}
		usual, ok := st.usualRunTime(r)
		got = append(got, result{usual, ok})
	}
	want := []result{{Time: time.Second}, {Time: time.Second}, {3 * time.Second, true}, {3 * time.Second, true}, {3 * time.Second, true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("usual run times (-want +got):\n%s", diff)
	}
}

// TestSlowWorkersLoad guards against gangs that wait for members on slow workers: they earned
// three quarters of their worth.
func TestSlowWorkersLoad(t *testing.T) {
	t.Parallel()
	const (
		seeds    = 2
		minWorth = 0.86
	)
	d := loadScenarios()["memory, slow workers"]
	sum := 0.0
	for seed := range seeds {
		total, _, _ := newLoad(t, uint64(seed+1), d).run(d.length)
		sum += total
	}
	if sum/seeds < minWorth {
		t.Errorf("seeds 1 to %d: %.3f of the worth earned, want at least %.2f", seeds, sum/seeds, minWorth)
	}
}
