package engine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/core/store/flaky"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

// tooLarge is the CPU request of a task that fits on no worker, so that its job waits until it is cancelled.
const tooLarge = 1_000_000

// storeWrites makes random transactions of several workers' entries, jobs and cancellations.
type storeWrites struct {
	rng *rand.Rand
	// workers are the entries by worker, jobs the states that the owner has to report.
	workers map[string]string
	jobs    map[string]sched.JobState
	boots   int
}

// next returns a transaction whose writes are in random order.
func (w *storeWrites) next(t *testing.T) *store.Txn {
	t.Helper()
	var writes []func(*store.Txn)
	put := func(key string, value []byte) {
		writes = append(writes, func(txn *store.Txn) { txn.Put(key, value) })
	}
	for _, n := range w.rng.Perm(6)[:1+w.rng.IntN(4)] {
		id := "w" + strconv.Itoa(n)
		if _, listed := w.workers[id]; listed && w.rng.IntN(2) == 0 {
			delete(w.workers, id)
			writes = append(writes, func(txn *store.Txn) { txn.Delete("workers/" + id) })
			continue
		}
		w.boots++
		w.workers[id] = strconv.Itoa(w.boots)
		put("workers/"+id, []byte(w.workers[id]))
	}
	for range w.rng.IntN(3) {
		job := graph.Job{ID: fmt.Sprintf("%016x", len(w.jobs)+1), Team: "a", Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: tooLarge, EstimateMS: 100}}}
		raw, err := job.Encode()
		if err != nil {
			t.Fatal(err)
		}
		put(JobPrefix+job.ID, raw)
		w.jobs[job.ID] = sched.JobQueued
	}
	for id, state := range w.jobs {
		if state == sched.JobQueued && w.rng.IntN(6) == 0 {
			put(CancelPrefix+id, []byte("{}"))
			w.jobs[id] = sched.JobCancelled
		}
	}
	w.rng.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
	txn := store.NewTxn()
	for _, write := range writes {
		write(txn)
	}
	return txn
}

// TestOwnerTransactionsUnderFaults guards against an owner that loses a key of a transaction or keeps an older
// state of it, whatever the order of the keys, when its watches are cut, the history is dropped, lists fail and
// another owner takes over.
func TestOwnerTransactionsUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			checkOwner(t, seed)
		})
	}
}

func checkOwner(t *testing.T, seed uint64) {
	const terms, transactions = 3, 20
	var mu sync.Mutex
	applied := make(map[string]string) // the entry of each worker that was read last
	h := newHarnessWith(t, func(cfg *Config) {
		cfg.Store = flaky.New(cfg.Store, seed)
		cfg.ParseWorker = func(id string, value []byte, _ clock.Mono) (sched.WorkerSpec, bool) {
			mu.Lock()
			defer mu.Unlock()
			applied[id] = string(value)
			return sched.WorkerSpec{ID: id, Addr: id, DataCentre: "dc", Service: "svc", Capacity: amount.New(8000, 8000, 0, 0), BootUnixMS: 1}, true
		}
	})
	w := &storeWrites{rng: rand.New(rand.NewPCG(seed, 4)), workers: map[string]string{"w0": "1"}, jobs: make(map[string]sched.JobState), boots: 1}
	entries := func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(applied)
	}
	for term := range terms {
		h.waitUntilSeen(t, w, entries)
		for range transactions {
			if _, err := h.store.Commit(h.ctx, w.next(t)); err != nil {
				t.Fatal(err)
			}
			if w.rng.IntN(2) == 0 {
				h.waitUntilSeen(t, w, entries)
			}
		}
		h.waitUntilSeen(t, w, entries)
		// Another owner takes over and releases the ownership: a transaction of two keys as well.
		record := []byte(fmt.Sprintf(`{"holder":{"vm":"vm2","name":"vm2-a","addr":"vm2"},"epoch":%d,"released":true}`, 100*(term+1)))
		if _, err := h.store.Commit(h.ctx, store.NewTxn().Put(lead.TermKey, record).Put(lead.RecordKey, record)); err != nil {
			t.Fatal(err)
		}
	}
}

// waitUntilSeen waits until the owner has the state that was written. applied returns the entries that
// it read last.
func (h *harness) waitUntilSeen(t *testing.T, w *storeWrites, applied func() map[string]string) {
	t.Helper()
	end := time.Now().Add(20 * time.Second)
	var diff string
	for {
		listed, jobs := make(map[string]string), make(map[string]sched.JobState)
		entries := applied()
		err := h.engine.call(h.ctx, func(term *term) {
			for id, c := range term.workers {
				if c.listed {
					listed[id] = entries[id]
				}
			}
		})
		for id := range w.jobs {
			if status, err := h.engine.Job(h.ctx, id); err == nil && status.Known {
				jobs[id] = status.State
			}
		}
		diff = strings.Join([]string{cmp.Diff(w.workers, listed), cmp.Diff(w.jobs, jobs)}, "")
		switch {
		case err == nil && diff == "":
			return
		case time.Now().After(end):
			t.Fatalf("owner %v, workers and jobs (-want +got):\n%s", err, diff)
		}
		time.Sleep(time.Millisecond)
	}
}
