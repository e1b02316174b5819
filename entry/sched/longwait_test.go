package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// TestLongWaits guards against operators who cannot see what keeps a step waiting: its account's limit,
// the advising service, an earlier attempt or the workers.
func TestLongWaits(t *testing.T) {
	t.Parallel()
	busy := func(int64) (string, bool) { return "", false }
	advice := &rules.AdviceConfig{BaseMS: 10, PerWorkerMS: 1, ValidMS: 1500}
	wide := graph.Step{Count: 3, CPUMilli: 20_000, EstimateMS: 60_000}
	gang := graph.Step{Count: 3, CPUMilli: 20_000, EstimateMS: 60_000, Gang: true}
	tests := map[string]struct {
		step    graph.Step
		advice  *rules.AdviceConfig
		limit   int64 // milli-cores
		busy    bool
		prepare func(*State)
		after   time.Duration
		want    []LongWait
	}{
		"not for long": {step: wide, after: longWait - time.Millisecond},
		"account limit": {
			step: wide, limit: 30_000, after: longWait,
			want: []LongWait{{Reason: WaitsForLimit, Tasks: 2, LimitUsed: 66, Workers: 0}},
		},
		"capacity":         {step: wide, after: longWait, want: []LongWait{{Reason: WaitsForCapacity, Tasks: 2}}},
		"capacity, a gang": {step: gang, after: longWait, want: []LongWait{{Reason: WaitsForCapacity, Tasks: 3, Workers: 1, Room: 1}}},
		"answer of advice": {step: wide, advice: advice, after: longWait, want: []LongWait{{Reason: WaitsForAdvice, Tasks: 3}}},
		"no VM for advice": {step: wide, advice: advice, busy: true, after: longWait, want: []LongWait{{Reason: WaitsForAdviser, Tasks: 3}}},
		"cancelled":        {step: wide, prepare: func(s *State) { s.Cancel(testJob) }, after: longWait},
		"a run that goes on": {
			step: graph.Step{Count: 1, CPUMilli: 20_000, EstimateMS: 60_000, Gang: true},
			prepare: func(s *State) {
				st := s.jobs[testJob].occurrences[0][0]
				st.tasks[0].run = nil
				st.unassigned++
				s.enqueue(st)
			},
			after: longWait, want: []LongWait{{Reason: WaitsForLiveRuns, Tasks: 1}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, tt.advice)
			if tt.busy {
				s.cfg.ReserveAdviser = busy
			}
			s.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, StretchFactor: 2, Advice: tt.advice}},
				[]rules.Team{{Name: "a", Limit: amount.New(tt.limit, 0, 0, 0)}}, rules.Limits{}))
			s.AddJob(newJob(tt.step))
			s.Decide(testNow)
			if tt.prepare != nil {
				tt.prepare(s)
			}
			s.Decide(testNow.Add(tt.after))
			got := s.LongWaits()
			for i := range tt.want {
				tt.want[i].Step, tt.want[i].Queue, tt.want[i].Team, tt.want[i].Waited = testJob+".0.0", "q", "a", tt.after
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("long waits (-want +got):\n%s", diff)
			}
		})
	}
}
