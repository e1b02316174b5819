package sched

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

const testNow = clock.Mono(10 * time.Second)

// newState returns a State with one queue and one worker that has reported its runs.
func newState(t *testing.T, advice *rules.AdviceConfig) *State {
	t.Helper()
	s := New(Config{
		StartTTL: 2 * time.Second, FormerLeaseTTL: 14 * time.Second, MaxStopDuration: 400 * time.Millisecond,
		ReserveAdviser: func(int64) (string, bool) { return "vm", true },
	})
	s.SetNow(testNow, 10_000)
	s.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, StretchFactor: 2, Advice: advice}},
		[]rules.Team{{Name: "a", Rate: 100}}, rules.Limits{}))
	addTestWorker(s, "w0", 1)
	return s
}

// listTestWorker adds a worker whose runs are not known yet.
func listTestWorker(s *State, id string, bootMS int64) {
	s.PutWorker(WorkerSpec{
		ID: id, Addr: id, DataCentre: "dc", Service: "svc", Capacity: amount.New(32000, 64000, 0, 0), BootUnixMS: bootMS,
	})
}

// addTestWorker adds a worker that lists no runs.
func addTestWorker(s *State, id string, bootMS int64) {
	listTestWorker(s, id, bootMS)
	observeFenced(s, Report{Worker: id, BootUnixMS: bootMS, PolledAt: s.now})
}

// observeFenced applies a report. If it shows a restart, the token is raised for it and the worker
// reports the same once more, which is all that a State asks for before it starts tasks there.
func observeFenced(s *State, r Report) {
	s.Observe(r)
	pending, _ := s.FencePending(r.Worker)
	if !pending {
		return
	}
	s.fenceRestarted()
	r.Token = testFenceToken
	s.RestartsStored(r.Token)
	s.Observe(r)
}

// testFenceToken is the revision of the write of a restart.
const testFenceToken = 100

const testJob = "00000000000000aa"

func newJob(steps ...graph.Step) *graph.Job {
	return &graph.Job{ID: testJob, Team: "a", Queue: "q", AcceptedUnixMS: 10_000, Steps: steps}
}

func taskID(step, index int) graph.TaskID {
	return graph.TaskID{Job: testJob, Step: step, Index: index}
}

// startsOf returns the tasks started by a list of decisions.
func startsOf(list []Decision) []graph.TaskID {
	var out []graph.TaskID
	for _, d := range list {
		if st, ok := d.(Start); ok {
			out = append(out, st.Task)
		}
	}
	return out
}

