package store

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"limpethitch.example/core/rcode"
)

// Default bounds of the change log of a Memory. Values with many job records have
// several hundred KB, so a bound on the number of entries does not bound memory.
const (
	defaultLogEntries = 20_000
	defaultLogBytes   = 64 << 20
)

// ErrCompacted is the cause of a watch's error if changes that it requests are no
// longer in the log. The caller has to list the keys again.
var ErrCompacted = errors.New("required revision has been compacted")

// Memory is an in-memory Store, for the stand-in of the platform's service and for
// tests. As in the service, a transaction that changes nothing does not increase the
// revision, and a watch from revision 0 starts with the next change. A bounded log
// of changes serves the watches.
type Memory struct {
	mu                sync.Mutex
	revision          int64
	kvs               map[string]KV
	log               []Change
	logBytes          int
	compactedRevision int64
	maxLogEntries     int
	maxLogBytes       int
	changed           chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store at revision 1.
func NewMemory() *Memory { return NewMemoryBounded(defaultLogEntries, defaultLogBytes) }

// NewMemoryBounded returns an empty store at revision 1 whose change log is bounded to
// a number of entries and of bytes in values.
func NewMemoryBounded(maxLogEntries, maxLogBytes int) *Memory {
	return &Memory{revision: 1, kvs: map[string]KV{}, maxLogEntries: maxLogEntries, maxLogBytes: maxLogBytes, changed: make(chan struct{})}
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
	return out, m.revision, nil
}

// Commit implements Store.
func (m *Memory) Commit(_ context.Context, t *Txn) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range t.conds {
		if m.kvs[c.key].modRevision != c.modRevision {
			return Result{revision: m.revision}, nil
		}
	}
	if !m.hasEffect(t) {
		return Result{succeeded: true, revision: m.revision}, nil
	}
	m.revision++
	for _, o := range t.ops {
		m.apply(o)
	}
	m.trimLog()
	close(m.changed)
	m.changed = make(chan struct{})
	return Result{succeeded: true, revision: m.revision}, nil
}

// hasEffect reports whether the transaction changes any key.
func (m *Memory) hasEffect(t *Txn) bool {
	for _, o := range t.ops {
		if _, exists := m.kvs[o.key]; exists || !o.isDelete {
			return true
		}
	}
	return false
}

// apply runs one write and appends it to the log.
func (m *Memory) apply(o Op) {
	if !o.isDelete {
		kv := KV{key: o.key, value: append([]byte(nil), o.value...), modRevision: m.revision}
		m.kvs[o.key] = kv
		m.log = append(m.log, Change{kv: kv})
		m.logBytes += len(kv.value)
		return
	}
	if _, exists := m.kvs[o.key]; !exists {
		return
	}
	delete(m.kvs, o.key)
	m.log = append(m.log, Change{kv: KV{key: o.key, modRevision: m.revision}, deleted: true})
}

// trimLog drops the oldest revisions while the log exceeds its bounds. It drops all
// changes of a revision together and never drops the newest revision.
func (m *Memory) trimLog() {
	for len(m.log) > m.maxLogEntries || m.logBytes > m.maxLogBytes {
		oldest := m.log[0].kv.modRevision
		if oldest == m.revision {
			return
		}
		n := transactionLen(m.log)
		for i := range m.log[:n] {
			m.logBytes -= len(m.log[i].kv.value)
			m.log[i] = Change{}
		}
		m.log = m.log[n:]
		m.compactedRevision = oldest
	}
}

// Revision returns the store's current revision.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// CompactedRevision returns the newest revision whose changes were dropped from the
// log.
func (m *Memory) CompactedRevision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.compactedRevision
}

// Watch implements Store. A watch that starts before the oldest revision in the log,
// or falls behind it, ends with ErrCompacted.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64, fn func(Change)) (next int64, err error) {
	return m.WatchTransactions(ctx, prefix, from, func(changes []Change) {
		for _, c := range changes {
			fn(c)
		}
	})
}

// WatchTransactions is Watch with all changes of a transaction in one call of fn.
func (m *Memory) WatchTransactions(ctx context.Context, prefix string, from int64, fn func([]Change)) (next int64, err error) {
	if from <= 0 {
		from = m.Revision() + 1
	}
	for {
		batch, changed, err := m.changesSince(from)
		if err != nil {
			return from, rcode.Wrap(err, rcode.NotFound, "store.Watch %s from %d", prefix, from)
		}
		for len(batch) > 0 {
			n := transactionLen(batch)
			from = batch[0].kv.modRevision + 1
			if matching := withPrefix(batch[:n], prefix); len(matching) > 0 {
				fn(matching)
			}
			batch = batch[n:]
		}
		select {
		case <-ctx.Done():
			return from, ctx.Err()
		case <-changed:
		}
	}
}

// transactionLen returns how many of the changes, of which there is at least one, belong to the
// first transaction.
func transactionLen(changes []Change) int {
	n := slices.IndexFunc(changes, func(c Change) bool { return c.kv.modRevision != changes[0].kv.modRevision })
	if n < 0 {
		return len(changes)
	}
	return n
}

// withPrefix returns the changes of keys with a prefix.
func withPrefix(changes []Change, prefix string) []Change {
	var out []Change
	for _, c := range changes {
		if strings.HasPrefix(c.kv.key, prefix) {
			out = append(out, c)
		}
	}
	return out
}

// changesSince returns the logged changes from a revision on and a channel that is
// closed at the next change.
func (m *Memory) changesSince(from int64) ([]Change, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from <= m.compactedRevision {
		return nil, nil, ErrCompacted
	}
	i := sort.Search(len(m.log), func(i int) bool { return m.log[i].kv.modRevision >= from })
	return append([]Change(nil), m.log[i:]...), m.changed, nil
}
