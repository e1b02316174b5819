package engine

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/upkeep"
)

// fakeFleet has one VM, m0 unless vm is set, whose worker is w0. It fails the first order and accepts the
// following ones, and reads the wave's record at each order.
type fakeFleet struct {
	st store.Store
	// startsSent returns the number of starts that the worker received.
	startsSent func() int
	mu         sync.Mutex
	vm         string
	// lists is the number of reads of the list; the first failedLists of them fail.
	lists, failedLists int
	// startsAtOrder is the number of starts that the worker received before the first
	// order.
	startsAtOrder  int
	orders         []MaintainOrder
	recordsAtOrder []upkeep.Record
}

func (f *fakeFleet) VMs(context.Context) ([]upkeep.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.lists <= f.failedLists {
		return nil, context.DeadlineExceeded
	}
	return []upkeep.VM{upkeep.NewVM(f.vmName(), "w0", upkeep.StateUp)}, nil
}

func (f *fakeFleet) vmName() string {
	if f.vm == "" {
		return "m0"
	}
	return f.vm
}

// replaceVM replaces the VM, so that the next list has another one.
func (f *fakeFleet) replaceVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vm = name
}

// ordered reports whether a VM was ordered down.
func (f *fakeFleet) ordered(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.orders, func(o MaintainOrder) bool { return o.VM == vm })
}

func (f *fakeFleet) Maintain(ctx context.Context, o MaintainOrder) (MaintainOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.orders) == 0 && f.startsSent != nil {
		f.startsAtOrder = f.startsSent()
	}
	f.orders = append(f.orders, o)
	if kv, err := f.st.Get(ctx, WavePrefix+"5"); err == nil {
		if r, err := upkeep.DecodeRecord(kv.Value()); err == nil {
			r.DeadlineUnixMS = 0
			f.recordsAtOrder = append(f.recordsAtOrder, r)
		}
	}
	if len(f.orders) == 1 {
		return MaintainRetry, context.DeadlineExceeded
	}
	return MaintainAccepted, nil
}

// waitForLists waits until the list has been read n times.
func (f *fakeFleet) waitForLists(t *testing.T, n int) {
	t.Helper()
	lists := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.lists
	}
	for end := time.Now().Add(20 * time.Second); lists() < n; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the list was read %d times, want %d", lists(), n)
		}
	}
}

func (f *fakeFleet) WaveStatus(wave int64, complete bool) (string, []byte) {
	raw, _ := json.Marshal(complete)
	return "status/" + string(rune('0'+wave)), raw
}

// waitUntilComplete waits until the status of a wave says that it is complete.
func (f *fakeFleet) waitUntilComplete(t *testing.T, h *harness, wave int64) {
	t.Helper()
	key, want := f.WaveStatus(wave, true)
	var got []byte
	for end := time.Now().Add(30 * time.Second); !cmp.Equal(want, got); time.Sleep(5 * time.Millisecond) {
		if kv, err := h.store.Get(h.ctx, key); err == nil {
			got = kv.Value()
		}
		if time.Now().After(end) {
			t.Fatalf("wave %d is not complete; status %q", wave, got)
		}
	}
}

// TestWaveOfNewVM guards against a wave that is said to be complete at once, although its VM has not gone
// down, because the list of VMs was read for the wave before and the VM joined later.
func TestWaveOfNewVM(t *testing.T) {
	t.Parallel()
	fleet := &fakeFleet{}
	h := newHarnessWith(t, func(cfg *Config) { fleet.st, cfg.Fleet = cfg.Store, fleet })
	waves := map[int64]upkeep.Wave{5: upkeep.NewWave(5, []string{"m0"}, clock.New().Now(), 1)}
	h.engine.SetWaves(waves)
	fleet.waitUntilComplete(t, h, 5)
	fleet.replaceVM("m1")
	waves = map[int64]upkeep.Wave{5: waves[5], 6: upkeep.NewWave(6, []string{"m1"}, clock.New().Now(), 1)}
	h.engine.SetWaves(waves)
	fleet.waitUntilComplete(t, h, 6)
	if !fleet.ordered("m1") {
		t.Error("the wave is said to be complete, and its VM was not ordered down")
	}
}

// TestMaintenanceWave guards against a VM that is ordered down before its record is
// stored, an order that is not repeated after a failure, and a wave that is never
// reported as complete.
func TestMaintenanceWave(t *testing.T) {
	t.Parallel()
	fleet := &fakeFleet{}
	h := newHarnessWith(t, func(cfg *Config) {
		fleet.st = cfg.Store
		cfg.Fleet = fleet
	})
	h.engine.SetWaves(map[int64]upkeep.Wave{5: upkeep.NewWave(5, []string{"m0"}, clock.New().Now(), 1)})
	fleet.waitUntilComplete(t, h, 5)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	started := upkeep.Record{Number: 5, Started: []string{"m0"}, Workers: map[string]string{"m0": "w0"}}
	if diff := cmp.Diff([]upkeep.Record{started, started}, fleet.recordsAtOrder); diff != "" {
		t.Errorf("records at the orders (-want +got):\n%s", diff)
	}
	term, _ := h.elector.Term()
	want := MaintainOrder{VM: "m0", Wave: 5, Holder: "vm1-a", Token: term.Token()}
	if diff := cmp.Diff([]MaintainOrder{want, want}, fleet.orders); diff != "" {
		t.Errorf("orders (-want +got):\n%s", diff)
	}
}

