package meter

import (
	"context"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// Store is a store.Store whose calls are counted.
type Store struct {
	store.Store
	m *Metrics
}

// InstrumentStore wraps st so that its calls are counted in m.
func (m *Metrics) InstrumentStore(st store.Store) *Store { return &Store{Store: st, m: m} }

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := s.Store.Get(ctx, key)
	s.m.CountStoreCall("read", rcode.Of(err))
	return kv, err
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	kvs, rev, err := s.Store.List(ctx, prefix)
	s.m.CountStoreCall("read", rcode.Of(err))
	return kvs, rev, err
}

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	res, err := s.Store.Commit(ctx, t)
	s.m.CountStoreCall("write", rcode.Of(err))
	return res, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, fn func(store.Change)) (next int64, err error) {
	next, err = s.Store.Watch(ctx, prefix, from, fn)
	s.m.CountStoreCall("watch", rcode.Of(err))
	return next, err
}
