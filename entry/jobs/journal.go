package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

const (
	// bucketFullBytes is the size from which a bucket accepts no new jobs. A group
	// rewrites every changed bucket, so small buckets keep groups small.
	bucketFullBytes = 64 << 10
	// maxGroupBytes limits one transaction, below the store's limit of 1 MB.
	maxGroupBytes = 768 << 10
	// estimatedRecordBytes is the estimated size of a new record without its
	// payload. It is used until the bucket is written and its size is known.
	estimatedRecordBytes = 400
	// FinishedTTL is how long the record of a finished job is retained.
	FinishedTTL = 10 * time.Minute
	// minRetryDelay is the delay after a failed write. It doubles with each
	// further failure, up to maxRetryDelay.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Fence identifies an ownership of a shard by its epoch key and the revision of
// that key. Writes are conditional on the revision.
type Fence struct {
	key string
	rev int64
}

// NewFence returns the fence for revision rev of an epoch key.
func NewFence(key string, rev int64) Fence { return Fence{key: key, rev: rev} }

// Config holds the settings of a Journal.
type Config struct {
	// Shard is the name of the shard, in the form DATACENTRE/NUMBER.
	Shard string
	// GroupDelay is the time for which changes are collected before a group is
	// written. The default is 50 ms.
	GroupDelay time.Duration
}

// Defaults replaces zero values with the default settings.
func (c *Config) Defaults() {
	if c.GroupDelay == 0 {
		c.GroupDelay = 50 * time.Millisecond
	}
}

// entry is a record in a bucket, with the number of the bucket's change that
// last replaced it.
type entry struct {
	rec    *Record
	change int64
}

// bucket holds the records that are stored under one key.
type bucket struct {
	key         string
	modRevision int64
	bytes       int
	jobs        map[string]entry
	// lastChange is the number of the last change in memory; storedChange is that
	// of the last change that is certainly stored.
	lastChange, storedChange int64
	// dirtySeq is the bucket's place in the order in which dirty buckets are
	// written. It is 0 for a clean bucket.
	dirtySeq int64
	// unconfirmedTokens identify the writes of this journal that may have taken
	// effect.
	unconfirmedTokens map[string]bool
}

func newBucket(key string) *bucket {
	return &bucket{key: key, jobs: map[string]entry{}, unconfirmedTokens: map[string]bool{}}
}

// Submission is a proposed record whose outcome may still be pending.
type Submission struct {
	j    *Journal
	id   string
	done chan struct{}
	err  error
	// unconfirmedWrites is the number of writes that included the record and may
	// have taken effect.
	unconfirmedWrites int
}

// Done returns a channel that is closed once the outcome is known.
func (s *Submission) Done() <-chan struct{} { return s.done }

// Journal stores the records of one shard for the duration of one ownership. It
// is safe for concurrent use.
type Journal struct {
	cfg   Config
	store store.Store
	clk   clock.Clock
	log   *zap.Logger
	fence func() Fence
	// loadFence is the fence under which the records were loaded. All writes are
	// conditional on it.
	loadFence Fence

	mu      sync.Mutex
	buckets map[string]*bucket
	// bucketByJob is an index of the buckets by job id.
	bucketByJob map[string]*bucket
	// pending are the submissions without an outcome, by job id.
	pending map[string]*Submission
	// closeErr is the reason why the journal accepts no more records. It is nil
	// while the journal is open.
	closeErr error
	// storeFailing is set while the last write failed.
	storeFailing bool
	writes       int64 // Transactions sent to the store.
	// lastDirtySeq is the last dirtySeq that was given to a bucket.
	lastDirtySeq int64
	wake         chan struct{}
	// groupSettled is closed and replaced after the outcome of each group.
	groupSettled chan struct{}
}

// New returns a journal. fence returns the fence of the current ownership.
func New(cfg Config, st store.Store, clk clock.Clock, log *zap.Logger, fence func() Fence) *Journal {
	cfg.Defaults()
	return &Journal{
		cfg: cfg, store: st, clk: clk, log: log, fence: fence, buckets: map[string]*bucket{},
		bucketByJob: map[string]*bucket{}, pending: map[string]*Submission{}, wake: make(chan struct{}, 1),
		groupSettled: make(chan struct{}),
	}
}

func (j *Journal) prefix() string { return "jobs/" + j.cfg.Shard + "/" }

// bucketDoc is the stored form of a bucket.
type bucketDoc struct {
	Token string    `json:"token"`
	Jobs  []*Record `json:"jobs"`
}

// Load reads all records of the shard, oldest first. It must be called once,
// before Serve.
func (j *Journal) Load(ctx context.Context) ([]*Record, error) {
	fence := j.fence()
	if fence.rev == 0 {
		// Revision 0 is that of a missing key, so the condition would hold on a
		// shard that was never owned.
		return nil, rcode.New(rcode.NotOwner, "jobs.Load: this VM is not the recorded owner of shard %s", j.cfg.Shard)
	}
	kvs, _, err := j.store.List(ctx, j.prefix())
	if err != nil {
		return nil, err
	}
	var out []*Record
	j.mu.Lock()
	defer j.mu.Unlock()
	j.loadFence = fence
	for _, kv := range kvs {
		var doc bucketDoc
		if err := json.Unmarshal(kv.Value(), &doc); err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "jobs.Load %s", kv.Key())
		}
		b := newBucket(kv.Key())
		b.modRevision, b.bytes = kv.ModRevision(), len(kv.Value())
		j.buckets[b.key] = b
		for _, r := range doc.Jobs {
			b.jobs[r.ID] = entry{rec: r}
			j.bucketByJob[r.ID] = b
			out = append(out, r.Clone())
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].CreatedMS < out[b].CreatedMS })
	return out, nil
}

