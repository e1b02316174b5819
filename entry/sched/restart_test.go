package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
)

const (
	// restartLeaseCap is the longest lease that a worker grants, on its own clock, and
	// restartLongestLease how long it lasts on this VM's clock if the worker's is 2% slow.
	restartLeaseCap     = 10 * time.Second
	restartLongestLease = restartLeaseCap * 102 / 100
	// restartLatestStart bounds the wait for such a lease, with time for late orders.
	restartLatestStart = restartLongestLease + 5*time.Second
	restartTick        = 20 * time.Millisecond
	// formerBoot and laterBoot are the incarnations of w1.
	formerBoot = 1
	laterBoot  = 2
)

// newRestartState returns a State whose only usable worker is w1, in its former incarnation.
func newRestartState(t *testing.T) *State {
	t.Helper()
	s := newState(t, nil)
	s.cfg.MaxLease, s.cfg.LeaseCap = testLease, restartLeaseCap*103/100
	s.DelistWorker("w0")
	addTestWorker(s, "w1", formerBoot)
	s.SetNow(testNow.Add(relistTime), 0)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 60_000}))
	return s
}

// startOnW1 starts the task on w1 and returns its attempt.
func startOnW1(t *testing.T, s *State) int {
	t.Helper()
	for _, d := range s.Decide(s.now) {
		if st, ok := d.(Start); ok && st.Worker == "w1" {
			s.LeaseExtended("w1", s.now, s.now.Add(testLease))
			return st.Attempt
		}
	}
	t.Fatal("the task does not start on w1")
	return 0
}

// restartW1 has w1 restart: its later incarnation is listed, and answers polls until it has seen a
// raised token.
func restartW1(s *State) {
	addTestWorker(s, "w1", laterBoot)
}

// answer has w1 answer a poll that was sent at polledAt.
func answer(s *State, boot int64, polledAt clock.Mono, attempts ...int) {
	rep := Report{Worker: "w1", BootUnixMS: boot, PolledAt: polledAt}
	for _, attempt := range attempts {
		rep.Running = append(rep.Running, RunStatus{Task: taskID(0, 0), Attempt: attempt})
	}
	s.Observe(rep)
}

// takeOverRestarted returns the state of an owner that takes over from s, with the given events of
// the journal, and whose first answer from w1 is from the later incarnation.
func takeOverRestarted(t *testing.T, s *State, withStart bool) *State {
	t.Helper()
	next := newRestartState(t)
	if list := s.TakeEvents(); withStart {
		next.Replay(list)
	}
	next.FinishRecovery(s.now.Add(time.Second))
	restartW1(next)
	return next
}

// TestLeaseGivenToFormerIncarnation guards against a task that starts elsewhere while it may run on a
// worker that restarted and then fell silent: an order meant for its former incarnation, whose
// clock was ahead, may have given the later one the longest lease that there is.
func TestLeaseGivenToFormerIncarnation(t *testing.T) {
	t.Parallel()
	sameOwner := func(t *testing.T) *State {
		s := newRestartState(t)
		restartW1(s)
		return s
	}
	sameOwnerWithRun := func(t *testing.T) *State {
		s := newRestartState(t)
		attempt := startOnW1(t, s)
		s.StartAnswered(taskID(0, 0), attempt, "w1", OutcomeStarted)
		s.SetNow(s.now.Add(time.Second), 0)
		answer(s, formerBoot, s.now, attempt)
		s.SetNow(s.now.Add(time.Second), 0)
		restartW1(s)
		return s
	}
	tests := map[string]struct {
		// state returns a state at the first answer of the later incarnation.
		state func(*testing.T) *State
		// answersFor is how long after that the worker answers polls.
		answersFor time.Duration
	}{
		"silent at once":             {state: sameOwner},
		"silent after a second":      {state: sameOwner, answersFor: time.Second},
		"silent after two seconds":   {state: sameOwner, answersFor: 2 * time.Second},
		"silent after five seconds":  {state: sameOwner, answersFor: 5 * time.Second},
		"the task ran on the former": {state: sameOwnerWithRun, answersFor: time.Second},
		"takeover":                   {state: func(t *testing.T) *State { return takeOverRestarted(t, newRestartState(t), false) }, answersFor: time.Second},
		"takeover, the task ran on the former": {
			state: func(t *testing.T) *State {
				s := newRestartState(t)
				startOnW1(t, s)
				return takeOverRestarted(t, s, true)
			},
			answersFor: time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := tt.state(t)
			begin := s.now
			attempt := startOnW1(t, s)
			s.StartAnswered(taskID(0, 0), attempt, "w1", OutcomeStarted)
			for after := restartTick; after <= tt.answersFor; after += restartTick {
				s.SetNow(begin.Add(after), 0)
				s.LeaseExtended("w1", s.now, s.now.Add(testLease))
				answer(s, laterBoot, s.now, attempt)
			}
			got := startElsewhereAfter(s, begin)
			if least := max(restartLongestLease, tt.answersFor+testLease); got < least || got > restartLatestStart {
				t.Errorf("started elsewhere %v after the first answer of the incarnation, want %v to %v", got, least, restartLatestStart)
			}
		})
	}
}

// startElsewhereAfter returns how long after begin the task starts on w0, if w1 stays silent.
func startElsewhereAfter(s *State, begin clock.Mono) time.Duration {
	addTestWorker(s, "w0", 1)
	for s.now.Sub(begin) <= restartLatestStart {
		s.SetNow(s.now.Add(restartTick), 0)
		s.WorkerUnresponsive("w1")
		starts := startsOf(s.Decide(s.now))
		s.TakeEvents()
		s.LeasesStored()
		if len(starts) > 0 {
			break
		}
	}
	return s.now.Sub(begin)
}

// TestStartForFormerIncarnation guards against a task that starts elsewhere because the later
// incarnation of a worker does not list it yet: it may execute the start, which was meant for the
// former one, seconds late, and the start's expiry on the former one's clock does not prevent that.
func TestStartForFormerIncarnation(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// stopped is whether the former incarnation accepts a stop of the run.
		stopped bool
		// answers are the times after the decision at which the later incarnation is polled and
		// answers. It lists the run in the last answer, and is polled again after that.
		answers []time.Duration
	}{
		"listed before the start's expiry":             {answers: []time.Duration{500 * time.Millisecond, 1800 * time.Millisecond}},
		"listed after the start's expiry":              {answers: []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond}},
		"first answer after the start's expiry":        {answers: []time.Duration{2100 * time.Millisecond, 2500 * time.Millisecond}},
		"stop accepted by the former":                  {stopped: true, answers: []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond}},
		"stop accepted by the former, listed at first": {stopped: true, answers: []time.Duration{800 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRestartState(t)
			begin := s.now
			attempt := startOnW1(t, s)
			s.StartAnswered(taskID(0, 0), attempt, "w1", OutcomeUnknown)
			if tt.stopped {
				s.SetNow(begin.Add(100*time.Millisecond), 0)
				s.StopAccepted(taskID(0, 0), attempt, "w1")
			}
			addTestWorker(s, "w0", 1)
			var got []graph.TaskID
			for i, after := range tt.answers {
				s.SetNow(begin.Add(after), 0)
				if i < len(tt.answers)-1 {
					answer(s, laterBoot, s.now)
				} else {
					answer(s, laterBoot, s.now, attempt)
				}
				got = append(got, startsOf(s.Decide(s.now))...)
			}
			if diff := cmp.Diff([]graph.TaskID(nil), got); diff != "" {
				t.Errorf("starts while the run may begin or runs on w1 (-want +got):\n%s", diff)
			}
		})
	}
}