// lateWaveStore leaves the first write of a wave's record unanswered. It executes it when it is told to,
// or before the next one if early is set.
type lateWaveStore struct {
	store.Store
	early  bool
	mu     sync.Mutex
	writes int
	late   *store.Txn
}

func (s *lateWaveStore) Commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	if !slices.ContainsFunc(t.Ops(), func(o store.Op) bool { return o.Key() == WavePrefix+"5" }) {
		return s.Store.Commit(ctx, t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.writes == 1:
		s.late = t
		return store.Result{}, rcode.New(rcode.OutcomeUnknown, "no answer")
	case s.writes == 2 && s.early:
		if _, err := s.Store.Commit(ctx, s.late); err != nil {
			return store.Result{}, err
		}
	}
	return s.Store.Commit(ctx, t)
}

func (s *lateWaveStore) executeLate(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.Store.Commit(t.Context(), s.late); err != nil {
		t.Fatal(err)
	}
}

// TestLateWaveRecord guards against a wave that is complete and is said to be in progress again, because a
// write of its record that got no answer is executed after a later one, and against a wave that is never
// complete because that write is executed before the next one.
func TestLateWaveRecord(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		early bool // whether the write is executed before the next one
	}{
		"after the wave was completed": {},
		"before the next write":        {early: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet, st := &fakeFleet{}, &lateWaveStore{early: tt.early}
			h := newHarnessWith(t, func(cfg *Config) {
				fleet.st, cfg.Fleet = cfg.Store, fleet
				st.Store, cfg.Store = cfg.Store, st
			})
			h.engine.SetWaves(map[int64]upkeep.Wave{5: upkeep.NewWave(5, []string{"m0"}, clock.New().Now(), 1)})
			fleet.waitUntilComplete(t, h, 5)
			st.executeLate(t)
			kv, err := h.store.Get(h.ctx, "status/5")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("true", string(kv.Value())); diff != "" {
				t.Errorf("whether the wave is complete (-want +got):\n%s", diff)
			}
		})
	}
}

// TestManyWaves guards against waves of which no record is ever stored, because operators requested so many
// at once that their records are more than a transaction may have.
func TestManyWaves(t *testing.T) {
	t.Parallel()
	const waves = 32
	h := newHarnessWith(t, func(cfg *Config) { cfg.Fleet = &fakeFleet{st: cfg.Store} })
	requested, want := make(map[int64]upkeep.Wave), make(map[string]string)
	for n := range int64(waves) {
		requested[n] = upkeep.NewWave(n, []string{"removed"}, clock.New().Now(), 1)
		key, complete := (&fakeFleet{}).WaveStatus(n, true)
		want[key] = string(complete)
	}
	h.engine.SetWaves(requested)
	var got map[string]string
	for end := time.Now().Add(10 * time.Second); !cmp.Equal(want, got) && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		kvs, _, err := h.store.List(h.ctx, "status/")
		if err != nil {
			t.Fatal(err)
		}
		got = make(map[string]string)
		for _, kv := range kvs {
			got[kv.Key()] = string(kv.Value())
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("stored states of the waves (-want +got):\n%s", diff)
	}
}

// TestMaintenanceTakeover guards against a start on a worker whose VM the former owner may
// have ordered down, while the new owner waits with its own order.
func TestMaintenanceTakeover(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		record      string
		failedLists int
		// submitAtList is the read of the list at which the job is submitted. The result of
		// the one before is known by then.
		submitAtList int
	}{
		"the list of VMs is read later": {record: `{"wave":5,"due":0,"begun":["m0"],"workers":{"m0":"w0"}}`, failedLists: 3},
		"the worker has a new id":       {record: `{"wave":5,"due":0,"begun":["m0"],"workers":{"m0":"w-former"}}`, submitAtList: 2},
		"the record has no workers":     {record: `{"wave":5,"due":0,"begun":["m0"]}`, submitAtList: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := &fakeFleet{failedLists: tt.failedLists}
			h := newHarnessWith(t, func(cfg *Config) {
				fleet.st, cfg.Fleet = cfg.Store, fleet
				if _, err := cfg.Store.Commit(context.Background(), store.NewTxn().Put(WavePrefix+"5", []byte(tt.record))); err != nil {
					t.Fatal(err)
				}
			})
			fleet.mu.Lock()
			fleet.startsSent = func() int { return len(h.worker.started) }
			fleet.mu.Unlock()
			h.engine.SetWaves(map[int64]upkeep.Wave{5: upkeep.NewWave(5, []string{"m0"}, clock.New().Now(), 1)})
			fleet.waitForLists(t, tt.submitAtList)
			h.submit(t)
			h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			if len(fleet.orders) == 0 || fleet.startsAtOrder != 0 {
				t.Errorf("%d orders when the job was done, %d starts before the first order; want at least 1 and 0", len(fleet.orders), fleet.startsAtOrder)
			}
		})
	}
}

