package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// lateStart is a state in which the start of the task on w1 may still be executed, and w0 is idle.
type lateStart struct {
	*State
	begin clock.Mono
	// starts are the starts decided since, with their workers and attempts.
	starts []string
}

// decide decides as of a time after the first start.
func (l *lateStart) decide(after time.Duration) {
	l.SetNow(l.begin.Add(after), 0)
	for _, d := range l.Decide(l.now) {
		st, ok := d.(Start)
		if !ok {
			continue
		}
		name := fmt.Sprintf("%s attempt %d", st.Worker, st.Attempt)
		if st.Repeated {
			name += " repeated"
		}
		l.starts = append(l.starts, name)
	}
}

// list has w1's incarnation answer a poll without the run, and decides.
func (l *lateStart) list(boot int64, after time.Duration) {
	l.SetNow(l.begin.Add(after), 0)
	if w := l.workers["w1"]; !w.listed || w.entryBootMS != boot {
		listTestWorker(l.State, "w1", boot)
	}
	observeFenced(l.State, Report{Worker: "w1", BootUnixMS: boot, PolledAt: l.now})
	l.decide(after)
}

func newLateStart(t *testing.T, step graph.Step) *lateStart {
	t.Helper()
	s := newState(t, nil)
	s.cfg.MaxLease, s.cfg.LeaseCap = testLease, restartLeaseCap*103/100
	s.DelistWorker("w0")
	addTestWorker(s, "w1", formerBoot)
	s.SetNow(testNow.Add(relistTime), 0)
	s.AddJob(newJob(step))
	l := &lateStart{State: s, begin: s.now}
	if attempt := startOnW1(t, s); attempt != 1 {
		t.Fatalf("the first start is attempt %d", attempt)
	}
	addTestWorker(s, "w0", 1)
	return l
}

