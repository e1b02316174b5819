package store

import (
	"context"
	"sort"
	"strings"
	"sync"

	"limpethitch.example/core/rcode"
)

// Memory is a Store in the memory of one process, for the stand-in of the
// platform's service and for tests. It keeps all changes since its start.
type Memory struct {
	mu      sync.Mutex
	rev     int64
	kvs     map[string]KV
	log     []Change
	changed chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory {
	return &Memory{rev: 1, kvs: map[string]KV{}, changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.kvs[key]
	if !ok {
		return KV{}, rcode.New(rcode.NotFound, "store.Get %s", key)
	}
	return kv, nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]KV, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []KV
	for k, kv := range m.kvs {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, m.rev, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, t *Txn) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range t.conds {
		if m.kvs[c.key].mod != c.mod {
			return Result{rev: m.rev}, nil
		}
	}
	m.rev++
	for _, o := range t.ops {
		kv := KV{key: o.key, value: append([]byte(nil), o.value...), mod: m.rev}
		if o.remove {
			delete(m.kvs, o.key)
			kv.value = nil
		} else {
			m.kvs[o.key] = kv
		}
		m.log = append(m.log, Change{kv: kv, deleted: o.remove})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return Result{done: true, rev: m.rev}, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64, fn func(Change)) error {
	next := 0
	for {
		m.mu.Lock()
		batch := m.log[next:]
		next = len(m.log)
		changed := m.changed
		m.mu.Unlock()
		for _, c := range batch {
			if c.kv.mod >= from && strings.HasPrefix(c.kv.key, prefix) {
				fn(c)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
