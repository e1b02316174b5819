package jobs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

const (
	// bucketBytes is the size at which a bucket takes no new jobs. A group
	// rewrites each bucket that changed, so small buckets keep groups small.
	bucketBytes = 64 << 10
	// groupBytes bounds one transaction, below the store's 1 MB.
	groupBytes = 768 << 10
	// Kept is how long a finished job stays readable.
	Kept = 10 * time.Minute
	// retryPause is the pause after a write that did not take effect.
	retryPause = 250 * time.Millisecond
)

// Fence is the epoch key of the shard and its revision under this owner.
type Fence struct {
	key string
	rev int64
}

// NewFence returns a fence.
func NewFence(key string, rev int64) Fence { return Fence{key: key, rev: rev} }

// Config holds the settings of a journal.
type Config struct {
	// Shard is DATACENTRE/NUMBER.
	Shard string
	// GroupDelay is the longest time that a job waits for its group.
	GroupDelay time.Duration
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.GroupDelay == 0 {
		c.GroupDelay = 50 * time.Millisecond
	}
}

type bucket struct {
	key    string
	mod    int64
	bytes  int
	jobs   map[string]*Record
	dirty  bool
	flying bool
	tokens map[string]bool
}

type waiter struct {
	id string
	ch chan error
	// tried is set once a write that may have taken effect held the record.
	tried bool
}

// Journal keeps the records of one shard under one ownership. It is safe for
// concurrent use.
type Journal struct {
	cfg   Config
	st    store.Store
	clk   clock.Clock
	log   *zap.Logger
	fence func() Fence
	// tied is the fence under which the records were read.
	tied Fence

	mu      sync.Mutex
	buckets map[string]*bucket
	where   map[string]*bucket
	waiting map[string]*waiter
	lost    error
	writes  int64
	wake    chan struct{}
}

// New returns a journal; fence returns the epoch key and its revision under the
// present ownership.
func New(cfg Config, st store.Store, clk clock.Clock, log *zap.Logger, fence func() Fence) *Journal {
	cfg.Defaults()
	return &Journal{
		cfg: cfg, st: st, clk: clk, log: log, fence: fence, buckets: map[string]*bucket{},
		where: map[string]*bucket{}, waiting: map[string]*waiter{}, wake: make(chan struct{}, 1),
	}
}

func (j *Journal) prefix() string { return "jobs/" + j.cfg.Shard + "/" }

type bucketDoc struct {
	Token string    `json:"token"`
	Jobs  []*Record `json:"jobs"`
}

// Load reads all records of the shard. It is called once, before Serve.
func (j *Journal) Load(ctx context.Context) ([]*Record, error) {
	tied := j.fence()
	kvs, _, err := j.st.List(ctx, j.prefix())
	if err != nil {
		return nil, err
	}
	var out []*Record
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tied = tied
	for _, kv := range kvs {
		var doc bucketDoc
		if err := json.Unmarshal(kv.Value(), &doc); err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "jobs.Load %s", kv.Key())
		}
		b := &bucket{key: kv.Key(), mod: kv.ModRevision(), bytes: len(kv.Value()), jobs: map[string]*Record{}, tokens: map[string]bool{}}
		j.buckets[b.key] = b
		for _, r := range doc.Jobs {
			b.jobs[r.ID] = r
			j.where[r.ID] = b
			out = append(out, r.Clone())
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].CreatedMS < out[b].CreatedMS })
	return out, nil
}

// Accept returns nil once the record is kept. Other results: a NotRun code when
// it is certain that the record is not kept and will not be, AcceptUnknown when
// it may be.
func (j *Journal) Accept(ctx context.Context, r *Record) error {
	w := &waiter{id: r.ID, ch: make(chan error, 1)}
	j.mu.Lock()
	if j.lost != nil {
		j.mu.Unlock()
		return j.lost
	}
	j.putLocked(r)
	j.waiting[r.ID] = w
	j.mu.Unlock()
	j.poke()
	select {
	case err := <-w.ch:
		return err
	case <-ctx.Done():
		return j.withdraw(w)
	}
}

