// Package store defines the interface to the platform's key-value service, which
// offers compare-and-swap and watches, and implements it with an HTTP client and
// in memory.
//
// # Usage
//
//	st, err := store.New(store.Config{URL: "http://127.0.0.1:2379"}, clock.New())
//	kv, err := st.Get(ctx, "policy/current")
//	res, err := st.Commit(ctx, store.NewTxn().If("k", kv.ModRevision()).Put("k", v))
//
// A write whose reply was lost returns rcode.OutcomeUnknown. The caller then reads
// the keys and compares them with what it wrote. rcode.StoreUnavailable means that
// the write was never sent or was refused.
package store

import (
	"context"
)

// MaxValue is the largest size of a value in the platform's service, in bytes.
const MaxValue = 1 << 20

// KV is a key with its value and the revision of its last change.
type KV struct {
	key         string
	value       []byte
	modRevision int64
}

// NewKV returns a key-value pair. It is for implementations of Store.
func NewKV(key string, value []byte, modRevision int64) KV {
	return KV{key: key, value: value, modRevision: modRevision}
}

// Key returns the key.
func (k KV) Key() string { return k.key }

// Value returns the value, which the caller must not modify.
func (k KV) Value() []byte { return k.value }

// ModRevision returns the store's revision at the key's last change.
func (k KV) ModRevision() int64 { return k.modRevision }

// Change is an event of a watch: a key was written or deleted.
type Change struct {
	kv      KV
	deleted bool
}

// NewChange returns a change. It is for implementations of Store.
func NewChange(kv KV, deleted bool) Change { return Change{kv: kv, deleted: deleted} }

// KV returns the key-value pair after the change. A deleted key has no value.
func (c Change) KV() KV { return c.kv }

// Deleted reports whether the key was deleted.
func (c Change) Deleted() bool { return c.deleted }

// Cond is the condition that a key was last changed at a revision. Revision 0 means
// that the key does not exist.
type Cond struct {
	key         string
	modRevision int64
}

// Key returns the key that is compared.
func (c Cond) Key() string { return c.key }

// ModRevision returns the required revision of the key's last change.
func (c Cond) ModRevision() int64 { return c.modRevision }

// Op is a write of a transaction: it sets or deletes a key.
type Op struct {
	key      string
	value    []byte
	isDelete bool
}

// Key returns the key that is written.
func (o Op) Key() string { return o.key }

// Value returns the value that is written.
func (o Op) Value() []byte { return o.value }

// IsDelete reports whether the write deletes the key.
func (o Op) IsDelete() bool { return o.isDelete }

// Txn is a transaction: if all of its conditions hold, all of its writes take effect
// atomically, otherwise none.
type Txn struct {
	conds []Cond
	ops   []Op
}

// NewTxn returns an empty transaction.
func NewTxn() *Txn { return &Txn{} }

// If adds the condition that a key was last changed at a revision.
func (t *Txn) If(key string, modRevision int64) *Txn {
	t.conds = append(t.conds, Cond{key: key, modRevision: modRevision})
	return t
}

// Put adds a write that sets a key.
func (t *Txn) Put(key string, value []byte) *Txn {
	t.ops = append(t.ops, Op{key: key, value: value})
	return t
}

// Delete adds a write that deletes a key.
func (t *Txn) Delete(key string) *Txn {
	t.ops = append(t.ops, Op{key: key, isDelete: true})
	return t
}

// Conds returns the conditions.
func (t *Txn) Conds() []Cond { return t.conds }

// Ops returns the writes.
func (t *Txn) Ops() []Op { return t.ops }

// Result is the outcome of a transaction.
type Result struct {
	succeeded bool
	revision  int64
}

// NewResult returns a result. It is for implementations of Store.
func NewResult(succeeded bool, revision int64) Result {
	return Result{succeeded: succeeded, revision: revision}
}

// Succeeded reports whether all conditions held, so that the writes took effect.
func (r Result) Succeeded() bool { return r.succeeded }

// Revision returns the store's revision after the transaction. It is the ModRevision
// of the keys that a successful transaction wrote.
func (r Result) Revision() int64 { return r.revision }

// Store is the part of the platform's service that the system uses. The service's own
// leases are not used, since their clock may stop or jump during an outage. Records
// have an epoch instead, and their readers time the expiry.
type Store interface {
	// Get reads one key. It returns rcode.NotFound if the key does not exist.
	Get(ctx context.Context, key string) (KV, error)
	// List reads all keys with a prefix as they are at one revision of the store, which it
	// returns, so that it shows transactions whole.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// Commit runs a transaction. A failed condition is not an error, but a Result
	// that has not succeeded.
	Commit(ctx context.Context, t *Txn) (Result, error)
	// Watch calls fn for each change of a key with the prefix, from revision from on,
	// until ctx ends or the stream breaks. Changes come in the order of their revisions; those of
	// one transaction have the same revision, and all of them come before Watch returns. It
	// returns the revision from which a further watch misses nothing and repeats nothing. The
	// error is rcode.NotFound if the store no longer has the changes from from on, so that the
	// caller has to list the keys again. From 0 on is from the next change on.
	Watch(ctx context.Context, prefix string, from int64, fn func(Change)) (next int64, err error)
}