// TestLateStartRunsTwice guards against a task that is started on another worker although its unanswered start
// may be executed by a later incarnation of the first one, which rejects it neither as late nor by its
// token, so that the task runs twice.
func TestLateStartRunsTwice(t *testing.T) {
	t.Parallel()
	const (
		expired = 2100 * time.Millisecond // the start's deadline has passed
		repeat  = "w1 attempt 1 repeated"
		another = "w0 attempt 2"
	)
	unknown := func(l *lateStart) { l.StartAnswered(taskID(0, 0), 1, "w1", OutcomeUnknown) }
	plain := graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}
	copies := plain
	copies.AllowDuplicates = true
	tests := map[string]struct {
		step graph.Step
		play func(l *lateStart)
		want []string
	}{
		"no answer": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.list(formerBoot, expired)
		}, want: []string{repeat}},
		"the answer is overdue": {step: plain, play: func(l *lateStart) { l.list(formerBoot, expired) }, want: []string{repeat}},
		"the worker restarts after the list": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.list(formerBoot, expired)
			l.StartAnswered(taskID(0, 0), 1, "w1", OutcomeStarted)
			l.list(laterBoot, expired+time.Second)
		}, want: []string{repeat, repeat}},
		"the worker restarts twice": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.list(laterBoot, time.Second)
			l.list(laterBoot+1, expired)
		}, want: []string{repeat}},
		"the worker restarts while the start is being sent": {step: plain, play: func(l *lateStart) {
			l.list(laterBoot, time.Second)
			unknown(l)
			l.list(laterBoot, 1500*time.Millisecond)
		}, want: []string{repeat}},
		"the worker that is back is too small": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.workers["w1"].spec.Capacity = amount.New(500, 64_000, 0, 0)
			l.list(formerBoot, expired)
		}},
		"the run is being stopped": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.stop(l.workers["w1"].runs[0], ReasonGangBroken)
			l.list(formerBoot, expired)
		}},
		"the repeated start is refused": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.list(formerBoot, expired)
			l.StartAnswered(taskID(0, 0), 1, "w1", OutcomeNotSent)
			l.decide(expired + time.Second)
			l.list(formerBoot, 2*expired)
		}, want: []string{repeat, repeat}},
		"a stop is accepted": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.StopAccepted(taskID(0, 0), 1, "w1")
			l.list(formerBoot, expired)
			l.list(formerBoot, maxOrderDelay-time.Millisecond)
		}},
		"the worker drains": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.workers["w1"].spec.Draining = true
			l.list(formerBoot, expired)
			l.list(formerBoot, maxOrderDelay-time.Millisecond)
		}},
		"the worker drains, the start cannot be executed any more": {step: plain, play: func(l *lateStart) {
			unknown(l)
			l.workers["w1"].spec.Draining = true
			l.list(formerBoot, maxOrderDelay+time.Millisecond)
		}, want: []string{another}},
		"the worker answers no start": {step: plain, play: func(l *lateStart) {
			for i := range maxStartRepeats + 1 {
				after := time.Duration(i+1) * expired
				l.SetNow(l.begin.Add(after), 0)
				unknown(l)
				l.list(formerBoot, after+time.Millisecond)
				l.SetNow(l.begin.Add(after), 0)
			}
			l.list(formerBoot, (maxStartRepeats+1)*expired+maxOrderDelay)
			l.list(formerBoot, (maxStartRepeats+1)*expired+maxOrderDelay+time.Second)
		}, want: []string{repeat, repeat, repeat, another}},
		"new owner": {step: plain, play: func(l *lateStart) {
			next := newState(t, nil)
			next.AddJob(newJob(plain))
			next.Replay(l.TakeEvents())
			l.State = next
			next.FinishRecovery(l.begin.Add(time.Second))
			addTestWorker(next, "w0", 1)
			l.list(formerBoot, expired)
		}, want: []string{repeat}},

		// The start certainly has no effect, or one that does no harm.
		"refused": {step: plain, play: func(l *lateStart) {
			l.StartAnswered(taskID(0, 0), 1, "w1", OutcomeNoCapacity)
			l.decide(time.Second)
		}, want: []string{another}},
		"all tries answered, the worker restarts": {step: plain, play: func(l *lateStart) {
			l.StartAnswered(taskID(0, 0), 1, "w1", OutcomeStarted)
			l.list(laterBoot, time.Second)
		}, want: []string{another}},
		"copies allowed": {step: copies, play: func(l *lateStart) {
			unknown(l)
			l.list(formerBoot, expired)
		}, want: []string{another}},
		"with a ticket": {step: plain, play: func(l *lateStart) {
			l.workers["w1"].runs[0].ticketed = true
			unknown(l)
			l.list(formerBoot, expired)
		}, want: []string{another}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLateStart(t, tt.step)
			tt.play(l)
			if diff := cmp.Diff(tt.want, l.starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStartWithTicket guards against a start with a ticket that keeps its task from other workers, of
// this owner and of the next one: no later incarnation accepts the ticket.
func TestStartWithTicket(t *testing.T) {
	t.Parallel()
	s := newState(t, &rules.AdviceConfig{BaseMS: 500, PerWorkerMS: 1, ValidMS: 1500})
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 5000}))
	s.Decide(testNow)
	s.AdviceReceived(testJob+".0.0", []string{"w0"}, []Ticket{{Worker: "w0", Value: "t"}}, testNow.Add(time.Second), true)
	s.Decide(testNow)
	next := newState(t, &rules.AdviceConfig{BaseMS: 500, PerWorkerMS: 1, ValidMS: 1500})
	next.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 5000}))
	next.Replay(s.TakeEvents())
	ticketed := func(s *State) []bool {
		var out []bool
		for _, r := range s.workers["w0"].runs {
			out = append(out, r.ticketed)
		}
		return out
	}
	if diff := cmp.Diff([][]bool{{true}, {true}}, [][]bool{ticketed(s), ticketed(next)}); diff != "" {
		t.Errorf("starts with a ticket, of this owner and the next one (-want +got):\n%s", diff)
	}
}
