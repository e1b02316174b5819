package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

// newFillerState returns a state with a service task, which has a bound of 100 ms, and a filler on w0.
func newFillerState(t *testing.T) *State {
	t.Helper()
	s := newState(t, nil)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 8000, Service: true, MaxTailLatencyMS: 100},
		graph.Step{Count: 1, CPUMilli: 20000, Filler: true, EstimateMS: 60_000}))
	for _, d := range s.Decide(testNow) {
		if st, ok := d.(Start); ok {
			s.StartAnswered(st.Task, st.Attempt, st.Worker, OutcomeStarted)
		}
	}
	return s
}

// observeTail reports a tail latency in ms and the filler's progress, and returns the speeds that are
// ordered then; -1 is a stop.
func observeTail(s *State, at clock.Mono, tail int64, progress int) []int {
	s.SetNow(at, 10_000)
	s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: at, Running: []RunStatus{
		{Task: taskID(0, 0), Attempt: 1, Percent: 100, Load: tail},
		{Task: taskID(1, 0), Attempt: 1, Percent: progress},
	}})
	var out []int
	for _, d := range s.TakeDecisions() {
		switch d := d.(type) {
		case Throttle:
			out = append(out, d.Percent)
		case Stop:
			out = append(out, -1)
		case Start, RequestAdvice:
		}
	}
	return out
}

// TestThrottle guards against fillers that keep a service task above its latency bound,
// never regain their speed, or stay paused on one worker forever.
func TestThrottle(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		tails []int64 // tail latencies in ms, one report per second; the bound is 100 ms
		want  []int   // ordered speeds in percent; -1 is a stop
	}{
		"well below its bound":   {tails: []int64{20, 30, 20}},
		"near its bound":         {tails: []int64{85, 85, 70}, want: []int{50, 25}},
		"over its bound":         {tails: []int64{120, 50, 50}, want: []int{0, 15, 30}},
		"stays over its bound":   {tails: []int64{120, 120, 120, 120, 120}, want: []int{0, -1}},
		"between the thresholds": {tails: []int64{85, 70, 70, 30}, want: []int{50, 65}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFillerState(t)
			var got []int
			for i, tail := range tt.tails {
				got = append(got, observeTail(s, testNow.Add(time.Duration(i+1)*time.Second), tail, 10+i)...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("speeds (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLostThrottle guards against a filler that keeps its former speed because an order was lost: one
// at full speed beside a service task over its bound, or a paused one that is never resumed.
func TestLostThrottle(t *testing.T) {
	t.Parallel()
	const soon, later = 200 * time.Millisecond, time.Second
	type report struct {
		after time.Duration // after the one before
		tail  int64
		lost  bool // whether the order that it causes is lost
	}
	tests := map[string]struct {
		reports []report
		// other is whether the lost order was for another attempt, gone for a worker that is gone.
		other, gone bool
		want        []int
	}{
		"pause":                           {reports: []report{{later, 120, true}, {soon, 120, false}, {soon, 120, false}}, want: []int{0, 0}},
		"pause, and its repetition":       {reports: []report{{later, 120, true}, {soon, 120, true}, {later, 120, false}}, want: []int{0, 0, 0}},
		"pause, then below its bound":     {reports: []report{{later, 120, true}, {later, 50, false}}, want: []int{0, 15}},
		"slower, then slower":             {reports: []report{{later, 85, true}, {soon, 85, false}}, want: []int{50, 25}},
		"slower, then held":               {reports: []report{{later, 85, true}, {soon, 70, false}, {soon, 70, false}}, want: []int{50, 50}},
		"faster":                          {reports: []report{{later, 120, false}, {later, 50, true}, {soon, 50, false}}, want: []int{0, 15, 15}},
		"faster, then held":               {reports: []report{{later, 120, false}, {later, 50, true}, {later, 70, false}}, want: []int{0, 15, 15}},
		"faster, then faster":             {reports: []report{{later, 120, false}, {later, 50, true}, {later, 50, false}}, want: []int{0, 15, 30}},
		"order for another attempt":       {reports: []report{{later, 120, true}, {soon, 120, false}}, other: true, want: []int{0}},
		"order for a worker that is gone": {reports: []report{{later, 120, true}, {soon, 120, false}}, gone: true, want: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, now, attempt, worker := newFillerState(t), testNow, 1, "w0"
			if tt.other {
				attempt = 2
			}
			if tt.gone {
				worker = "w9"
			}
			var got []int
			for i, r := range tt.reports {
				now = now.Add(r.after)
				got = append(got, observeTail(s, now, r.tail, 10+i)...)
				if r.lost {
					s.ThrottleFailed(taskID(1, 0), attempt, worker)
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("speeds (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFillerUsesNoCapacity guards against counting a filler's CPU against its worker's
// capacity, and against a service task that is not restarted after its end.
func TestFillerUsesNoCapacity(t *testing.T) {
	t.Parallel()
	s := newState(t, nil)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 30000, Filler: true}, graph.Step{Count: 1, CPUMilli: 30000, Service: true}))
	first := startsOf(s.Decide(testNow))
	if diff := cmp.Diff(2, len(first)); diff != "" {
		t.Fatalf("starts (-want +got):\n%s", diff)
	}
	s.StartAnswered(taskID(1, 0), 1, "w0", OutcomeStarted)
	s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: testNow, Ended: []RunEnd{{Seq: 1, Task: taskID(1, 0), Attempt: 1, Outcome: "f"}}})
	if diff := cmp.Diff([]graph.TaskID{taskID(1, 0)}, startsOf(s.Decide(testNow.Add(time.Second)))); diff != "" {
		t.Errorf("starts after the end (-want +got):\n%s", diff)
	}
}
