package lead

import (
	"context"

	"go.uber.org/zap"
)

// Release gives up ownership for good, so that another VM may take over immediately.
// It returns when the release is stored or ctx ends. Run must be running.
func (e *Elector) Release(ctx context.Context) {
	e.mu.Lock()
	owner := e.isOwner
	e.isOwner, e.released = false, true
	e.mu.Unlock()
	e.notifyChanged()
	if !owner {
		return
	}
	e.requestRelease()
	select {
	case <-e.releaseDone:
	case <-ctx.Done():
		e.log.Warn("failed to release ownership in time")
	}
}

// requestRelease has Run write the release.
func (e *Elector) requestRelease() {
	select {
	case e.releaseRequests <- struct{}{}:
	default:
	}
}

// Resign gives up ownership in favour of a VM that is better suited. This VM takes over
// again after resignBackoff if no other VM has done so.
func (e *Elector) Resign() {
	e.mu.Lock()
	owner := e.isOwner
	e.isOwner = false
	e.takeoverBlockedUntil = e.clk.Now().Add(resignBackoff)
	e.mu.Unlock()
	if owner {
		e.notifyChanged()
		e.requestRelease()
	}
}

// writeRelease tries once to write the record as released, unless another VM has changed it.
// It returns false if the release is not stored yet and must be tried again: while the store
// is away, a VM that stops would otherwise leave a record that others wait for.
func (e *Elector) writeRelease(ctx context.Context) (done bool) {
	defer func() {
		if done {
			e.releaseDoneOnce.Do(func() { close(e.releaseDone) })
		}
	}()
	// The release must also be stored while the store is slow.
	e.callTimeout = maxCallTimeout
	e.mu.Lock()
	next, rev := e.rec, e.rev
	e.mu.Unlock()
	if next.Holder != e.cfg.Self || next.Released {
		return true
	}
	next.Released = true
	if _, ok := e.compareAndSwap(ctx, rev, next, false); ok {
		e.log.Info("released ownership", zap.Int64("epoch", next.Epoch))
		return true
	}
	rec, readRev, ok := e.readRecord(ctx)
	if !ok {
		return false
	}
	if rec.Epoch != next.Epoch {
		return true
	}
	e.mu.Lock()
	e.rec, e.rev = rec, readRev
	e.mu.Unlock()
	return rec.Released
}

// Superseded ends the term with the given epoch, because one of its conditional writes
// failed: another VM has taken over.
func (e *Elector) Superseded(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isOwner && e.term.epoch == epoch {
		e.isOwner, e.unchangedSince, e.revSeenAt, e.lastContactAt = false, 0, e.clk.Now(), 0
		e.log.Warn("lost ownership", zap.Int64("epoch", epoch))
		e.notifyChanged()
	}
}

// TransferRequested records that the holder from asks this VM to take over ownership.
func (e *Elector) TransferRequested(from Holder) {
	e.mu.Lock()
	e.transferFrom = from.Addr
	e.mu.Unlock()
	e.CheckNow()
}