// withdraw takes a record back that no write held yet.
func (j *Journal) withdraw(w *waiter) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	select {
	case err := <-w.ch:
		return err
	default:
	}
	delete(j.waiting, w.id)
	if w.tried {
		return rcode.New(rcode.AcceptUnknown, "jobs.Accept: the store did not confirm job %s in time", w.id)
	}
	if b := j.where[w.id]; b != nil {
		delete(b.jobs, w.id)
		delete(j.where, w.id)
	}
	return rcode.New(rcode.StoreUnavailable, "jobs.Accept: the store took no write in time")
}

// Update replaces a record with the next group.
func (j *Journal) Update(r *Record) {
	j.mu.Lock()
	j.putLocked(r)
	j.mu.Unlock()
	j.poke()
}

// Remove clears a finished record with the next group.
func (j *Journal) Remove(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.where[id]
	if b == nil {
		return
	}
	delete(b.jobs, id)
	delete(j.where, id)
	b.dirty = true
}

// Writes returns the number of transactions sent.
func (j *Journal) Writes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes
}

// IsKept reports whether the newest state of a job is kept, so that a worker may
// forget its ended tasks.
func (j *Journal) IsKept(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.where[id]
	return b == nil || (!b.dirty && !b.flying)
}

func (j *Journal) putLocked(r *Record) {
	b := j.where[r.ID]
	if b == nil {
		b = j.openLocked()
		j.where[r.ID] = b
		b.bytes += 400 + len(r.Spec.Payload)
	}
	b.jobs[r.ID] = r.Clone()
	b.dirty = true
}

// openLocked returns a bucket with room, the lowest name first.
func (j *Journal) openLocked() *bucket {
	var best *bucket
	for _, b := range j.buckets {
		if b.bytes < bucketBytes && (best == nil || b.key < best.key) {
			best = b
		}
	}
	for n := 0; best == nil; n++ {
		key := fmt.Sprintf("%s%06d", j.prefix(), n)
		if j.buckets[key] == nil {
			best = &bucket{key: key, jobs: map[string]*Record{}, tokens: map[string]bool{}}
			j.buckets[key] = best
		}
	}
	return best
}

func (j *Journal) poke() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Serve writes groups until ctx ends or the ownership is lost.
func (j *Journal) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.wake:
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.clk.After(j.cfg.GroupDelay):
		}
		if err := j.Flush(ctx); err != nil {
			if rcode.Is(err, rcode.NotOwner) {
				return err
			}
			j.log.Warn("job group not written", append(logs.Err(err), zap.String("shard", j.cfg.Shard))...)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-j.clk.After(retryPause):
			}
		}
	}
}

// group is one transaction under way.
type group struct {
	buckets []*bucket
	tokens  []string
	ids     map[string]bool
	sizes   []int
}

// Flush writes one group. It returns an error when something stayed unwritten.
func (j *Journal) Flush(ctx context.Context) error {
	g, txn, err := j.begin()
	if err != nil || len(g.buckets) == 0 {
		return err
	}
	res, err := j.st.Commit(ctx, txn)
	if err == nil && !res.Done() {
		return j.conflict(ctx, g)
	}
	return j.end(g, res, err)
}

func (j *Journal) begin() (*group, *store.Txn, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	g := &group{ids: map[string]bool{}}
	if j.lost != nil {
		return g, nil, j.lost
	}
	txn := store.NewTxn().If(j.tied.key, j.tied.rev)
	total := 0
	for _, b := range j.dirtyLocked() {
		token := newToken()
		body, err := json.Marshal(bucketDoc{Token: token, Jobs: b.sorted()})
		if err != nil {
			return g, nil, rcode.Wrap(err, rcode.Internal, "jobs.begin")
		}
		if total += len(body); total > groupBytes && len(g.buckets) > 0 {
			j.poke()
			break
		}
		txn.If(b.key, b.mod).Put(b.key, body)
		g.buckets = append(g.buckets, b)
		g.tokens = append(g.tokens, token)
		g.sizes = append(g.sizes, len(body))
		b.dirty, b.flying = false, true
		b.tokens[token] = true
		for id := range b.jobs {
			g.ids[id] = true
			if w := j.waiting[id]; w != nil {
				w.tried = true
			}
		}
	}
	if len(g.buckets) > 0 {
		j.writes++
	}
	return g, txn, nil
}

func (j *Journal) dirtyLocked() []*bucket {
	var out []*bucket
	for _, b := range j.buckets {
		if b.dirty {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].key < out[b].key })
	return out
}

