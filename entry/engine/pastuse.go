package engine

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/usage"
)

// UsageKey holds the past use of all client accounts. Its name stays: other builds read it.
const UsageKey = "owner/usage"

const (
	// pastUseWriteInterval is the time between two writes of the past use, and between two
	// attempts to read it. With pastUseTimeout it bounds the use that is lost with the owner.
	pastUseWriteInterval = 15 * time.Second
	pastUseTimeout       = time.Second
	// pastUseLogInterval is the time between two groups of log lines about the accounts above
	// level 0, maxPastUseLines the size of a group.
	pastUseLogInterval = time.Minute
	maxPastUseLines    = 8
)

// pastUse is how far the past use of a term is read and stored.
type pastUse struct {
	// known is whether the use that a former owner stored is included, or cannot be read.
	// Until then nothing is written, so that what is stored is not replaced by less.
	known, busy bool
	nextCallAt  clock.Mono
	readFailed  bool   // and was logged
	stored      []byte // as last written or read
	loggedAt    clock.Mono
}

// readPastUse reads what the former owner stored. The term goes on meanwhile.
func (e *Engine) readPastUse(t *term) {
	if t.state.PastUse() == nil {
		return
	}
	p := &t.pastUse
	p.busy, p.nextCallAt = true, e.clk.Now().Add(pastUseWriteInterval)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, pastUseTimeout)
		defer cancel()
		var kv store.KV
		err := e.guarded("past use", func() (err error) {
			kv, err = e.cfg.Store.Get(ctx, UsageKey)
			return err
		})
		e.post(func() {
			if e.term == t {
				e.applyPastUse(t, kv, err)
			}
		})
	}()
}

// applyPastUse adds what was read to the past use of the term.
func (e *Engine) applyPastUse(t *term, kv store.KV, err error) {
	p := &t.pastUse
	p.busy = false
	if err != nil && rcode.Of(err) != rcode.NotFound {
		if !p.readFailed {
			e.log.Warn("failed to read past use, retrying", append(logs.Err(err), zap.Int64("epoch", t.Epoch()))...)
		}
		p.readFailed = true
		return
	}
	p.known = true
	if err != nil {
		e.log.Info("no past use stored", zap.Int64("epoch", t.Epoch()))
		return
	}
	rec, err := usage.Decode(kv.Value(), t.Epoch())
	if err != nil {
		e.log.Warn("past use ignored", append(logs.Err(err), zap.Int64("epoch", t.Epoch()))...)
		return
	}
	p.stored = kv.Value()
	t.state.PastUse().Restore(rec)
	e.log.Info("past use read", zap.Int("accounts", rec.Len()), zap.Int64("epoch", t.Epoch()))
}

// syncPastUse reads the past use again if that failed, and stores it if it has changed.
func (e *Engine) syncPastUse(t *term) {
	p := &t.pastUse
	if t.state.PastUse() == nil || p.busy || e.clk.Now() < p.nextCallAt {
		return
	}
	if !p.known {
		e.readPastUse(t)
		return
	}
	p.nextCallAt = e.clk.Now().Add(pastUseWriteInterval)
	raw := t.state.PastUse().Encode(t.Epoch())
	if bytes.Equal(raw, p.stored) {
		return
	}
	p.busy = true
	go func() {
		ok := e.storePastUse(t, raw)
		e.post(func() {
			p.busy = false
			if ok {
				p.stored = raw
			}
		})
	}()
}

// storePastUse writes the past use unless another VM has taken over. A write that fails is
// not repeated: the next one includes it.
func (e *Engine) storePastUse(t *term, raw []byte) bool {
	// The last write of a term is sent when its context has ended.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), pastUseTimeout)
	defer cancel()
	var res store.Result
	err := e.guarded("past use", func() (err error) {
		res, err = e.cfg.Store.Commit(ctx, store.NewTxn().If(lead.TermKey, t.Token()).Put(UsageKey, raw))
		return err
	})
	switch {
	case err != nil:
		e.log.Warn("failed to store past use", append(logs.Err(err), zap.Int64("epoch", t.Epoch()))...)
	case !res.Succeeded():
		e.log.Info("past use not stored, another VM has taken over", zap.Int64("epoch", t.Epoch()))
	}
	return err == nil && res.Succeeded()
}

// storeLastPastUse stores the past use at the end of a term. If the term ends because another
// VM has taken over, the write is refused.
func (e *Engine) storeLastPastUse(t *term) {
	if t.state.PastUse() == nil || !t.pastUse.known {
		return
	}
	if raw := t.state.PastUse().Encode(t.Epoch()); !bytes.Equal(raw, t.pastUse.stored) {
		go e.storePastUse(t, raw)
	}
}

// reportPastUse updates the metrics, and logs once a minute the accounts whose work stands
// behind that of others.
func (e *Engine) reportPastUse(t *term) {
	accounts := t.state.PastUse().Accounts()
	e.cfg.Metrics.SetPastUse(accounts)
	now := e.clk.Now()
	if t.pastUse.loggedAt != 0 && now.Sub(t.pastUse.loggedAt) < pastUseLogInterval {
		return
	}
	t.pastUse.loggedAt = now
	for i, a := range accounts {
		if a.Level == 0 || i == maxPastUseLines {
			return
		}
		e.log.Info("past use", zap.String("team", a.Name), zap.Float64("share", a.Share), zap.Float64("weight", a.Weight),
			zap.Float64("ratio", a.Ratio), zap.Int("level", a.Level), zap.Int64("epoch", t.Epoch()))
	}
}
