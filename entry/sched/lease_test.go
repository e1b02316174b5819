package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

const (
	testLease = 8 * time.Second
	// testFormerTTL is the FormerLeaseTTL of newState.
	testFormerTTL = 14 * time.Second
)

// ownerLog is a journal that several owners write in turn.
type ownerLog struct {
	t       *testing.T
	journal []events.Segment
	epoch   int64
	// mute owners store no lists of leases, as if they were cut off or of an earlier build.
	mute bool
}

// store appends the events of a round.
func (l *ownerLog) store(s *State) {
	list := s.TakeEvents()
	if l.mute {
		kept := list[:0]
		for _, e := range list {
			if e.Kind != events.KindLease {
				kept = append(kept, e)
			}
		}
		list = kept
	}
	l.journal = append(l.journal, events.Segment{Key: fmt.Sprintf("%s%016x/%010x", events.Prefix, l.epoch, len(l.journal)), Events: list})
	s.LeasesStored()
}

// takeOver returns the state of the next owner, which took over at now.
func (l *ownerLog) takeOver(now clock.Mono, since int64) *State {
	l.epoch++
	s := newState(l.t, nil)
	s.SetNow(now, now.Sub(0).Milliseconds())
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
	for _, seg := range l.journal {
		s.Replay(seg.Events)
	}
	s.RestoreLeases(LatestLeaseNote(l.journal, since, l.epoch))
	s.FinishRecovery(now)
	return s
}

// startOnWorker has the first owner start the task on w1, which is gone from then on.
func startOnWorker(l *ownerLog) *State {
	l.epoch = 1
	s := newState(l.t, nil)
	s.DelistWorker("w0")
	addTestWorker(s, "w1", 1)
	s.SetNow(testNow.Add(relistTime), 0)
	s.AddJob(newJob(graph.Step{Count: 1, CPUMilli: 1000}))
	if diff := cmp.Diff([]graph.TaskID{taskID(0, 0)}, startsOf(s.Decide(s.now))); diff != "" {
		l.t.Fatalf("starts (-want +got):\n%s", diff)
	}
	l.store(s)
	s.LeaseExtended("w1", s.now, s.now.Add(testLease))
	return s
}

// TestTakeoversWithoutWorker guards against a task that waits for another FormerLeaseTTL at each
// takeover because the worker of its run is gone, and against one that starts elsewhere while
// an owner may have extended the lease of that run.
func TestTakeoversWithoutWorker(t *testing.T) {
	t.Parallel()
	const tick = 20 * time.Millisecond
	takeovers := []time.Duration{4 * time.Second, 7 * time.Second, 10 * time.Second}
	tests := map[string]struct {
		// mute are the epochs of the owners that store no lists of leases; since is the first
		// epoch of those that keep to the lists, by the epoch of the reader.
		mute  map[int64]bool
		since map[int64]int64
		// least and most bound the time from the last extension of the lease to the next start.
		least, most time.Duration
	}{
		"all owners note": {least: testLease, most: testLease + 3*1100*time.Millisecond},
		"the first is cut off before it notes": {
			mute:  map[int64]bool{1: true},
			least: takeovers[0] + testFormerTTL, most: takeovers[0] + testFormerTTL + 2*1300*time.Millisecond,
		},
		"the second is of an earlier build": {
			mute: map[int64]bool{2: true}, since: map[int64]int64{2: 3, 3: 3, 4: 3},
			least: takeovers[1] + testFormerTTL, most: takeovers[1] + testFormerTTL + 1300*time.Millisecond,
		},
		"the second ends before it stores anything": {mute: map[int64]bool{2: true}, least: testLease, most: testLease + 5*time.Second},
		"no owner notes": {
			mute:  map[int64]bool{1: true, 2: true, 3: true, 4: true},
			least: takeovers[2] + testFormerTTL, most: takeovers[2] + testFormerTTL + time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &ownerLog{t: t, mute: tt.mute[1]}
			s := startOnWorker(l)
			begin := s.now
			next := 0
			for after := tick; ; after += tick {
				if next < len(takeovers) && after >= takeovers[next] {
					next++
					l.mute = tt.mute[l.epoch+1]
					since := max(1, tt.since[l.epoch+1])
					s = l.takeOver(begin.Add(after), since)
				}
				s.SetNow(begin.Add(after), 0)
				if after >= time.Second {
					s.WorkerUnresponsive("w1")
				}
				starts := startsOf(s.Decide(s.now))
				l.store(s)
				if len(starts) > 0 {
					if after < tt.least || after > tt.most {
						t.Errorf("started elsewhere after %v, want %v to %v", after, tt.least, tt.most)
					}
					return
				}
				if after > tt.most {
					t.Fatalf("not started elsewhere after %v", after)
				}
			}
		})
	}
}

