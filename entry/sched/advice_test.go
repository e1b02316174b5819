package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// newBusyState returns a State with eight workers, an urgent and a slow queue. slots is
// the number of advice requests that may still be emitted.
func newBusyState(slots *int) *State {
	s := New(Config{
		StartTTL: 2 * time.Second, FormerLeaseTTL: 14 * time.Second, MaxStopDuration: 400 * time.Millisecond,
		ReserveAdviser: func(int64) (string, bool) {
			if *slots == 0 {
				return "", false
			}
			*slots--
			return "vm", true
		},
	})
	s.SetNow(testNow, 10_000)
	advice := &rules.AdviceConfig{BaseMS: 10, PerWorkerMS: 0.1, ValidMS: 2500}
	s.SetRules(rules.New(1, []rules.Queue{
		{Name: "urgent", Service: "svc", Priority: 0, MaxAttempts: 2, StretchFactor: 1.5, TargetMS: 250, Advice: advice},
		{Name: "slow", Service: "svc", Priority: 2, MaxAttempts: 2, StretchFactor: 4, TargetMS: 3000, Advice: advice},
	}, []rules.Team{{Name: "a", Rate: 1e6}}, rules.Limits{}))
	for i := range 8 {
		addTestWorker(s, fmt.Sprintf("w%d", i), 1)
	}
	return s
}

func newJobInQueue(n int, queue string, steps ...graph.Step) *graph.Job {
	return &graph.Job{ID: fmt.Sprintf("%016x", n), Team: "a", Queue: queue, AcceptedUnixMS: 10_000, Steps: steps}
}

// TestAdviceInOrder guards against advice requests in order of arrival instead of rank,
// which make short urgent jobs wait behind all others under load.
func TestAdviceInOrder(t *testing.T) {
	t.Parallel()
	slots := 0
	s := newBusyState(&slots)
	step := graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000}
	for i := range 20 {
		s.AddJob(newJobInQueue(i, "slow", step))
	}
	for i := 20; i < 23; i++ {
		s.AddJob(newJobInQueue(i, "urgent", step))
	}
	s.Decide(testNow)
	slots = 4
	var got []string
	for _, d := range s.Decide(testNow.Add(20 * time.Millisecond)) {
		if a, ok := d.(RequestAdvice); ok {
			got = append(got, a.Step)
		}
	}
	want := []string{"0000000000000014.0.0", "0000000000000015.0.0", "0000000000000016.0.0", "0000000000000000.0.0"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("steps with advice requests (-want +got):\n%s", diff)
	}
}

// TestRequestAdvice guards against steps that are not asked about while the events of a
// round are being stored, against starts or events at that time, and against a round that
// examines all waiting steps while no VM is free to call the advising service.
func TestRequestAdvice(t *testing.T) {
	t.Parallel()
	slots := 0
	s := newBusyState(&slots)
	for i := range 20 {
		s.AddJob(newJobInQueue(i, "slow", graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000}))
	}
	s.RequestAdvice(testNow)
	if diff := cmp.Diff(map[string]int{"slow": maxBusySteps}, s.scratch.busyQueues); diff != "" {
		t.Errorf("steps examined without a free VM (-want +got):\n%s", diff)
	}
	slots = 2
	var got []string
	for _, d := range s.RequestAdvice(testNow.Add(20 * time.Millisecond)) {
		got = append(got, fmt.Sprintf("%T", d))
	}
	if diff := cmp.Diff([]string{"sched.RequestAdvice", "sched.RequestAdvice"}, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
	if events := s.TakeEvents(); len(events) > 0 {
		t.Errorf("events %v", events)
	}
}

// TestAdviceAfterTakeover guards against a new owner that asks about all workers again for each
// waiting step: with a hundred gangs that takes the advising service several seconds.
func TestAdviceAfterTakeover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		baseMS  float64
		renewal []bool   // of the new owner's requests
		asked   []string // in them, or nil for all workers
	}{
		"long calls":  {baseMS: 500, renewal: []bool{true}, asked: []string{"w1", "w2"}},
		"short calls": {baseMS: 5, renewal: []bool{false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, &rules.AdviceConfig{BaseMS: tt.baseMS, PerWorkerMS: 1, ValidMS: 1500})
			for i := 1; i < 4; i++ {
				addTestWorker(s, fmt.Sprintf("w%d", i), 1)
			}
			// The workers are full, so that the step waits with its advice.
			s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 20_000, EstimateMS: 5000}))
			full := newJobInQueue(9, "", graph.Step{Count: 4, CPUMilli: 30_000, EstimateMS: 60_000})
			s.AddJob(full)
			s.Decide(testNow)
			s.AdviceReceived(testJob+".0.0", []string{"w0", "w1", "w2", "w3"}, []Ticket{{Worker: "w1", Value: "t"}, {Worker: "w2", Value: "t"}}, testNow.Add(time.Second), true)
			next := restart(s)
			next.Cancel(full.ID)
			for i := 1; i < 4; i++ {
				addTestWorker(next, fmt.Sprintf("w%d", i), 1)
			}
			var renewal []bool
			var asked []string
			for _, d := range next.Decide(testNow.Add(5 * time.Second)) {
				if a, ok := d.(RequestAdvice); ok {
					renewal = append(renewal, a.Renewal)
					asked = append(asked, a.Workers...)
				}
			}
			slices.Sort(asked)
			if diff := cmp.Diff(tt.renewal, renewal); diff != "" {
				t.Errorf("renewals among the requests (-want +got):\n%s", diff)
			}
			if tt.asked != nil {
				if diff := cmp.Diff(tt.asked, asked); diff != "" {
					t.Errorf("workers asked about (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestAllowedShare guards against answers that renew tickets and make it look as if a queue
// were allowed on most workers, so that its steps ask about too few.
func TestAllowedShare(t *testing.T) {
	t.Parallel()
	s := newState(t, &rules.AdviceConfig{BaseMS: 10, PerWorkerMS: 1, ValidMS: 1500})
	s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 20_000, EstimateMS: 5000}))
	step := testJob + ".0.0"
	s.AdviceReceived(step, []string{"w0", "w1", "w2", "w3"}, []Ticket{{Worker: "w1", Value: "t"}}, testNow.Add(time.Second), true)
	first := s.allowedShares.share("q")
	s.AdviceReceived(step, []string{"w1"}, []Ticket{{Worker: "w1", Value: "t"}}, testNow.Add(time.Second), true)
	if diff := cmp.Diff(first, s.allowedShares.share("q")); diff != "" {
		t.Errorf("allowed share after a renewal (-want +got):\n%s", diff)
	}
	// A worker that is not allowed any more gets no further renewals.
	s.AdviceReceived(step, []string{"w1"}, nil, testNow.Add(time.Second), true)
	if diff := cmp.Diff(0, len(s.lookupStep(step).advice.allowed)); diff != "" {
		t.Errorf("allowed workers (-want +got):\n%s", diff)
	}
}
