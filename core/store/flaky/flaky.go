// Package flaky wraps a store for tests: its lists fail, its watches are cut and its history is
// dropped at random. The faults are those that store.Store allows: a watch never ends within a
// transaction, and says from which revision to go on.
//
// # Usage
//
//	st := flaky.New(store.NewMemory(), seed)
//	kvs, rev, err := st.List(ctx, "workers/")
//	next, err := st.Watch(ctx, "workers/", rev+1, apply)
package flaky

import (
	"context"
	"math/rand/v2"
	"sync"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

const (
	// maxWatched is the largest number of transactions that a watch passes on before it is cut.
	maxWatched = 4
	// failedLists and droppedHistory are the shares of the lists that fail and of the cut
	// watches after which the history is gone.
	failedLists    = 0.25
	droppedHistory = 0.3
)

// Store is a store.Store with faults. It is safe for concurrent use.
type Store struct {
	store.Store
	mu  sync.Mutex
	rng *rand.Rand
	// droppedRev is the revision up to which the history is dropped.
	droppedRev int64
}

// New returns st with faults that follow from the seed and the order of the calls.
func New(st store.Store, seed uint64) *Store {
	return &Store{Store: st, rng: rand.New(rand.NewPCG(seed, 1))}
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if s.happens(failedLists) {
		return nil, 0, rcode.New(rcode.StoreUnavailable, "flaky.List %s", prefix)
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, fn func(store.Change)) (next int64, err error) {
	if s.isDropped(from) {
		return from, rcode.New(rcode.NotFound, "flaky.Watch %s from %d: history dropped", prefix, from)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	left, isCut := s.intN(maxWatched+1), false
	passedRev := int64(0)
	next, err = s.Store.Watch(ctx, prefix, from, func(c store.Change) {
		rev := c.KV().ModRevision()
		if rev != passedRev && left == 0 && !isCut {
			isCut = true
			s.cut(rev)
			cancel()
		}
		if isCut {
			return
		}
		if rev != passedRev {
			left, passedRev = left-1, rev
		}
		fn(c)
	})
	if isCut {
		return max(from, passedRev+1), rcode.New(rcode.StoreUnavailable, "flaky.Watch %s: cut", prefix)
	}
	return next, err
}

// cut drops the history up to a revision, or not.
func (s *Store) cut(rev int64) {
	if s.happens(droppedHistory) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.droppedRev = max(s.droppedRev, rev)
	}
}

// isDropped reports whether changes from a revision on are missing in the history.
func (s *Store) isDropped(from int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from > 0 && from <= s.droppedRev
}

// happens reports whether a fault of the given share happens now.
func (s *Store) happens(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

func (s *Store) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}
