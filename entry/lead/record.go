package lead

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// CheckNow has Run read the record immediately, because the owner did not answer.
func (e *Elector) CheckNow() {
	select {
	case e.checkNow <- struct{}{}:
	default:
	}
}

// getRecord reads the record's key from the store.
func (e *Elector) getRecord(ctx context.Context) (store.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout)
	defer cancel()
	kv, err := e.cfg.Store.Get(ctx, RecordKey)
	e.adaptTimeout(ctx.Err() != nil)
	return kv, err
}

// adaptTimeout sets the timeout of the next call: longer after a call that timed out,
// otherwise minCallTimeout.
func (e *Elector) adaptTimeout(timedOut bool) {
	if timedOut {
		e.callTimeout = min(2*e.callTimeout, maxCallTimeout)
		return
	}
	e.callTimeout = minCallTimeout
}

// refresh reads the record and notes whether it has changed.
func (e *Elector) refresh(ctx context.Context) {
	sent := e.clk.Now()
	rec, rev, ok := e.readRecord(ctx)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isOwner {
		return
	}
	if e.lastContactAt == 0 || sent.Sub(e.lastContactAt) > maxContactGap || rev != e.rev {
		e.unchangedSince = e.clk.Now()
	}
	if rev != e.rev {
		e.revSeenAt = e.clk.Now()
	}
	if rec.Holder != e.rec.Holder || rec.Epoch != e.rec.Epoch {
		e.log.Info("new owner", zap.String("owner", rec.Holder.Name), zap.Int64("epoch", rec.Epoch))
		e.notifyChanged()
	}
	e.lastContactAt, e.rec, e.rev = e.clk.Now(), rec, rev
}

// notifyChanged sends a value to Changed unless one is already there.
func (e *Elector) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// renew writes a renewal and reports whether it certainly succeeded.
func (e *Elector) renew(ctx context.Context) bool {
	e.mu.Lock()
	next := e.rec
	next.Renewals++
	next.FormersEnded = next.FormersEnded || e.clk.Now().Sub(e.takenOverAt) >= formersEndTime
	rev := e.rev
	e.mu.Unlock()
	sent := e.clk.Now()
	newRev, ok := e.compareAndSwap(ctx, rev, next, false)
	if ok {
		e.mu.Lock()
		e.rec, e.rev, e.renewedAt = next, newRev, sent
		e.mu.Unlock()
		return true
	}
	e.verifyRenewal(ctx, next, sent)
	return false
}

// readRecord returns the record and its revision, which is 0 if there is no record. ok
// is false if the store did not answer.
func (e *Elector) readRecord(ctx context.Context) (rec record, rev int64, ok bool) {
	kv, err := e.getRecord(ctx)
	switch {
	case rcode.Of(err) == rcode.NotFound:
		return record{}, 0, true
	case err != nil:
		return record{}, 0, false
	}
	if err := json.Unmarshal(kv.Value(), &rec); err != nil {
		e.log.Error("failed to decode ownership record, treating it as released", zap.Error(err))
		// Each takeover takes a revision and raises the epoch by one, so no epoch that was
		// used is higher than the record's revision.
		rec = record{Released: true, Epoch: kv.ModRevision()}
	}
	return rec, kv.ModRevision(), true
}

// verifyRenewal reads the record after a renewal that did not succeed, which was sent
// at sentAt. The renewal may have taken effect with its reply lost, or another VM may
// be the owner.
func (e *Elector) verifyRenewal(ctx context.Context, renewal record, sentAt clock.Mono) {
	rec, rev, ok := e.readRecord(ctx)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case rec == renewal:
		e.rec, e.rev, e.renewedAt = rec, rev, sentAt
	case rec.Holder == e.cfg.Self && rec.Epoch == e.term.epoch && !rec.Released:
		// Another renewal of this term took effect, for example one that arrived late.
		e.rec, e.rev = rec, rev
	default:
		e.isOwner, e.rec, e.rev = false, rec, rev
		e.unchangedSince, e.revSeenAt, e.lastContactAt = e.clk.Now(), e.clk.Now(), e.clk.Now()
		e.log.Warn("lost ownership", zap.String("owner", rec.Holder.Name), zap.Int64("epoch", rec.Epoch))
		e.notifyChanged()
	}
}

// compareAndSwap writes the record if its revision is still rev, and TermKey with it in
// a takeover. It returns the new revision and whether the write certainly succeeded.
func (e *Elector) compareAndSwap(ctx context.Context, rev int64, next record, takeover bool) (int64, bool) {
	raw, err := json.Marshal(next)
	if err != nil {
		e.log.Error("failed to encode ownership record", zap.Error(err))
		return 0, false
	}
	txn := store.NewTxn().If(RecordKey, rev).Put(RecordKey, raw)
	if takeover {
		txn.Put(TermKey, raw)
	}
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout)
	defer cancel()
	res, err := e.cfg.Store.Commit(ctx, txn)
	e.adaptTimeout(ctx.Err() != nil)
	if err != nil && !e.writeFailed {
		e.log.Warn("failed to write ownership record", logs.Err(err)...)
	}
	e.writeFailed = err != nil
	return res.Revision(), err == nil && res.Succeeded()
}