// orderedFleet records the VMs that are ordered down.
type orderedFleet struct {
	Fleet
	vms chan string
}

func (f orderedFleet) Maintain(_ context.Context, o MaintainOrder) (MaintainOutcome, error) {
	f.vms <- o.VM
	return MaintainRetry, nil
}

// TestOrderSparesService guards against a maintenance order that ends the only task of a service that is at
// work: one that is repeated, or a new owner's once its deadline has passed, is due whatever runs on the VM.
func TestOrderSparesService(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		maxUnavailable int
		want           []string
	}{
		"no task may be unavailable besides": {maxUnavailable: 1},
		"both may be unavailable":            {maxUnavailable: 2, want: []string{"m0"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRestartTerm(t)
			fleet := orderedFleet{vms: make(chan string, 1)}
			r.engine.cfg.Fleet = fleet
			step := graph.Step{Count: 2, CPUMilli: 10, Service: true, MaxPerWorker: 1, MaxUnavailable: tt.maxUnavailable}
			r.term.state.AddJob(&graph.Job{ID: busyJob, Queue: "q", Steps: []graph.Step{step}})
			r.reply(PollReply{ClockMS: 1000, BootUnixMS: 1})
			r.term.state.Decide(r.clk.Now())
			task := graph.TaskID{Job: busyJob}
			r.term.state.StartAnswered(task, 1, "w0", sched.OutcomeStarted)
			r.reply(PollReply{ClockMS: 2000, BootUnixMS: 1, Running: []sched.RunStatus{{Task: task, Attempt: 1, Percent: 100}}})
			r.engine.sendMaintainOrders(r.term, []upkeep.TakeDown{{Wave: 1, VM: "m0", Worker: "w0"}})
			var got []string
			if r.logs.FilterMessage("maintenance order waits for tasks of a service").Len() == 0 {
				got = append(got, <-fleet.vms)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("VMs that were ordered down (-want +got):\n%s", diff)
			}
		})
	}
}

// countingFleet counts the reads of its list, which has no VM.
type countingFleet struct {
	Fleet
	reads chan struct{}
}

func (f countingFleet) VMs(context.Context) ([]upkeep.VM, error) {
	f.reads <- struct{}{}
	return nil, nil
}

// TestListReadForNewWave guards against a new wave that waits for the next regular read of the list of VMs, and
// against reads that follow each other without need.
func TestListReadForNewWave(t *testing.T) {
	t.Parallel()
	r := newRestartTerm(t)
	fleet := countingFleet{reads: make(chan struct{}, 8)}
	r.engine.cfg.Fleet = fleet
	r.engine.initMaintenance(r.term, nil)
	addWave := func(number int64) {
		r.term.maintenance.plan.AddWave(upkeep.NewWave(number, []string{"m0"}, r.clk.Now(), 1), 0, r.clk.Now())
		r.clk.Advance(time.Millisecond)
	}
	refresh := func() int {
		r.engine.refreshVMs(r.term)
		if r.term.maintenance.listing {
			r.handlePost()
		}
		return len(fleet.reads)
	}
	addWave(1)
	got := []int{refresh(), refresh()}
	addWave(2)
	got = append(got, refresh(), refresh())
	r.clk.Advance(vmListInterval)
	got = append(got, refresh())
	if diff := cmp.Diff([]int{1, 1, 2, 2, 3}, got); diff != "" {
		t.Errorf("reads of the list after each step (-want +got):\n%s", diff)
	}
}

// TestRecordRevisionsAtStart guards against a new owner whose first write of each wave's record does not take
// effect, because it does not know the revision that the former owner wrote.
func TestRecordRevisionsAtStart(t *testing.T) {
	t.Parallel()
	const revision = 7
	r := newRestartTerm(t)
	key := WavePrefix + "5"
	r.engine.initMaintenance(r.term, []store.KV{store.NewKV(key, []byte(`{"wave":5}`), revision)})
	if diff := cmp.Diff(map[string]int64{key: revision}, r.term.maintenance.recordRevisions); diff != "" {
		t.Errorf("revisions (-want +got):\n%s", diff)
	}
}
