package accept

import (
	"context"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/engine"
)

const (
	storeTimeout = 700 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	// avoidFor is how long after a failure this VM's own way to the store is not
	// tried first.
	avoidFor = 400 * time.Millisecond
	// uncertainFor is how long a write that may have taken effect is tried again.
	uncertainFor = time.Second
	// existsTries bounds the reads that tell whether a job is stored.
	existsTries = 2
	// createTries bounds the VMs that are asked to write for this one.
	createTries = 2
	peerTimeout = 600 * time.Millisecond
)

// create stores a key unless it exists already: over this VM's own way to the
// store, or by another VM when the store does not answer this one. When nothing can
// have been written it does not wait for the store to come back: the caller is told
// at once, and may go elsewhere. When a write may have taken effect it tries for
// uncertainFor to find out, since "not accepted" would be untrue; an outcome that
// stays unknown is answered with the code given.
func (d *Desk) create(ctx context.Context, key string, raw []byte, unknown rcode.Code) rcode.Code {
	maybe := false
	end := d.clk.Now().Add(uncertainFor)
	for {
		code := d.createAnywhere(ctx, key, raw)
		maybe = maybe || code == rcode.OutcomeUnknown
		switch {
		case code == rcode.OK:
			return rcode.OK
		case !maybe:
			return rcode.StoreUnavailable
		case ctx.Err() != nil || d.clk.Now() >= end:
			return unknown
		}
		select {
		case <-d.clk.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// createAnywhere tries each way to the store once.
func (d *Desk) createAnywhere(ctx context.Context, key string, raw []byte) rcode.Code {
	worst := rcode.StoreUnavailable
	if !d.avoiding() {
		switch d.Create(ctx, key, raw) {
		case rcode.OK:
			return rcode.OK
		case rcode.OutcomeUnknown:
			worst = rcode.OutcomeUnknown
		default:
		}
	}
	for _, addr := range d.others() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		code := d.cfg.Remote.Create(call, addr, key, raw)
		cancel()
		switch code {
		case rcode.OK:
			return rcode.OK
		case rcode.OutcomeUnknown:
			worst = rcode.OutcomeUnknown
		default:
		}
	}
	return worst
}

// Create stores a key unless it exists already, over this VM's own way to the
// store. It returns rcode.OutcomeUnknown when the write may still take effect.
func (d *Desk) Create(ctx context.Context, key string, raw []byte) rcode.Code {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := d.cfg.Store.Commit(call, store.NewTxn().If(key, 0).Put(key, raw))
	switch {
	case err == nil:
		d.answered.Store(int64(d.clk.Now()))
		if res.Done() {
			// A key that existed may hold another value than raw.
			go d.deliver(key, raw)
		}
		return rcode.OK
	case rcode.Of(err) == rcode.StoreUnavailable:
		d.failed.Store(int64(d.clk.Now()))
		return rcode.StoreUnavailable
	default:
		d.failed.Store(int64(d.clk.Now()))
		return rcode.OutcomeUnknown
	}
}

// avoiding reports whether the store did not answer this VM a moment ago.
func (d *Desk) avoiding() bool {
	failed := d.failed.Load()
	return failed > d.answered.Load() && d.clk.Now().Sub(clock.Mono(failed)) < avoidFor
}

// exists reports whether a job is stored.
func (d *Desk) exists(ctx context.Context, id string) (bool, rcode.Code) {
	for range existsTries {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := d.cfg.Store.Get(call, engine.JobPrefix+id)
		cancel()
		switch {
		case err == nil:
			return true, rcode.OK
		case rcode.Of(err) == rcode.NotFound:
			return false, rcode.OK
		}
		select {
		case <-d.clk.After(retryPause):
		case <-ctx.Done():
			return false, rcode.StoreUnavailable
		}
	}
	return false, rcode.StoreUnavailable
}

// knows reports whether there is a job, by the owner's word or by the store's.
func (d *Desk) knows(ctx context.Context, id string) (bool, rcode.Code) {
	call, cancel := context.WithTimeout(ctx, ownerPatience)
	a, err := d.askOwner(call, id)
	cancel()
	if err == nil && a.Known {
		return true, rcode.OK
	}
	return d.exists(ctx, id)
}