func (b *bucket) sorted() []*Record {
	out := make([]*Record, 0, len(b.jobs))
	for _, r := range b.jobs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// end settles a group: written, surely not written, or unknown.
func (j *Journal) end(g *group, res store.Result, err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, b := range g.buckets {
		b.flying = false
	}
	if err != nil {
		for _, b := range g.buckets {
			b.dirty = true
		}
		if rcode.Of(err).NotRun() {
			j.untryLocked(g)
		}
		j.poke()
		return err
	}
	for i, b := range g.buckets {
		b.mod = res.Revision()
		b.bytes = g.sizes[i]
		clear(b.tokens)
	}
	for id := range g.ids {
		j.resolveLocked(id, nil)
	}
	return nil
}

// untryLocked undoes the mark of a write that surely had no effect, unless an
// earlier write of the same bucket is still unsettled.
func (j *Journal) untryLocked(g *group) {
	for i, b := range g.buckets {
		delete(b.tokens, g.tokens[i])
		if len(b.tokens) > 0 {
			continue
		}
		for id := range b.jobs {
			if w := j.waiting[id]; w != nil {
				w.tried = false
			}
		}
	}
}

func (j *Journal) resolveLocked(id string, err error) {
	if w := j.waiting[id]; w != nil {
		delete(j.waiting, id)
		w.ch <- err
	}
}

// conflict reads back why a group's conditions did not hold: an earlier write of
// this journal whose reply was lost, or another owner.
func (j *Journal) conflict(ctx context.Context, g *group) error {
	kv, err := j.st.Get(ctx, j.tied.key)
	if err != nil {
		return j.end(g, store.Result{}, rcode.Wrap(err, rcode.OutcomeUnknown, "jobs.conflict"))
	}
	if kv.ModRevision() != j.tied.rev {
		return j.lose(rcode.New(rcode.NotOwner, "jobs.conflict: shard %s has another owner", j.cfg.Shard))
	}
	for _, b := range g.buckets {
		if err := j.adopt(ctx, b); err != nil {
			return j.end(g, store.Result{}, err)
		}
	}
	// The buckets now have the revisions of the earlier write; the group is
	// written again on top of it.
	return j.end(g, store.Result{}, rcode.New(rcode.OutcomeUnknown, "jobs.conflict: group is written again"))
}

func (j *Journal) adopt(ctx context.Context, b *bucket) error {
	kv, err := j.st.Get(ctx, b.key)
	if rcode.Is(err, rcode.NotFound) {
		return nil
	}
	if err != nil {
		return rcode.Wrap(err, rcode.OutcomeUnknown, "jobs.adopt")
	}
	var doc bucketDoc
	if err := json.Unmarshal(kv.Value(), &doc); err != nil {
		return rcode.Wrap(err, rcode.Internal, "jobs.adopt")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if kv.ModRevision() != b.mod && !b.tokens[doc.Token] {
		j.log.Error("bucket was written by another under the same epoch", zap.String("key", b.key))
	}
	b.mod = kv.ModRevision()
	return nil
}

// lose ends the journal: records of groups without an unsettled write are surely
// not kept.
func (j *Journal) lose(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lost = err
	for id := range j.waiting {
		b := j.where[id]
		if b != nil && len(b.tokens) > 1 {
			j.resolveLocked(id, rcode.New(rcode.AcceptUnknown, "jobs.lose: the shard changed its owner"))
			continue
		}
		j.resolveLocked(id, err)
	}
	return err
}

func newToken() string {
	b := make([]byte, 12)
	// crypto/rand.Read does not fail; it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Keep writes the new state of a job and returns once it is kept. An error says
// that it may or may not be.
func (j *Journal) Keep(ctx context.Context, r *Record) error {
	j.Update(r)
	for {
		j.mu.Lock()
		lost := j.lost
		j.mu.Unlock()
		switch {
		case lost != nil:
			return lost
		case j.IsKept(r.ID):
			return nil
		}
		select {
		case <-ctx.Done():
			return rcode.Wrap(ctx.Err(), rcode.StoreUnavailable, "jobs.Keep %s", r.ID)
		case <-j.clk.After(5 * time.Millisecond):
		}
	}
}
