package jobs

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sort"

	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// Serve writes groups until ctx ends or the ownership is lost. Before it
// returns, it resolves all pending submissions.
func (j *Journal) Serve(ctx context.Context) error {
	defer j.stop()
	delay := minRetryDelay
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
		err := j.Flush(ctx)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		if rcode.Is(err, rcode.NotOwner) {
			return err
		}
		j.log.Warn("failed to write a group of jobs", append(logs.Err(err), zap.String("shard", j.cfg.Shard))...)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.clk.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// bucketWrite is the content of one bucket in a group.
type bucketWrite struct {
	bucket  *bucket
	token   string
	records []*Record
	body    []byte
	// lastChange is the bucket's last change that this write includes.
	lastChange int64
}

// group is one transaction, with the pending submissions that it includes.
type group struct {
	writes      []*bucketWrite
	submissions []*Submission
}

// Flush writes one group. It returns an error if the group was not written.
func (j *Journal) Flush(ctx context.Context) error {
	g, err := j.beginGroup()
	if err != nil || len(g.writes) == 0 {
		return err
	}
	if err := j.encodeGroup(g); err != nil {
		j.groupFailed(g, true)
		return err
	}
	txn := store.NewTxn().If(j.loadFence.key, j.loadFence.rev)
	for _, w := range g.writes {
		txn.If(w.bucket.key, w.bucket.modRevision).Put(w.bucket.key, w.body)
	}
	res, err := j.store.Commit(ctx, txn)
	switch {
	case err != nil:
		j.groupFailed(g, rcode.Of(err).NotRun())
		return err
	case !res.Succeeded():
		return j.resolveConflict(ctx, g)
	}
	j.groupWritten(g, res)
	return nil
}

// beginGroup selects the buckets of the next group. Buckets that have been dirty
// the longest come first, so that a bucket that changes all the time can't
// starve the others.
func (j *Journal) beginGroup() (*group, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	g := &group{}
	if j.closeErr != nil {
		return g, j.closeErr
	}
	total := 0
	for _, b := range j.dirtyBucketsLocked() {
		if total += b.bytes; total > maxGroupBytes && len(g.writes) > 0 {
			j.signalWriter()
			break
		}
		w := &bucketWrite{bucket: b, token: newToken(), records: b.sortedRecords(), lastChange: b.lastChange}
		g.writes = append(g.writes, w)
		b.dirtySeq = 0
		b.unconfirmedTokens[w.token] = true
		for id := range b.jobs {
			if s := j.pending[id]; s != nil {
				s.unconfirmedWrites++
				g.submissions = append(g.submissions, s)
			}
		}
	}
	if len(g.writes) > 0 {
		j.writes++
	}
	return g, nil
}

func (j *Journal) dirtyBucketsLocked() []*bucket {
	var out []*bucket
	for _, b := range j.buckets {
		if b.dirtySeq != 0 {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].dirtySeq < out[b].dirtySeq })
	return out
}