// TestCancel guards against starting a cancelled job. The store lists cancellations
// before jobs, so one may be read before its job.
func TestCancel(t *testing.T) {
	t.Parallel()
	add := func(s *State) { s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 1000})) }
	cancel := func(s *State) { s.Cancel(testJob) }
	decide := func(s *State) { s.Decide(testNow) }
	tests := map[string]struct {
		do    []func(*State)
		state JobState
		stops int
	}{
		"before the job is known": {do: []func(*State){cancel, add}, state: JobCancelled},
		"while it waits":          {do: []func(*State){add, cancel}, state: JobCancelled},
		"while it runs":           {do: []func(*State){add, decide, cancel}, state: JobCancelled, stops: 2},
		"twice":                   {do: []func(*State){add, cancel, cancel}, state: JobCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			for _, f := range tt.do {
				f(s)
			}
			list := s.Decide(testNow.Add(time.Millisecond))
			stops := 0
			for _, d := range list {
				if _, ok := d.(Stop); ok {
					stops++
				}
			}
			state, _ := s.Job(testJob)
			if diff := cmp.Diff(tt.state, state); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]graph.TaskID(nil), startsOf(list)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.stops, stops); diff != "" {
				t.Errorf("stops (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplay guards against a new owner that repeats tasks that are done, starts tasks
// that may still run, or resets the count of failures.
func TestReplay(t *testing.T) {
	t.Parallel()
	start := func(index, attempt int) events.Event { return events.Start(taskID(0, index), attempt, "w0", 1) }
	end := func(index, attempt int, outcome events.RunOutcome) events.Event {
		return events.End(taskID(0, index), attempt, outcome, "")
	}
	tests := map[string]struct {
		journal []events.Event
		state   JobState
		starts  []graph.TaskID
	}{
		"nothing happened":       {state: JobRunning, starts: []graph.TaskID{taskID(0, 0), taskID(0, 1)}},
		"one is done":            {journal: []events.Event{start(0, 1), end(0, 1, events.RunDone)}, state: JobRunning, starts: []graph.TaskID{taskID(0, 1)}},
		"one may still run":      {journal: []events.Event{start(0, 1)}, state: JobRunning, starts: []graph.TaskID{taskID(0, 1)}},
		"all are done":           {journal: []events.Event{start(0, 1), start(1, 1), end(0, 1, events.RunDone), end(1, 1, events.RunDone)}, state: JobDone},
		"failed in all attempts": {journal: []events.Event{start(0, 1), end(0, 1, events.RunFailed), start(0, 2), end(0, 2, events.RunFailed)}, state: JobFailed},
		"cancelled":              {journal: []events.Event{start(0, 1), events.Cancel(testJob)}, state: JobCancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 2, CPUMilli: 1000}))
			s.Replay(tt.journal)
			s.FinishRecovery(testNow)
			starts := startsOf(s.Decide(testNow.Add(time.Millisecond)))
			state, _ := s.Job(testJob)
			if diff := cmp.Diff(tt.state, state); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.starts, starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnreachableWorker guards against sending the same start repeatedly to an
// unreachable worker. Each attempt costs a journal write.
func TestUnreachableWorker(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		outcome StartOutcome
		starts  int
	}{
		"unreachable": {outcome: OutcomeUnreachable, starts: 2},
		"rejected":    {outcome: OutcomeRejected, starts: 2},
		"not sent":    {outcome: OutcomeNotSent, starts: 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
			starts := 0
			for i := range 50 {
				for _, d := range s.Decide(testNow.Add(time.Duration(i) * 20 * time.Millisecond)) {
					if st, ok := d.(Start); ok {
						starts++
						s.StartAnswered(st.Task, st.Attempt, st.Worker, tt.outcome)
					}
				}
			}
			if diff := cmp.Diff(tt.starts, starts); diff != "" {
				t.Errorf("starts within a second (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDelistedWorker guards against workers that get nothing for seconds because their entries
// lapsed in an outage of the store, and against using one that has left.
func TestDelistedWorker(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		before func(s *State) // the worker is taken off the list
		after  time.Duration
		relist bool
		want   int // tasks started
		known  bool
	}{
		"answers polls":                  {after: time.Second, want: 1, known: true},
		"answers polls, not listed soon": {after: relistTime, want: 0},
		"listed again":                   {after: relistTime, relist: true, want: 1, known: true},
		"does not answer":                {before: func(s *State) { s.WorkerUnresponsive("w0") }, after: time.Second, want: 0, known: true},
		"has reported its shutdown":      {before: func(s *State) { drain(s, "w0") }, after: time.Second, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			spec := s.workers["w0"].spec
			if tt.before != nil {
				tt.before(s)
			}
			s.DelistWorker("w0")
			if tt.relist {
				s.SetNow(testNow.Add(tt.after/2), 10_000)
				s.PutWorker(spec)
			}
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 5000}))
			got := len(startsOf(s.Decide(testNow.Add(tt.after))))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("tasks started (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.known, s.HasWorker("w0")); diff != "" {
				t.Errorf("worker known (-want +got):\n%s", diff)
			}
		})
	}
}

// TestQueueUnknown guards against a job that is never started, runs on workers of another service
// or has fewer attempts, because it reaches the owner before its queue does, or because its queue
// was removed before the owner's term.
func TestQueueUnknown(t *testing.T) {
	t.Parallel()
	const service = "other"
	type result struct {
		Starts map[string]int // by worker
		Advice int            // requests
	}
	tests := map[string]struct {
		settings *rules.Queue
		failed   bool // whether the first run fails
		want     result
	}{
		"another service": {settings: &rules.Queue{Service: service, MaxAttempts: 1}, want: result{Starts: map[string]int{"w1": 1}}},
		"with advice": {
			settings: &rules.Queue{Service: service, MaxAttempts: 1, Advice: &rules.AdviceConfig{BaseMS: 1, ValidMS: 1000}},
			want:     result{Starts: map[string]int{}, Advice: 1},
		},
		"two attempts": {settings: &rules.Queue{Service: service, MaxAttempts: 2}, failed: true, want: result{Starts: map[string]int{"w1": 2}}},
		"one attempt":  {settings: &rules.Queue{Service: service, MaxAttempts: 1}, failed: true, want: result{Starts: map[string]int{"w1": 1}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.PutWorker(WorkerSpec{ID: "w1", Addr: "w1", DataCentre: "dc", Service: service, Capacity: amount.New(32000, 64000, 0, 0), BootUnixMS: 1})
			s.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: s.now})
			job := newJobInQueue(1, "new", graph.Step{Count: 1, CPUMilli: 1000})
			job.Settings = tt.settings
			raw, err := job.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if job, err = graph.Decode(raw); err != nil { // as the owner reads it
				t.Fatal(err)
			}
			s.AddJob(job)
			got := result{Starts: make(map[string]int)}
			for i := range 2 {
				for _, d := range s.Decide(testNow.Add(time.Duration(i) * time.Second)) {
					switch d := d.(type) {
					case Start:
						got.Starts[d.Worker]++
						if tt.failed {
							w := s.workers[d.Worker]
							s.Observe(Report{Worker: d.Worker, BootUnixMS: 1, PolledAt: s.now, Ended: []RunEnd{
								{Seq: w.lastSeenSeq + 1, Task: d.Task, Attempt: d.Attempt, Outcome: events.RunFailed},
							}})
						}
					case RequestAdvice:
						got.Advice++
					case Stop, Throttle:
					}
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("starts and requests for advice (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStalled guards against stopping healthy runs on a worker that was unreachable for a
// while, and against leaving a run on a worker where it makes no progress.
func TestStalled(t *testing.T) {
	t.Parallel()
	type report struct {
		afterMS int64
		percent int
	}
	tests := map[string]struct {
		reports []report
		stops   int
	}{
		"progresses":                   {reports: []report{{1000, 10}, {2000, 20}, {3000, 30}, {4000, 40}, {5000, 50}}},
		"no progress":                  {reports: []report{{1000, 10}, {2000, 10}, {3000, 10}, {4000, 10}, {5000, 10}}, stops: 1},
		"unreachable, then progressed": {reports: []report{{500, 10}, {6500, 80}}},
		"complete, end not reported":   {reports: []report{{1000, 100}, {2000, 100}, {3000, 100}, {4000, 100}, {5000, 100}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000}))
			stops := 0
			nextReport := 0
			for ms := int64(0); ms < 7000; ms += 100 {
				now := testNow.Add(time.Duration(ms) * time.Millisecond)
				s.SetNow(now, 10_000+ms)
				if nextReport < len(tt.reports) && tt.reports[nextReport].afterMS == ms {
					s.Observe(Report{Worker: "w0", BootUnixMS: 1, PolledAt: now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1, Percent: tt.reports[nextReport].percent}}})
					nextReport++
				}
				for _, d := range s.Decide(now) {
					switch d := d.(type) {
					case Start:
						s.StartAnswered(d.Task, d.Attempt, d.Worker, OutcomeStarted)
					case Stop:
						if d.Reason == ReasonStalled {
							stops++
						}
					case RequestAdvice, Throttle:
					}
				}
			}
			if diff := cmp.Diff(tt.stops, stops); diff != "" {
				t.Errorf("stops of a run without progress (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRateOfRestoredJobs guards against a new owner that takes its predecessor's backlog
// as sent at once: it would rank the jobs of accounts within their rate behind all others.
func TestRateOfRestoredJobs(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		intervalMS int64
		overRate   int
	}{
		"within the rate": {intervalMS: 500, overRate: 0},
		"at once":         {intervalMS: 0, overRate: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			s.SetRules(rules.New(2, []rules.Queue{{Name: "q"}}, []rules.Team{{Name: "a", Rate: 2}}, rules.Limits{}))
			var docs []*graph.Job
			for i := range 10 {
				doc := newJobInQueue(i, "q", graph.Step{Count: 1, CPUMilli: 1000})
				doc.AcceptedUnixMS = 10_000 - int64(i)*tt.intervalMS
				docs = append(docs, doc)
			}
			s.RestoreJobs(docs)
			overRate := 0
			for _, j := range s.jobs {
				if j.overRate {
					overRate++
				}
			}
			if diff := cmp.Diff(tt.overRate, overRate); diff != "" {
				t.Errorf("jobs over the rate (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDueOccurrences guards against one job whose occurrences are all due at once and take all
// of the owner's memory, which would end each owner in turn.
func TestDueOccurrences(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		tasks, occurrences int
		want               int // open occurrences
	}{
		"few tasks":              {tasks: 2, occurrences: 100, want: 100},
		"many tasks":             {tasks: 1000, occurrences: 10_000, want: graph.MaxTasks / 1000},
		"more than half a limit": {tasks: graph.MaxTasks/2 + 1, occurrences: 10_000, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			doc := newJob(graph.Step{Count: tt.tasks, CPUMilli: 1, EstimateMS: 100})
			doc.Occurrences = tt.occurrences
			if err := doc.Check(); err != nil {
				t.Fatal(err)
			}
			s.AddJob(doc)
			s.Decide(testNow)
			open := func() (n int) {
				for _, steps := range s.jobs[testJob].occurrences {
					if steps != nil {
						n++
					}
				}
				return n
			}
			if diff := cmp.Diff(tt.want, open()); diff != "" {
				t.Errorf("open occurrences (-want +got):\n%s", diff)
			}
			for i := range tt.tasks {
				s.markDone(s.lookupTask(graph.TaskID{Job: testJob, Index: i}))
			}
			s.Decide(testNow.Add(time.Second))
			if diff := cmp.Diff(min(tt.want+1, tt.occurrences), open()); diff != "" {
				t.Errorf("open occurrences after the first is done (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAcceptedByWrongClock guards against a job that counts as late, or as not due for a
// long time, because the clock of the VM that accepted it is wrong.
func TestAcceptedByWrongClock(t *testing.T) {
	t.Parallel()
	for name, offsetMS := range map[string]int64{"behind": -2400, "ahead": 2400, "right": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(t, nil)
			doc := newJob(graph.Step{Count: 1, CPUMilli: 1000, EstimateMS: 1000})
			doc.AcceptedUnixMS += offsetMS
			s.AddJob(doc)
			want := testNow.Add(2 * time.Second) // twice the run time
			if early := want.Sub(s.jobs[testJob].objective); early < 0 || early > maxDeliveryDelay {
				t.Errorf("objective is %v before that of a job accepted now", early)
			}
		})
	}
}
