package upkeep

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
)

const (
	testStart    = clock.Mono(100 * time.Second)
	testAdded    = testStart - clock.Mono(time.Millisecond) // when waves are added
	testDowntime = 2 * time.Second
	testStopTime = 400 * time.Millisecond
)

// fakeFleet simulates a platform on which a VM that is ordered down is up again after
// testDuration.
type fakeFleet struct {
	downUntil map[string]clock.Mono
	runs      map[string]int // by worker
	takenDown map[string]int // number of maintenances started, by VM
	unlisted  map[string]bool
	// recorded are the VMs that a stored record lists as started.
	recorded map[string]bool
	// unstoppable are the workers whose runs do not end at the drain deadline.
	unstoppable map[string]bool
}

func newFakeFleet(n int) (*fakeFleet, []string) {
	f := &fakeFleet{downUntil: make(map[string]clock.Mono), runs: make(map[string]int), takenDown: make(map[string]int), unlisted: make(map[string]bool), recorded: make(map[string]bool)}
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("m%d", i))
		f.runs["w-"+names[i]] = i
	}
	return f, names
}

func (f *fakeFleet) list(names []string, now clock.Mono) []VM {
	var out []VM
	for _, name := range names {
		if f.unlisted[name] {
			continue
		}
		state := StateUp
		if now < f.downUntil[name] {
			state = StateInMaintenance
		}
		out = append(out, NewVM(name, "w-"+name, state))
	}
	return out
}

func (f *fakeFleet) runsOn(worker string) (int, bool) { return f.runs[worker], true }

// runWave simulates a wave. It returns the largest number of VMs that were down at the
// same time and when the wave was complete, or 0 if it was not.
func (f *fakeFleet) runWave(t *testing.T, p *Plan, names []string, replyLost func(vm string) bool) (maxDown int, end clock.Mono) {
	t.Helper()
	for now := testStart; now < testStart.Add(time.Minute); now = now.Add(200 * time.Millisecond) {
		p.SetVMs(f.list(names, now), now)
		for worker, deadline := range p.DrainDeadlines() {
			if now >= deadline && !f.unstoppable[worker] {
				f.runs[worker] = 0
			}
		}
		for _, step := range p.Next(now, f.runsOn) {
			switch step := step.(type) {
			case StoreRecord:
				for _, name := range step.Record.Started {
					f.recorded[name] = true
				}
				if step.Record.Complete {
					return maxDown, now
				}
			case TakeDown:
				if !f.recorded[step.VM] {
					t.Fatalf("%s is ordered before its record is stored", step.VM)
				}
				if f.runs[step.Worker] != 0 && f.takenDown[step.VM] == 0 {
					t.Fatalf("%s is ordered with runs on its worker", step.VM)
				}
				if f.takenDown[step.VM] == 0 {
					f.takenDown[step.VM]++
					f.downUntil[step.VM] = now.Add(testDowntime)
				}
				if !replyLost(step.VM) {
					p.MarkAccepted(step.Wave, step.VM, now)
				}
			}
		}
		n := 0
		for _, until := range f.downUntil {
			if now < until {
				n++
			}
		}
		maxDown = max(maxDown, n)
	}
	return maxDown, 0
}