func (b *bucket) sortedRecords() []*Record {
	out := make([]*Record, 0, len(b.jobs))
	for _, e := range b.jobs {
		out = append(out, e.rec)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// encodeGroup marshals the buckets of a group. It doesn't hold the lock, since
// this takes milliseconds. That is safe because records in buckets are replaced
// but never modified.
func (j *Journal) encodeGroup(g *group) error {
	for _, w := range g.writes {
		body, err := json.Marshal(bucketDoc{Token: w.token, Jobs: w.records})
		if err != nil {
			return rcode.Wrap(err, rcode.Internal, "jobs.encodeGroup %s", w.bucket.key)
		}
		w.body = body
	}
	return nil
}

// groupWritten records that a group took effect and resolves its submissions.
func (j *Journal) groupWritten(g *group, res store.Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.storeFailing = false
	for _, w := range g.writes {
		b := w.bucket
		b.modRevision, b.storedChange = res.Revision(), w.lastChange
		b.bytes = len(w.body)
		for _, e := range b.jobs {
			if e.change > w.lastChange && j.pending[e.rec.ID] != nil {
				b.bytes += estimatedRecordBytes + len(e.rec.Spec.Payload)
			}
		}
		clear(b.unconfirmedTokens)
	}
	for _, s := range g.submissions {
		if j.pending[s.id] == s {
			j.resolveLocked(s.id, nil)
		}
	}
	j.notifyWaitersLocked()
}

// groupFailed handles a group whose write failed. noEffect is set if the write
// certainly had no effect. Submissions that no write may have stored are
// rejected, since the next write could make their outcome unknown.
func (j *Journal) groupFailed(g *group, noEffect bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.storeFailing = true
	j.requeueLocked(g, noEffect)
	for id, s := range j.pending {
		if s.unconfirmedWrites == 0 {
			j.removeUnwrittenLocked(id)
			j.resolveLocked(id, rcode.New(rcode.StoreUnavailable, "jobs.groupFailed: the last write to the store failed"))
		}
	}
}

// requeueLocked marks the buckets of a group dirty again. noEffect is set if this
// write certainly had no effect.
func (j *Journal) requeueLocked(g *group, noEffect bool) {
	for _, w := range g.writes {
		if w.bucket.dirtySeq == 0 {
			j.lastDirtySeq++
			w.bucket.dirtySeq = j.lastDirtySeq
		}
		if noEffect {
			delete(w.bucket.unconfirmedTokens, w.token)
		}
	}
	if noEffect {
		for _, s := range g.submissions {
			s.unconfirmedWrites--
		}
	}
	j.signalWriter()
	j.notifyWaitersLocked()
}

// notifyWaitersLocked wakes the callers of WaitStored after the outcome of a
// group.
func (j *Journal) notifyWaitersLocked() {
	close(j.groupSettled)
	j.groupSettled = make(chan struct{})
}

// resolveConflict determines why the conditions of a group did not hold: either
// an earlier write of this journal took effect although its reply was lost, or
// the shard has another owner.
func (j *Journal) resolveConflict(ctx context.Context, g *group) error {
	kv, err := j.store.Get(ctx, j.loadFence.key)
	if err != nil && !rcode.Is(err, rcode.NotFound) {
		j.groupFailed(g, true)
		return rcode.Wrap(err, rcode.OutcomeUnknown, "jobs.resolveConflict")
	}
	if kv.ModRevision() != j.loadFence.rev {
		return j.handleLostOwnership(ctx, g)
	}
	for _, w := range g.writes {
		if err := j.refreshRevision(ctx, w.bucket); err != nil {
			j.groupFailed(g, true)
			return err
		}
	}
	// The buckets now have the revisions of the earlier write, so the group can
	// be written on top of it.
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requeueLocked(g, true)
	return rcode.New(rcode.OutcomeUnknown, "jobs.resolveConflict: the conditions of the group did not hold, it is retried")
}

// refreshRevision reads the revision of a bucket after a lost reply. A write that
// is not of this journal is logged as an error, since a shard has one writer per
// epoch.
func (j *Journal) refreshRevision(ctx context.Context, b *bucket) error {
	kv, err := j.store.Get(ctx, b.key)
	if rcode.Is(err, rcode.NotFound) {
		return nil
	}
	if err != nil {
		return rcode.Wrap(err, rcode.OutcomeUnknown, "jobs.refreshRevision")
	}
	var doc bucketDoc
	if err := json.Unmarshal(kv.Value(), &doc); err != nil {
		return rcode.Wrap(err, rcode.Internal, "jobs.refreshRevision")
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if kv.ModRevision() != b.modRevision && !b.unconfirmedTokens[doc.Token] {
		j.log.Error("bucket was modified by another writer in the same epoch", zap.String("key", b.key))
	}
	b.modRevision = kv.ModRevision()
	return nil
}

// handleLostOwnership closes the journal after the epoch key was raised. Earlier
// writes can no longer take effect, so the stored buckets show which submissions
// were stored.
func (j *Journal) handleLostOwnership(ctx context.Context, g *group) error {
	err := rcode.New(rcode.NotOwner, "jobs.handleLostOwnership: shard %s has another owner", j.cfg.Shard)
	stored := map[string]bool{}
	kvs, _, listErr := j.store.List(ctx, j.prefix())
	for _, kv := range kvs {
		var doc bucketDoc
		if listErr == nil && json.Unmarshal(kv.Value(), &doc) == nil {
			for _, r := range doc.Jobs {
				stored[r.ID] = true
			}
		}
	}
	j.mu.Lock()
	j.requeueLocked(g, true)
	j.mu.Unlock()
	j.close(err, stored)
	return err
}

// stop resolves all pending submissions when Serve ends.
func (j *Journal) stop() {
	j.close(rcode.New(rcode.NotOwner, "jobs.Serve: this VM no longer serves shard %s", j.cfg.Shard), nil)
}

// close rejects further records and resolves all pending submissions. stored are
// the ids of the records that are known to be stored.
func (j *Journal) close(err error, stored map[string]bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closeErr == nil {
		j.closeErr = err
	}
	for id, s := range j.pending {
		switch {
		case stored[id]:
			j.resolveLocked(id, nil)
		case s.unconfirmedWrites > 0:
			// If the record was stored, the new owner may have deleted it since.
			j.resolveLocked(id, rcode.New(rcode.AcceptUnknown, "jobs.close: the store did not confirm job %s", id))
		default:
			j.resolveLocked(id, err)
		}
	}
	j.notifyWaitersLocked()
}

// newToken returns a random token that identifies one write of a bucket.
func newToken() string {
	b := make([]byte, 12)
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
