package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// TestEstimateMS guards against declared run times, off by up to 90%, that make a job late
// before it can be done, or rank it behind all jobs that follow.
func TestEstimateMS(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		runs       []time.Duration
		declaredMS int64
		least      int64
		most       int64
	}{
		"no runs":            {declaredMS: 400, least: 400, most: 400},
		"as declared":        {runs: []time.Duration{6 * time.Second}, declaredMS: 6500, least: 6500, most: 6500},
		"declared too short": {runs: []time.Duration{6 * time.Second}, declaredMS: 400, least: 5999, most: 6001},
		"declared too long":  {runs: []time.Duration{6 * time.Second}, declaredMS: 60_000, least: 8000, most: 12_000},
		"long runs are usual": {
			runs:       []time.Duration{time.Second, 20 * time.Second, time.Second, 20 * time.Second},
			declaredMS: 15_000, least: 15_000, most: 15_000,
		},
		"a run without a duration": {runs: []time.Duration{0}, declaredMS: 400, least: 400, most: 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var e runTimeEstimator
			for _, d := range tt.runs {
				e.add("q", d)
			}
			if got := e.estimateMS("q", &graph.Step{EstimateMS: tt.declaredMS}); got < tt.least || got > tt.most {
				t.Errorf("estimate %d ms, want between %d and %d", got, tt.least, tt.most)
			}
		})
	}
}

// runOnce has a job of one task end as done on the only worker after took.
func runOnce(s *State, number int, took time.Duration) {
	s.AddJob(newJobInQueue(number, "q", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 100}))
	for _, id := range startsOf(s.Decide(s.now)) {
		s.StartAnswered(id, 1, "w0", OutcomeStarted)
	}
	s.SetNow(s.now.Add(took), 10_000+time.Duration(s.now.Add(took)-testNow).Milliseconds())
	endRuns(s, events.RunDone)
}

// TestObjectiveOfUnderestimatedJob guards against a job that is given up for good because its
// declared run time is far too short: by an owner that has not seen a run of its queue yet,
// and by a new owner that does not take over what the former one learned.
func TestObjectiveOfUnderestimatedJob(t *testing.T) {
	t.Parallel()
	const took = 6 * time.Second
	// The declared run time is 100 ms: the objective would be 0.2 s after the acceptance, and
	// the result worthless after 0.6 s.
	tests := map[string]func(s *State) *State{
		"runs seen before the job": func(s *State) *State {
			runOnce(s, 1, took)
			return s
		},
		"runs seen by the former owner": func(s *State) *State {
			runOnce(s, 1, took)
			return restart(s)
		},
		"runs seen after the job": func(s *State) *State {
			s.AddJob(newJobInQueue(2, "q", graph.Step{Count: 40, CPUMilli: 30_000, EstimateMS: 100}))
			runOnce(s, 1, took)
			s.Decide(s.now.Add(estimateInterval))
			return s
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := prepare(newState(t, nil))
			s.AddJob(newJobInQueue(2, "q", graph.Step{Count: 40, CPUMilli: 30_000, EstimateMS: 100}))
			accepted := s.jobs[newJobInQueue(2, "q").ID].accepted
			now := max(s.now, accepted.Add(took))
			s.Decide(now)
			var classes []int
			for st := range s.allWaiting() {
				classes = append(classes, s.rankOf(st).class)
			}
			if diff := cmp.Diff([]int{classOnTime}, classes); diff != "" {
				t.Errorf("rank classes %v after the acceptance (-want +got):\n%s", now.Sub(accepted), diff)
			}
		})
	}
}

// TestPartialRunTime guards against run times that are learned from runs of which this owner
// saw only a part: after takeovers, all jobs would be taken for short ones.
func TestPartialRunTime(t *testing.T) {
	t.Parallel()
	s := newState(t, nil)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 100}))
	s.Decide(testNow)
	s = restart(s)
	list := func(now clock.Mono) {
		s.SetNow(now, 10_000)
		s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
	}
	list(testNow.Add(5 * time.Second))
	s.SetNow(testNow.Add(6*time.Second), 10_000)
	endRuns(s, events.RunDone)
	if diff := cmp.Diff(0, len(s.runTimes.byQueue)); diff != "" {
		t.Errorf("queues with learned run times (-want +got):\n%s", diff)
	}
}