// TestWave guards against a wave that misses a feasible deadline, that has more VMs
// down at the same time than allowed, or that orders a VM down whose worker still has
// runs.
func TestWave(t *testing.T) {
	t.Parallel()
	never := func(string) bool { return false }
	tests := map[string]struct {
		vms, maxDown int
		timeLeft     time.Duration
		prepare      func(f *fakeFleet)
		replyLost    func(vm string) bool
		wantMaxDown  int
		wantWithin   time.Duration
	}{
		"one at a time":   {vms: 4, maxDown: 1, timeLeft: 20 * time.Second, wantMaxDown: 1, wantWithin: 20 * time.Second},
		"three at a time": {vms: 12, maxDown: 3, timeLeft: 30 * time.Second, wantMaxDown: 3, wantWithin: 30 * time.Second},
		"no time":         {vms: 4, maxDown: 2, timeLeft: 0, wantMaxDown: 2, wantWithin: 8 * time.Second},
		"one VM has left": {
			vms: 4, maxDown: 1, timeLeft: 20 * time.Second, wantMaxDown: 1, wantWithin: 20 * time.Second,
			prepare: func(f *fakeFleet) { f.unlisted["m2"] = true },
		},
		"replies are lost": {
			vms: 4, maxDown: 2, timeLeft: 20 * time.Second, wantMaxDown: 2, wantWithin: 20 * time.Second,
			replyLost: func() func(string) bool {
				tries := make(map[string]int)
				return func(vm string) bool { tries[vm]++; return tries[vm] < 3 }
			}(),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, names := newFakeFleet(tt.vms)
			if tt.prepare != nil {
				tt.prepare(f)
			}
			replyLost := never
			if tt.replyLost != nil {
				replyLost = tt.replyLost
			}
			p := NewPlan(Config{Downtime: testDowntime})
			p.AddWave(NewWave(1, names, testStart.Add(tt.timeLeft), tt.maxDown), 0, testAdded)
			maxDown, end := f.runWave(t, p, names, replyLost)
			if end == 0 || end > testStart.Add(tt.wantWithin) {
				t.Errorf("complete at %v, want within %v", end.Sub(testStart), tt.wantWithin)
			}
			if maxDown > tt.wantMaxDown {
				t.Errorf("%d VMs down at the same time, want at most %d", maxDown, tt.wantMaxDown)
			}
			for _, vm := range names {
				if !f.unlisted[vm] && f.takenDown[vm] != 1 {
					t.Errorf("%s went down %d times", vm, f.takenDown[vm])
				}
			}
		})
	}
}

// TestWaveRestored guards against a new owner that exceeds the bound because it does
// not count the VMs that its predecessor started, that takes down a VM with runs because
// it relies on its predecessor's order, or that never completes the wave.
func TestWaveRestored(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fakeFleet){
		"the order was executed and the VM is down": func(f *fakeFleet) {
			f.takenDown["m1"], f.downUntil["m1"] = 1, testStart.Add(testDowntime)
		},
		"the order was executed and the VM is back": func(f *fakeFleet) { f.takenDown["m1"] = 1 },
		"the VM is back and its runs cannot be stopped": func(f *fakeFleet) {
			f.takenDown["m1"], f.unstoppable = 1, map[string]bool{"w-m1": true}
		},
		"the order never arrived":                         func(*fakeFleet) {},
		"the order never arrived and the worker is empty": func(f *fakeFleet) { f.runs["w-m1"] = 0 },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, names := newFakeFleet(4)
			f.takenDown["m0"], f.recorded["m1"] = 1, true
			prepare(f)
			p := NewPlan(Config{Downtime: testDowntime, MaxStopTime: testStopTime})
			deadline := testStart.Add(15 * time.Second)
			p.AddWave(NewWave(7, names, deadline, 1), 0, testAdded)
			p.Restore(Record{Number: 7, Started: []string{"m1"}, Done: []string{"m0"}}, deadline, testStart)
			maxDown, end := f.runWave(t, p, names, func(string) bool { return false })
			if maxDown != 1 || end == 0 || end > deadline {
				t.Errorf("%d VMs down at the same time, complete after %v", maxDown, end.Sub(testStart))
			}
			want := map[string]int{"m0": 1, "m1": 1, "m2": 1, "m3": 1}
			if diff := cmp.Diff(want, f.takenDown); diff != "" {
				t.Errorf("maintenances (-want +got):\n%s", diff)
			}
		})
	}
}

// restoredPlan returns a plan with a wave of m0, which the former owner started while
// w-m0 was its worker, and of m1, which it finished. No order is sent before testStart.
func restoredPlan(timeLeft time.Duration) *Plan {
	p := NewPlan(Config{Downtime: testDowntime, MaxStopTime: testStopTime})
	deadline := testStart.Add(timeLeft)
	p.AddWave(NewWave(7, []string{"m0", "m1"}, deadline, 1), 0, testAdded)
	p.Restore(Record{
		Number: 7, Started: []string{"m0"}, Done: []string{"m1"}, Workers: map[string]string{"m0": "w-m0"},
	}, deadline, testStart)
	return p
}

