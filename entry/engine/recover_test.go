package engine

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

// slowStore is a store whose journal takes long to read and whose watch of the workers reports
// nothing.
type slowStore struct {
	store.Store
	// workersRead receives a value after each list of the workers.
	workersRead chan struct{}
}

func (s slowStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	kvs, rev, err := s.Store.List(ctx, prefix)
	switch prefix {
	case "workers/":
		s.workersRead <- struct{}{}
	case events.Prefix:
		<-time.After(maxWorkerListAge + 100*time.Millisecond)
	}
	return kvs, rev, err
}

func (s slowStore) Watch(ctx context.Context, prefix string, from int64, fn func(store.Change)) (int64, error) {
	if prefix == "workers/" {
		<-ctx.Done()
		return from, ctx.Err()
	}
	return s.Store.Watch(ctx, prefix, from, fn)
}

// TestOutdatedWorkerList guards against a new owner that starts tasks on a worker which
// reported its shutdown while the owner loaded its state.
func TestOutdatedWorkerList(t *testing.T) {
	t.Parallel()
	slow := slowStore{workersRead: make(chan struct{}, 8)}
	h := newHarnessWith(t, func(cfg *Config) {
		slow.Store = cfg.Store
		cfg.Store = slow
		cfg.ParseWorker = func(id string, value []byte, _ clock.Mono) (sched.WorkerSpec, bool) {
			return sched.WorkerSpec{
				ID: id, Addr: id, DataCentre: "dc", Service: "svc", Capacity: amount.New(8000, 8000, 0, 0), BootUnixMS: 1,
				Draining: string(value) == "draining",
			}, true
		}
	})
	<-slow.workersRead
	txn := store.NewTxn().Put("workers/w0", []byte("draining")).Put("workers/w1", []byte("ready"))
	if _, err := h.store.Commit(h.ctx, txn); err != nil {
		t.Fatal(err)
	}
	h.submit(t)
	order := <-h.worker.started
	if diff := cmp.Diff("w1", order.Instance); diff != "" {
		t.Errorf("worker of the first start (-want +got):\n%s", diff)
	}
}

// laggingStore is a store whose watches of the workers begin when release is closed.
type laggingStore struct {
	store.Store
	release chan struct{}
}

func (s laggingStore) Watch(ctx context.Context, prefix string, from int64, fn func(store.Change)) (int64, error) {
	if prefix == "workers/" {
		<-s.release
	}
	return s.Store.Watch(ctx, prefix, from, fn)
}

// TestWorkersAfterLostHistory guards against an owner that no longer hears of its workers, because its
// watch goes on from a revision whose changes the store has dropped and it does not list them again.
func TestWorkersAfterLostHistory(t *testing.T) {
	t.Parallel()
	lagging := laggingStore{release: make(chan struct{})}
	h := newHarnessWith(t, func(cfg *Config) {
		lagging.Store = cfg.Store
		cfg.Store = lagging
	})
	awaitPoll(t, h.worker, "w0")
	if _, err := h.store.Commit(h.ctx, store.NewTxn().Put("workers/w1", []byte("1"))); err != nil {
		t.Fatal(err)
	}
	// More changes than the store keeps.
	others := store.NewTxn()
	for i := range 30_000 {
		others.Put("other/"+strconv.Itoa(i), nil)
	}
	if _, err := h.store.Memory.Commit(h.ctx, others); err != nil {
		t.Fatal(err)
	}
	close(lagging.release)
	awaitPoll(t, h.worker, "w1")
}

// awaitPoll waits until a worker is polled.
func awaitPoll(t *testing.T, w *fakeWorker, id string) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case o := <-w.polled:
			if o.Instance == id {
				return
			}
		case <-timeout:
			t.Fatalf("worker %s was not polled", id)
		}
	}
}

// endingStore is a store whose first watch of the workers ends at once and is to go on from next.
type endingStore struct {
	store.Store
	next int64
	from chan int64
}

func (s endingStore) Watch(ctx context.Context, prefix string, from int64, fn func(store.Change)) (int64, error) {
	if prefix != "workers/" {
		return s.Store.Watch(ctx, prefix, from, fn)
	}
	select {
	case s.from <- from:
	case <-ctx.Done():
		return from, ctx.Err()
	}
	return s.next, rcode.New(rcode.StoreUnavailable, "the watch was cut")
}

// TestWorkerWatchResumes guards against an owner that misses changes of its workers, or receives old ones again,
// because its watch goes on from another revision than the store said.
func TestWorkerWatchResumes(t *testing.T) {
	t.Parallel()
	ending := endingStore{next: 1000, from: make(chan int64)}
	newHarnessWith(t, func(cfg *Config) {
		ending.Store = cfg.Store
		cfg.Store = ending
	})
	<-ending.from
	if diff := cmp.Diff(ending.next, <-ending.from); diff != "" {
		t.Errorf("revision from which the watch went on (-want +got):\n%s", diff)
	}
}

// TestFormerLeaseTTL guards against a new owner that starts tasks again while a lease lasts that a former owner
// extended, and against one that waits for owners that have ended: a worker that fell silent just before its
// owner's end kept its tasks for 16 s.
func TestFormerLeaseTTL(t *testing.T) {
	t.Parallel()
	h := newHarnessWith(t, func(cfg *Config) { cfg.LeaseCap = 10 * time.Second })
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	ended, ok := h.elector.Term()
	if !ok || !ended.FormersEnded() {
		t.Fatalf("owner %v, former owners ended %v", ok, ended.FormersEnded())
	}
	tests := map[string]struct {
		term lead.Term
		want time.Duration
	}{
		// Orders under way arrive within 2 s; the longest lease is 10 s, and 3% for clocks.
		"former owners ended": {term: ended, want: 12_300 * time.Millisecond},
		// A former owner may extend leases of 7 s, and 3%, for 8 s.
		"a former owner may be cut off": {want: 8*time.Second + 7_210*time.Millisecond + messageDelaySlack},
	}
	for name, tt := range tests {
		if diff := cmp.Diff(tt.want, h.engine.formerLeaseTTL(tt.term)); diff != "" {
			t.Errorf("%s: leases last after the takeover (-want +got):\n%s", name, diff)
		}
	}
}
