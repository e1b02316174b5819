package lead

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// faultyStore is a store that can be down or lose the replies to writes.
type faultyStore struct {
	*store.Memory
	mu                sync.Mutex
	down, loseReplies bool
}

func (s *faultyStore) state() (down, loseReplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down, s.loseReplies
}

func (s *faultyStore) set(down, loseReplies bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.loseReplies = down, loseReplies
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.KV, error) {
	if down, _ := s.state(); down {
		return store.KV{}, rcode.New(rcode.StoreUnavailable, "down")
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	down, loseReplies := s.state()
	if down {
		return store.Result{}, rcode.New(rcode.StoreUnavailable, "down")
	}
	res, err := s.Memory.Commit(ctx, t)
	if loseReplies {
		return store.Result{}, rcode.New(rcode.OutcomeUnknown, "the reply was lost")
	}
	return res, err
}

// fakeProber is a prober whose result the test sets.
type fakeProber struct{ result ProbeResult }

func (p *fakeProber) Probe(context.Context, Holder, Holder) ProbeResult { return p.result }

// electorPair is two electors on one store and one fake clock.
type electorPair struct {
	clk      *clock.Fake
	mem      *store.Memory
	stores   [2]*faultyStore
	probers  [2]*fakeProber
	electors [2]*Elector
	holders  [2]Holder
}

func newElectorPair() *electorPair {
	p := &electorPair{clk: clock.NewFake(time.Unix(1000, 0)), mem: store.NewMemory()}
	p.holders = [2]Holder{{VM: "vm0", Name: "vm0-a", Addr: "a0"}, {VM: "vm1", Name: "vm1-a", Addr: "a1"}}
	for i := range p.electors {
		p.stores[i] = &faultyStore{Memory: p.mem}
		p.probers[i] = &fakeProber{result: ProbeInconclusive}
		p.electors[i] = New(Config{Store: p.stores[i], Self: p.holders[i], Prober: p.probers[i]}, p.clk, zap.NewNop())
	}
	return p
}

// run advances the clock by d in ticks of 100 ms. At each tick the given electors
// execute a step; the others do nothing.
func (p *electorPair) run(d time.Duration, running ...int) {
	const tick = 100 * time.Millisecond
	for range int(d / tick) {
		p.clk.Advance(tick)
		for _, i := range running {
			p.electors[i].step(context.Background())
		}
	}
}

// owners returns the indices of the electors that have authority.
func (p *electorPair) owners() []int {
	var out []int
	for i, e := range p.electors {
		if _, ok := e.Authority(); ok {
			out = append(out, i)
		}
	}
	return out
}

// TestTakeover guards against two VMs with authority at the same time, a change of
// owner caused by nothing but an outage of the store, and a takeover that is slower
// than the result of the probe allows.
func TestTakeover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		do func(p *electorPair)
		// firstOwnerDead is set if the first owner's process has ended. What is left of
		// its authority then does not count.
		firstOwnerDead bool
		want           []int
	}{
		"the first VM takes over":               {do: func(*electorPair) {}, want: []int{0}},
		"a live owner stays":                    {do: func(p *electorPair) { p.run(10*time.Second, 0, 1) }, want: []int{0}},
		"a dead owner is replaced":              {do: func(p *electorPair) { p.run(TakeoverAfter+time.Second, 1) }, want: []int{1}},
		"no takeover before the authority ends": {do: func(p *electorPair) { p.run(AuthorityDuration-200*time.Millisecond, 1) }, want: []int{0}},
		"a store outage changes no owner":       {do: longOutage, want: []int{0}},
		"lost replies change no owner":          {do: lostReplies, want: []int{0}},
		"store outage, owner unreachable": {do: func(p *electorPair) {
			storeOutage(p, 5*time.Second, 1)
			p.run(outageTakeoverAfter+500*time.Millisecond, 1)
		}, want: []int{1}},
		"store outage, owner answers": {do: func(p *electorPair) {
			p.probers[1].result = ProbeAlive
			storeOutage(p, 5*time.Second, 1)
			p.run(TakeoverAfter-200*time.Millisecond, 1)
		}},
		"store outage shorter than the authority": {do: func(p *electorPair) { storeOutage(p, 500*time.Millisecond, 1); p.run(500*time.Millisecond, 1) }, want: []int{0}},
		"released, taken over immediately":        {do: func(p *electorPair) { p.releaseFirst(); p.run(200*time.Millisecond, 1) }, want: []int{1}},
		"another incarnation answers":             {firstOwnerDead: true, do: func(p *electorPair) { p.probers[1].result = ProbeReplaced; p.run(time.Second, 1) }, want: []int{1}},
		"connection refused": {firstOwnerDead: true, do: func(p *electorPair) {
			p.probers[1].result = ProbeRefused
			p.run(refusedTakeoverAfter+300*time.Millisecond, 1)
		}, want: []int{1}},
		"earlier process on the same VM": {firstOwnerDead: true, do: func(p *electorPair) {
			p.electors[1] = New(Config{Store: p.stores[1], Self: Holder{VM: "vm0", Name: "vm0-b", Addr: "a0"}}, p.clk, zap.NewNop())
			p.run(200*time.Millisecond, 1)
		}, want: []int{1}},
		"earlier process on the same VM, which is slow": {firstOwnerDead: true, do: func(p *electorPair) {
			slow := Config{Store: p.stores[1], Self: Holder{VM: "vm0", Name: "vm0-b", Addr: "a0"}, TakeoverDelay: func() time.Duration { return time.Second }}
			p.electors[1] = New(slow, p.clk, zap.NewNop())
			p.run(900*time.Millisecond, 1)
		}, want: []int{}},
		"another incarnation answers, this VM is slow": {firstOwnerDead: true, do: func(p *electorPair) {
			p.probers[1].result = ProbeReplaced
			p.electors[1].cfg.TakeoverDelay = func() time.Duration { return 2 * time.Second }
			p.run(1500*time.Millisecond, 1)
		}},
		"owner without the store requests transfer": {do: func(p *electorPair) {
			p.stores[0].set(true, false)
			p.run(AuthorityDuration, 0)
			p.electors[1].TransferRequested(p.holders[0])
			p.run(100*time.Millisecond, 0, 1)
		}, want: []int{1}},
		"resigned, another VM takes over": {do: func(p *electorPair) {
			p.electors[0].Resign()
			p.electors[0].writeRelease(context.Background())
			p.run(time.Second, 0, 1)
		}, want: []int{1}},
		"resigned, no other VM": {do: func(p *electorPair) {
			p.electors[0].Resign()
			p.electors[0].writeRelease(context.Background())
			p.run(resignBackoff+time.Second, 0)
		}, want: []int{0}},
		"transfer requested by a VM that is not the owner": {do: func(p *electorPair) {
			p.electors[1].TransferRequested(Holder{VM: "vm9", Name: "vm9-a", Addr: "a9"})
			p.run(500*time.Millisecond, 0, 1)
		}, want: []int{0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newElectorPair()
			p.run(300*time.Millisecond, 0)
			p.run(300*time.Millisecond, 0, 1)
			tt.do(p)
			got := p.owners()
			if tt.firstOwnerDead {
				got = slices.DeleteFunc(got, func(i int) bool { return i == 0 })
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("owners (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStandby guards against a standby that sees a lost owner's last renewal late, and so
// counts the time to the takeover from too late: with reads each 0.9 s while the owner is
// reachable it began up to a second after a lost owner.
func TestStandby(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		standby bool
		limit   time.Duration // from the owner's last renewal to the takeover
	}{
		"standby":    {standby: true, limit: TakeoverAfter + 500*time.Millisecond},
		"another VM": {limit: TakeoverAfter + reachableReadInterval + readInterval + 100*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newElectorPair()
			reachable := true
			p.electors[1].cfg.Standby = func() bool { return tt.standby }
			p.electors[1].cfg.OwnerReachable = func() bool { return reachable }
			const tick = 10 * time.Millisecond
			// Each elector takes its next step when the pause of the last one is over.
			due := [2]time.Duration{}
			var lost, tookOver time.Duration
			for now := time.Duration(0); now < 15*time.Second && tookOver == 0; now += tick {
				p.clk.Advance(tick)
				if due[0] <= now && now < 5*time.Second {
					due[0] = now + p.electors[0].step(context.Background())
					lost = now
				}
				reachable = now < 5*time.Second+300*time.Millisecond
				if due[1] <= now && now > time.Second {
					due[1] = now + p.electors[1].step(context.Background())
				}
				if _, ok := p.electors[1].Authority(); ok {
					tookOver = now
				}
			}
			if took := tookOver - lost; tookOver == 0 || took > tt.limit || took < TakeoverAfter {
				t.Errorf("takeover %v after the last renewal, want %v to %v", took, TakeoverAfter, tt.limit)
			}
		})
	}
}

// releaseFirst has the first elector release its ownership. Run is not running, so
// Release gets an ended context and writeRelease is called directly.
func (p *electorPair) releaseFirst() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.electors[0].Release(ctx)
	p.electors[0].writeRelease(context.Background())
}

// storeOutage makes the store unreachable for d, while the given electors run.
func storeOutage(p *electorPair, d time.Duration, running ...int) {
	p.stores[0].set(true, false)
	p.stores[1].set(true, false)
	p.run(d, running...)
	p.stores[0].set(false, false)
	p.stores[1].set(false, false)
}

func longOutage(p *electorPair) {
	p.stores[0].set(true, false)
	p.stores[1].set(true, false)
	p.run(10*time.Second, 0, 1)
	p.stores[0].set(false, false)
	p.stores[1].set(false, false)
	p.run(time.Second, 1, 0)
}

func lostReplies(p *electorPair) {
	p.stores[0].set(false, true)
	p.run(5*time.Second, 0, 1)
}

// TestTermGuardsWrites guards against a former owner whose conditional writes still
// succeed after another VM has taken over: each term's token must be the revision of
// TermKey.
func TestTermGuardsWrites(t *testing.T) {
	t.Parallel()
	p := newElectorPair()
	p.run(300*time.Millisecond, 0)
	former, _ := p.electors[0].Term()
	p.run(TakeoverAfter+time.Second, 1)
	current, ok := p.electors[1].Term()
	if !ok || current.Epoch() <= former.Epoch() || current.Token() <= former.Token() {
		t.Fatalf("terms %+v and %+v, owner %v", former, current, ok)
	}
	for name, tt := range map[string]struct {
		token int64
		done  bool
	}{"former": {token: former.Token()}, "current": {token: current.Token(), done: true}} {
		res, err := p.mem.Commit(context.Background(), store.NewTxn().If(TermKey, tt.token).Put("x/"+name, nil))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(tt.done, res.Succeeded()); diff != "" {
			t.Errorf("write of the %s owner (-want +got):\n%s", name, diff)
		}
	}
	p.electors[0].Superseded(former.Epoch())
	if _, ok := p.electors[0].Term(); ok {
		t.Error("a superseded owner still has a term")
	}
}

// TestLeaseNotesSince guards against an owner that counts lease notes from before a term of an
// earlier build, which does not keep to them, and against one that loses those of owners that
// do.
func TestLeaseNotesSince(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		record string // of the former owner; empty is none
		want   int64
	}{
		"first owner":                 {want: 1},
		"after an earlier build":      {record: `{"holder":{"vm":"vm9"},"epoch":6,"released":true}`, want: 7},
		"after owners that keep them": {record: `{"holder":{"vm":"vm9"},"epoch":6,"released":true,"lease_notes_since":4}`, want: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newElectorPair()
			if tt.record != "" {
				if _, err := p.mem.Commit(context.Background(), store.NewTxn().Put(RecordKey, []byte(tt.record))); err != nil {
					t.Fatal(err)
				}
			}
			p.run(time.Second, 0)
			first, _ := p.electors[0].Term()
			p.run(TakeoverAfter+time.Second, 1)
			second, _ := p.electors[1].Term()
			if diff := cmp.Diff([]int64{tt.want, tt.want, first.Epoch() + 1}, []int64{first.LeaseNotesSince(), second.LeaseNotesSince(), second.Epoch()}); diff != "" {
				t.Errorf("first epoch of both terms, epoch of the second (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFormersEnded guards against an owner that takes former owners as ended while one of them, cut off from
// the store, still extends leases: it would start tasks again that still run. It also guards against one that
// waits for the leases of owners that certainly ended.
func TestFormersEnded(t *testing.T) {
	t.Parallel()
	const second = 1
	timeout := func(p *electorPair) { p.run(TakeoverAfter+time.Second, second) }
	probe := func(result ProbeResult) func(p *electorPair) {
		return func(p *electorPair) { p.probers[second].result = result; timeout(p) }
	}
	earlierProcess := func(addr string) func(p *electorPair) {
		return func(p *electorPair) {
			p.electors[second] = New(Config{Store: p.stores[second], Self: Holder{VM: "vm0", Name: "vm0-b", Addr: addr}}, p.clk, zap.NewNop())
			p.run(time.Second, second)
		}
	}
	putRecord := func(record string) func(p *electorPair) {
		return func(p *electorPair) {
			_, _ = p.mem.Commit(context.Background(), store.NewTxn().Put(RecordKey, []byte(record))) // never fails
			p.run(time.Second, second)
		}
	}
	// back has the first VM take over from the second one, which another process has replaced.
	back := func(p *electorPair) { p.probers[0].result = ProbeReplaced; p.run(time.Second, 0) }
	tests := map[string]struct {
		do   []func(p *electorPair)
		want bool
	}{
		"released":                                   {do: []func(p *electorPair){(*electorPair).releaseFirst, timeout}, want: true},
		"replaced by another process":                {do: []func(p *electorPair){probe(ProbeReplaced)}, want: true},
		"earlier process on the same VM":             {do: []func(p *electorPair){earlierProcess("a0")}, want: true},
		"earlier process, another address":           {do: []func(p *electorPair){earlierProcess("a9")}},
		"silent":                                     {do: []func(p *electorPair){timeout}},
		"connection refused":                         {do: []func(p *electorPair){probe(ProbeRefused)}},
		"record of an earlier build, released":       {do: []func(p *electorPair){putRecord(`{"holder":{"vm":"vm9"},"epoch":6,"released":true}`)}},
		"unreadable record":                          {do: []func(p *electorPair){putRecord("{")}},
		"silent, then replaced soon":                 {do: []func(p *electorPair){timeout, back}},
		"silent, then a long term, then replaced":    {do: []func(p *electorPair){timeout, func(p *electorPair) { p.run(formersEndTime, second) }, back}, want: true},
		"silent, then a shorter term, then replaced": {do: []func(p *electorPair){timeout, func(p *electorPair) { p.run(formersEndTime-3*time.Second, second) }, back}},
		"without the store, asks to take over": {do: []func(p *electorPair){func(p *electorPair) {
			p.stores[0].set(true, false)
			p.electors[second].TransferRequested(p.holders[0])
			p.run(time.Second, second)
		}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newElectorPair()
			p.run(300*time.Millisecond, 0)
			first, ok := p.electors[0].Term()
			if !ok || !first.FormersEnded() {
				t.Errorf("first owner %v, formers ended %v", ok, first.FormersEnded())
			}
			p.run(300*time.Millisecond, 0, second)
			for _, do := range tt.do {
				do(p)
			}
			var last Term
			for _, e := range p.electors {
				if term, ok := e.Term(); ok && term.Epoch() > last.Epoch() {
					last = term
				}
			}
			if last.Epoch() <= first.Epoch() {
				t.Fatal("no takeover")
			}
			if diff := cmp.Diff(tt.want, last.FormersEnded()); diff != "" {
				t.Errorf("former owners ended, term %+v (-want +got):\n%s", last, diff)
			}
		})
	}
}

// TestFormersEndedAfterLostReply guards against a takeover whose reply was lost that makes this VM wait for
// leases of its own: it began no term.
func TestFormersEndedAfterLostReply(t *testing.T) {
	t.Parallel()
	p := newElectorPair()
	p.stores[0].set(false, true)
	p.run(300*time.Millisecond, 0)
	p.stores[0].set(false, false)
	p.run(300*time.Millisecond, 0)
	term, ok := p.electors[0].Term()
	if diff := cmp.Diff([]bool{true, true}, []bool{ok, term.FormersEnded()}); diff != "" || term.Epoch() < 2 {
		t.Errorf("owner, former owners ended (-want +got), epoch %d:\n%s", term.Epoch(), diff)
	}
}