// Accept proposes a record and returns nil once it is stored. An error with a
// NotRun code means that the record is certainly not stored and will not be;
// AcceptUnknown means that it may be.
func (j *Journal) Accept(ctx context.Context, r *Record) error {
	s, err := j.Propose(r)
	if err != nil {
		return err
	}
	return s.Wait(ctx)
}

// Propose adds a copy of a record to the next group. It fails while writes to
// the store fail, since the outcome of the write would be unknown.
func (j *Journal) Propose(r *Record) (*Submission, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case j.closeErr != nil:
		return nil, j.closeErr
	case j.storeFailing:
		return nil, rcode.New(rcode.StoreUnavailable, "jobs.Propose: the last write to the store failed")
	case j.bucketByJob[r.ID] != nil:
		return nil, rcode.New(rcode.IDReused, "jobs.Propose: job %s already exists", r.ID)
	}
	s := &Submission{j: j, id: r.ID, done: make(chan struct{})}
	j.putLocked(r)
	j.pending[r.ID] = s
	j.signalWriter()
	return s, nil
}

// Wait returns the outcome, like Accept. If ctx ends first, the record is
// withdrawn unless a write may have stored it.
func (s *Submission) Wait(ctx context.Context) error {
	select {
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return s.j.withdraw(s)
	}
}

// withdraw settles a submission whose caller stopped waiting. The record is
// removed if no write may have stored it; otherwise the outcome is unknown.
func (j *Journal) withdraw(s *Submission) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pending[s.id] != s {
		return s.err
	}
	if s.unconfirmedWrites > 0 {
		j.resolveLocked(s.id, rcode.New(rcode.AcceptUnknown, "jobs.Wait: the store did not confirm job %s before the deadline", s.id))
		return s.err
	}
	j.removeUnwrittenLocked(s.id)
	j.resolveLocked(s.id, rcode.New(rcode.StoreUnavailable, "jobs.Wait: the record was not written before the deadline"))
	return s.err
}

// removeUnwrittenLocked removes a record that no write may have stored.
func (j *Journal) removeUnwrittenLocked(id string) {
	b := j.bucketByJob[id]
	if b == nil {
		return
	}
	b.bytes -= estimatedRecordBytes + len(b.jobs[id].rec.Spec.Payload)
	delete(b.jobs, id)
	delete(j.bucketByJob, id)
}

// Update stores a changed record with the next group. The caller must order the
// updates of one job.
func (j *Journal) Update(r *Record) {
	j.mu.Lock()
	j.putLocked(r)
	j.mu.Unlock()
	j.signalWriter()
}

// Remove deletes a finished record with the next group.
func (j *Journal) Remove(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.bucketByJob[id]
	if b == nil {
		return
	}
	delete(b.jobs, id)
	delete(j.bucketByJob, id)
	j.markChangedLocked(b)
}

// Writes returns the number of transactions sent to the store.
func (j *Journal) Writes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.writes
}

// IsStored reports whether the latest state of a job is stored. Only then may a
// worker delete the job's ended tasks from its list.
func (j *Journal) IsStored(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.bucketByJob[id]
	return b == nil || b.jobs[id].change <= b.storedChange
}

// WaitStored blocks until the state that the job has at the time of the call is
// stored. After an error it may or may not be stored. Later changes of other
// jobs in the same bucket don't extend the wait.
func (j *Journal) WaitStored(ctx context.Context, id string) error {
	j.mu.Lock()
	b := j.bucketByJob[id]
	if b == nil {
		j.mu.Unlock()
		return nil
	}
	change := b.jobs[id].change
	for {
		stored, closeErr, groupSettled := change <= b.storedChange, j.closeErr, j.groupSettled
		j.mu.Unlock()
		switch {
		case stored:
			return nil
		case closeErr != nil:
			return closeErr
		}
		select {
		case <-ctx.Done():
			return rcode.Wrap(ctx.Err(), rcode.StoreUnavailable, "jobs.WaitStored %s", id)
		case <-groupSettled:
		}
		j.mu.Lock()
	}
}

// putLocked stores a copy of a record in its bucket, or in one that accepts new
// jobs.
func (j *Journal) putLocked(r *Record) {
	b := j.bucketByJob[r.ID]
	if b == nil {
		b = j.pickBucketLocked()
		j.bucketByJob[r.ID] = b
		b.bytes += estimatedRecordBytes + len(r.Spec.Payload)
	}
	j.markChangedLocked(b)
	b.jobs[r.ID] = entry{rec: r.Clone(), change: b.lastChange}
}

// markChangedLocked counts a change of a bucket and marks it dirty.
func (j *Journal) markChangedLocked(b *bucket) {
	b.lastChange++
	if b.dirtySeq == 0 {
		j.lastDirtySeq++
		b.dirtySeq = j.lastDirtySeq
	}
}

// pickBucketLocked returns the bucket with the lowest key that accepts new jobs.
// It creates one if all are full.
func (j *Journal) pickBucketLocked() *bucket {
	var best *bucket
	for _, b := range j.buckets {
		if b.bytes < bucketFullBytes && (best == nil || b.key < best.key) {
			best = b
		}
	}
	for n := 0; best == nil; n++ {
		key := fmt.Sprintf("%s%06d", j.prefix(), n)
		if j.buckets[key] == nil {
			best = newBucket(key)
			j.buckets[key] = best
		}
	}
	return best
}

// signalWriter wakes Serve to write a group.
func (j *Journal) signalWriter() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// resolveLocked sets the outcome of a submission.
func (j *Journal) resolveLocked(id string, err error) {
	if s := j.pending[id]; s != nil {
		delete(j.pending, id)
		s.err = err
		close(s.done)
	}
}