// TestMayExtendLease guards against a lease that is extended although a list with the worker is
// or may be stored, and against one that is never extended again.
func TestMayExtendLease(t *testing.T) {
	t.Parallel()
	unresponsive := func(s *State) { s.WorkerUnresponsive("w1") }
	later := func(s *State) { s.SetNow(s.now.Add(leaseNoteDelay), 0) }
	round := func(s *State) { s.Decide(s.now); s.TakeEvents() }
	stored := func(s *State) { s.LeasesStored() }
	answers := func(s *State) {
		s.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
	}
	noted := []func(*State){unresponsive, later, round, stored}
	tests := map[string]struct {
		steps []func(*State)
		want  bool
	}{
		"answers":                        {steps: []func(*State){answers, round}, want: true},
		"unresponsive for a moment":      {steps: []func(*State){unresponsive, round}, want: true},
		"decided":                        {steps: []func(*State){unresponsive, later, round}},
		"decided, answers":               {steps: []func(*State){unresponsive, later, round, answers}},
		"decided, answers, round":        {steps: []func(*State){unresponsive, later, round, answers, round}},
		"stored":                         {steps: noted},
		"stored, answers":                {steps: append(noted[:4:4], answers)},
		"stored, answers, round":         {steps: append(noted[:4:4], answers, round)},
		"stored, answers, stored":        {steps: append(noted[:4:4], answers, round, stored), want: true},
		"stored, stays away":             {steps: append(noted[:4:4], later, later, later, later, round, stored)},
		"delisted":                       {steps: append(noted[:4:4], func(s *State) { s.DelistWorker("w1") }, round, stored)},
		"delisted, back, no answer":      {steps: append(noted[:4:4], func(s *State) { s.DelistWorker("w1"); listTestWorker(s, "w1", 1) }, round, stored)},
		"delisted, back, answers":        {steps: append(noted[:4:4], func(s *State) { s.DelistWorker("w1"); listTestWorker(s, "w1", 1) }, answers, round, stored), want: true},
		"another incarnation":            {steps: append(noted[:4:4], func(s *State) { s.Observe(Report{Worker: "w1", BootUnixMS: 2, PolledAt: s.now}) }, round)},
		"another incarnation, stored":    {steps: append(noted[:4:4], func(s *State) { s.Observe(Report{Worker: "w1", BootUnixMS: 2, PolledAt: s.now}) }, round, stored)},
		"another incarnation, fenced":    {steps: append(noted[:4:4], func(s *State) { observeFenced(s, Report{Worker: "w1", BootUnixMS: 2, PolledAt: s.now}) }, round, stored), want: true},
		"another worker at its address":  {steps: append(noted[:4:4], func(s *State) { s.WorkerReplaced("w1") }, round, stored)},
		"another worker, a second later": {steps: append(noted[:4:4], func(s *State) { s.WorkerReplaced("w1") }, later, later, later, later, round, stored), want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startOnWorker(&ownerLog{t: t})
			for _, step := range tt.steps {
				step(s)
			}
			if diff := cmp.Diff(tt.want, s.MayExtendLease("w1")); diff != "" {
				t.Errorf("may be extended (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestoredLease guards against a new owner that extends the lease of a listed worker, or starts
// something there, before it has stored a list without it.
func TestRestoredLease(t *testing.T) {
	t.Parallel()
	l := &ownerLog{t: t}
	s := startOnWorker(l)
	s.WorkerUnresponsive("w1")
	s.SetNow(s.now.Add(leaseNoteDelay), 0)
	s.Decide(s.now)
	l.store(s)
	next := l.takeOver(s.now, 1)
	next.DelistWorker("w0")
	next.SetNow(next.now.Add(relistTime), 0) // w0 gets no tasks
	listTestWorker(next, "w1", 1)
	next.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: next.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
	next.AddJob(newJobInQueue(1, "q", graph.Step{Count: 1, CPUMilli: 1000}))
	var got []bool
	for range 2 {
		starts := startsOf(next.Decide(next.now))
		got = append(got, len(starts) > 0, next.MayExtendLease("w1"))
		l.store(next)
	}
	if diff := cmp.Diff([]bool{false, false, true, true}, got); diff != "" {
		t.Errorf("started, may be extended, before and after the list is stored (-want +got):\n%s", diff)
	}
}

// TestLatestLeaseNote guards against a list that counts although an owner after its writer did
// not keep to it, and against an old list that counts instead of the last one.
func TestLatestLeaseNote(t *testing.T) {
	t.Parallel()
	segment := func(epoch, number int64, list ...events.Event) events.Segment {
		return events.Segment{Key: fmt.Sprintf("%s%016x/%010x", events.Prefix, epoch, number), Events: list}
	}
	lease := func(id string) events.Event { return events.Leases([]events.Lease{{Worker: id, LeftMS: 5}}) }
	tests := map[string]struct {
		journal []events.Segment
		since   int64
		want    []events.Lease
	}{
		"none":                       {journal: []events.Segment{segment(1, 1, events.Cancel(testJob))}, since: 1},
		"former owner's":             {journal: []events.Segment{segment(19, 1, lease("a"))}, since: 1, want: lease("a").Leases},
		"last of several":            {journal: []events.Segment{segment(19, 1, lease("a")), segment(19, 2, lease("b"), lease("c"), events.Cancel(testJob))}, since: 1, want: lease("c").Leases},
		"last is empty":              {journal: []events.Segment{segment(19, 1, lease("a")), segment(19, 2, events.Leases(nil))}, since: 1},
		"of an earlier owner":        {journal: []events.Segment{segment(15, 1, lease("a")), segment(19, 1, events.Cancel(testJob))}, since: 15, want: lease("a").Leases},
		"before an earlier build":    {journal: []events.Segment{segment(15, 1, lease("a")), segment(19, 1, events.Cancel(testJob))}, since: 16},
		"this owner is the first":    {journal: []events.Segment{segment(19, 1, lease("a"))}, since: 20},
		"of a later epoch":           {journal: []events.Segment{segment(30, 1, lease("a"))}, since: 1},
		"key that names no epoch":    {journal: []events.Segment{{Key: events.Prefix + "x", Events: []events.Event{lease("a")}}}, since: 1},
		"record without the setting": {journal: []events.Segment{segment(19, 1, lease("a"))}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if diff := cmp.Diff(tt.want, LatestLeaseNote(tt.journal, tt.since, 20)); diff != "" {
				t.Errorf("list (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLeaseNoteInterval guards against lists that are stored more often than needed, which costs
// a write each, and against lists without an end.
func TestLeaseNoteInterval(t *testing.T) {
	t.Parallel()
	l := &ownerLog{t: t}
	s := startOnWorker(l)
	s.WorkerUnresponsive("w1")
	var left []int64
	for end := s.now.Add(2 * testLease); s.now < end; s.SetNow(s.now.Add(10*time.Millisecond), 0) {
		s.Decide(s.now)
		for _, e := range s.events {
			if e.Kind == events.KindLease {
				sum := int64(0)
				for _, lease := range e.Leases {
					sum += lease.LeftMS
				}
				left = append(left, sum)
			}
		}
		l.store(s)
	}
	want := []int64{7701, 6701, 5701, 4701, 3701, 2701, 1701, 701, 0}
	if diff := cmp.Diff(want, left); diff != "" {
		t.Errorf("time left in each list (-want +got):\n%s", diff)
	}
}

// TestAnsweredLease guards against a run that waits for the leases of a former owner although its
// worker has answered this one since, and rejects the former one's orders.
func TestAnsweredLease(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		answers bool
		want    time.Duration
	}{
		"answers, then is gone": {answers: true, want: testLease},
		"never answers":         {want: testFormerTTL},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &ownerLog{t: t}
			startOnWorker(l)
			s := l.takeOver(testNow.Add(4*time.Second), 1)
			s.cfg.MaxLease = testLease
			listTestWorker(s, "w1", 1)
			if tt.answers {
				s.Observe(Report{Worker: "w1", BootUnixMS: 1, PolledAt: s.now, Running: []RunStatus{{Task: taskID(0, 0), Attempt: 1}}})
			}
			s.WorkerUnresponsive("w1")
			begin := s.now
			for len(s.workers["w1"].runs) > 0 {
				s.SetNow(s.now.Add(10*time.Millisecond), 0)
				s.Decide(s.now)
			}
			if diff := cmp.Diff(tt.want, s.now.Sub(begin)); diff != "" {
				t.Errorf("time until the run is lost (-want +got):\n%s", diff)
			}
		})
	}
}