// TestRestoredDrain guards against new runs on a worker whose VM the former owner may
// have ordered down: the order can still arrive, and is repeated.
func TestRestoredDrain(t *testing.T) {
	t.Parallel()
	listed := func(vms ...VM) *[]VM { return &vms }
	tests := map[string]struct {
		timeLeft time.Duration
		list     *[]VM // nil: not read yet
		want     map[string]clock.Mono
	}{
		"before the first list": {timeLeft: time.Minute, want: map[string]clock.Mono{"w-m0": testStart.Add(maxDrainTime)}},
		"little time is left": {
			timeLeft: 5 * time.Second, list: listed(NewVM("m0", "w-m0", StateUp)),
			want: map[string]clock.Mono{"w-m0": testStart.Add(5*time.Second - testDowntime - slotMargin)},
		},
		"no time is left": {list: listed(NewVM("m0", "w-m0", StateUp)), want: map[string]clock.Mono{"w-m0": testStart}},
		"a new worker": {
			timeLeft: time.Minute, list: listed(NewVM("m0", "w-new", StateUp), NewVM("m1", "w-m1", StateUp)),
			want: map[string]clock.Mono{"w-new": testStart.Add(maxDrainTime)},
		},
		"the VM has left": {timeLeft: time.Minute, list: listed(NewVM("m1", "w-m1", StateUp))},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := restoredPlan(tt.timeLeft)
			if tt.list != nil {
				p.SetVMs(*tt.list, testStart)
			}
			if diff := cmp.Diff(tt.want, p.DrainDeadlines()); diff != "" {
				t.Errorf("drain deadlines (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRestoredOrder guards against a first order of a term that ends runs which could
// have been stopped, and against one that is never sent.
func TestRestoredOrder(t *testing.T) {
	t.Parallel()
	const stopped = maxDrainTime + testStopTime + slotMargin
	tests := map[string]struct {
		state   State
		runs    int
		unknown bool
		at      time.Duration
		want    []Step
	}{
		"empty worker":               {state: StateUp, want: []Step{TakeDown{Wave: 7, VM: "m0", Worker: "w-m0"}}},
		"runs":                       {state: StateUp, runs: 1},
		"runs are being stopped":     {state: StateUp, runs: 1, at: stopped - time.Millisecond},
		"runs could not be stopped":  {state: StateUp, runs: 1, at: stopped, want: []Step{TakeDown{Wave: 7, VM: "m0", Worker: "w-m0"}}},
		"unknown worker":             {state: StateUp, unknown: true},
		"worker that stayed unknown": {state: StateUp, unknown: true, at: stopped, want: []Step{TakeDown{Wave: 7, VM: "m0", Worker: "w-m0"}}},
		"VM is down already":         {state: StateInMaintenance, unknown: true, want: []Step{TakeDown{Wave: 7, VM: "m0", Worker: "w-m0"}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := restoredPlan(time.Minute)
			now := testStart.Add(tt.at)
			p.SetVMs([]VM{NewVM("m0", "w-m0", tt.state), NewVM("m1", "w-m1", StateUp)}, now)
			got := p.Next(now, func(string) (int, bool) { return tt.runs, !tt.unknown })
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnstored guards against an order that is sent again although its record was not
// stored.
func TestUnstored(t *testing.T) {
	t.Parallel()
	f, names := newFakeFleet(1)
	p := NewPlan(Config{Downtime: testDowntime})
	p.AddWave(NewWave(1, names, testStart, 1), 0, testAdded)
	p.SetVMs(f.list(names, testStart), testStart)
	p.Next(testStart, f.runsOn)
	p.MarkUnstored(1)
	steps := p.Next(testStart.Add(orderRetryDelay), f.runsOn)
	want := []Step{StoreRecord{Record{Number: 1, Started: names, Workers: map[string]string{"m0": "w-m0"}}}, TakeDown{Wave: 1, VM: "m0", Worker: "w-m0"}}
	if diff := cmp.Diff(want, steps); diff != "" {
		t.Errorf("steps (-want +got):\n%s", diff)
	}
}

// TestWaveNeedsLaterList guards against a wave that is said to be complete, or begun, on a list of VMs
// from before the wave, which lacks those that joined since.
func TestWaveNeedsLaterList(t *testing.T) {
	t.Parallel()
	const before, after = testAdded - clock.Mono(time.Second), testStart
	empty := func(string) (int, bool) { return 0, true }
	order := []Step{
		StoreRecord{Record{Number: 1, Started: []string{"m1"}, Workers: map[string]string{"m1": "w-m1"}}}, TakeDown{Wave: 1, VM: "m1", Worker: "w-m1"},
	}
	complete := []Step{StoreRecord{Record{Number: 1, Complete: true}}}
	tests := map[string]struct {
		requestedAt clock.Mono
		list        []VM
		want        []Step
	}{
		"requested before the wave, without the VM": {requestedAt: before, list: []VM{NewVM("m0", "w-m0", StateUp)}},
		"requested when the wave was added":         {requestedAt: testAdded, list: []VM{NewVM("m0", "w-m0", StateUp)}},
		"requested before the wave, with the VM":    {requestedAt: before, list: []VM{NewVM("m1", "w-m1", StateUp)}},
		"requested after the wave, without the VM":  {requestedAt: after, list: []VM{NewVM("m0", "w-m0", StateUp)}, want: complete},
		"requested after the wave, with the VM":     {requestedAt: after, list: []VM{NewVM("m1", "w-m1", StateUp)}, want: order},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPlan(Config{Downtime: testDowntime})
			p.AddWave(NewWave(1, []string{"m1"}, testStart, 1), 0, testAdded)
			p.SetVMs(tt.list, tt.requestedAt)
			if diff := cmp.Diff(tt.want, p.Next(testStart, empty)); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.requestedAt <= testAdded, p.HasWaveSince(tt.requestedAt)); diff != "" {
				t.Errorf("a later list is needed (-want +got):\n%s", diff)
			}
		})
	}
}

// TestVMDownForGood guards against a wave that never goes on because a VM of it that crashed keeps its place
// among those that may be down, against one that is said to be complete although that VM may come back, and
// against more VMs down than allowed.
func TestVMDownForGood(t *testing.T) {
	t.Parallel()
	const listInterval = time.Second
	drained := func(string) (int, bool) { return 0, true }
	busy := func(string) (int, bool) { return 1, true }
	tests := map[string]struct {
		runs     RunCounter
		accepted bool
		restored bool
		// least and within bound the time until m1 drains.
		least, within time.Duration
		want          []string // VMs that were ordered down by then, and once m0 is up again
	}{
		"while its worker drained":      {runs: busy, within: 2 * listInterval, want: []string{"m1", "m0"}},
		"its order has no answer":       {runs: drained, least: maxOrderDelay, within: maxOrderDelay + 2*listInterval, want: []string{"m0", "m1", "m0"}},
		"its order was accepted":        {runs: drained, accepted: true, within: 2 * listInterval, want: []string{"m0", "m1"}},
		"a former owner had ordered it": {restored: true, runs: busy, least: maxOrderDelay, within: maxDrainTime + maxOrderDelay + 2*listInterval, want: []string{"m1", "m0"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPlan(Config{Downtime: testDowntime})
			p.AddWave(NewWave(1, []string{"m0", "m1"}, testStart.Add(time.Hour), 1), 0, testAdded)
			if tt.restored {
				p.Restore(Record{Number: 1, Started: []string{"m0"}}, testStart.Add(time.Hour), testStart)
			}
			var orders, begun []string
			isComplete := false
			next := func(now clock.Mono, state State, runs RunCounter, accept bool) {
				p.SetVMs([]VM{NewVM("m0", "w-m0", state), NewVM("m1", "w-m1", StateUp)}, now)
				for _, s := range p.Next(now, runs) {
					switch s := s.(type) {
					case StoreRecord:
						isComplete, begun = s.Record.Complete, s.Record.Started
					case TakeDown:
						orders = append(orders, s.VM)
						if accept {
							p.MarkAccepted(1, s.VM, now)
						}
					}
				}
			}
			now := testStart
			next(now, StateUp, tt.runs, tt.accepted) // m0 drains, or is ordered down
			down := now
			for p.DrainDeadlines()["w-m1"] == 0 && now < down.Add(time.Minute) {
				now = now.Add(listInterval)
				next(now, StateDown, busy, false)
			}
			if got := now.Sub(down); got < tt.least || got > tt.within {
				t.Errorf("m1 drains after %v, want %v to %v", got, tt.least, tt.within)
			}
			if isComplete {
				t.Error("the wave is complete while m0 is down")
			}
			if len(begun) > 0 {
				t.Errorf("the record has %q as begun", begun)
			}
			for end := now.Add(10 * time.Second); now < end; {
				now = now.Add(listInterval)
				next(now, StateDown, drained, true)
			}
			if isComplete != tt.accepted {
				t.Errorf("the wave is complete: %v, want %v", isComplete, tt.accepted)
			}
			for end := now.Add(10 * time.Second); now < end; {
				now = now.Add(listInterval)
				next(now, StateUp, drained, true)
			}
			if diff := cmp.Diff(tt.want, orders); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			if !isComplete {
				t.Error("the wave is not complete once m0 is up again")
			}
		})
	}
}
