package engine

import (
	"context"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/lead"
)

// refusalSweep removes the refusals of jobs from the store once no write that was sent before
// them can still take effect. Their age is known from two lists and not from a clock, as they
// are written by other VMs.
type refusalSweep struct {
	// seen holds the refusals of the last list, by key, with their revisions.
	seen map[string]int64
	// removable holds those that had not changed between two lists.
	removable []store.KV
	// listAt is when they are listed next.
	listAt  clock.Mono
	working bool
}

const (
	// refusalSweepInterval is the time between two lists. A refusal is kept for at least as
	// long; writes take effect seconds after they were sent at the latest.
	refusalSweepInterval = time.Minute
	// maxSweepKeys bounds the refusals removed in one write: the platform accepts 32
	// entries, two for each key and one for the condition on the term.
	maxSweepKeys = 15
	sweepTimeout = 5 * time.Second
)

// sweepRefusals lists the refusals when that is due, or removes some of them.
func (e *Engine) sweepRefusals(t *term) {
	s := &t.refusals
	now := e.clk.Now()
	if s.listAt == 0 {
		s.listAt = t.begunAt.Add(refusalSweepInterval)
	}
	switch {
	case s.working:
	case len(s.removable) > 0:
		n := min(len(s.removable), maxSweepKeys)
		batch := s.removable[:n]
		s.removable = s.removable[n:]
		e.sweepAsync(t, func(ctx context.Context) error { return e.removeRefusals(ctx, t, batch) })
	case now >= s.listAt:
		s.listAt = now.Add(refusalSweepInterval)
		e.sweepAsync(t, func(ctx context.Context) error {
			kvs, _, err := e.cfg.Store.List(ctx, RefusalPrefix)
			if err == nil {
				e.post(func() { s.listed(kvs) })
			}
			return err
		})
	}
}

// sweepAsync runs one call to the store outside the loop.
func (e *Engine) sweepAsync(t *term, f func(context.Context) error) {
	t.refusals.working = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, sweepTimeout)
		defer cancel()
		if err := e.guarded("refusals", func() error { return f(ctx) }); err != nil && t.ctx.Err() == nil {
			e.log.Warn("failed to remove old refusals, retrying", logs.Err(err)...)
		}
		e.post(func() { t.refusals.working = false })
	}()
}

// listed takes a new list of the refusals.
func (s *refusalSweep) listed(kvs []store.KV) {
	seen := make(map[string]int64, len(kvs))
	for _, kv := range kvs {
		seen[kv.Key()] = kv.ModRevision()
		if s.seen[kv.Key()] == kv.ModRevision() {
			s.removable = append(s.removable, store.NewKV(kv.Key(), nil, kv.ModRevision()))
		}
	}
	s.seen = seen
}

// removeRefusals removes refusals on the condition that none was renewed. Otherwise it
// leaves all of them for the next list.
func (e *Engine) removeRefusals(ctx context.Context, t *term, batch []store.KV) error {
	txn := store.NewTxn().If(lead.TermKey, t.Token())
	for _, kv := range batch {
		txn.If(kv.Key(), kv.ModRevision()).Delete(kv.Key())
	}
	_, err := e.cfg.Store.Commit(ctx, txn)
	return err
}
