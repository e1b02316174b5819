package accept

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/engine"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 700 * time.Millisecond
	// retryDelay is the pause between attempts to reach the store or the owner.
	retryDelay = 50 * time.Millisecond
	// maxUnknownRetry is how long a write that may have taken effect is retried.
	maxUnknownRetry = time.Second
	// maxStoredReads bounds the attempts to read whether a job is stored.
	maxStoredReads = 2
	// maxCreatePeers bounds the number of VMs that are asked to write for this one.
	maxCreatePeers = 2
	// peerTimeout bounds a write by another VM.
	peerTimeout = 600 * time.Millisecond
	// peerProbeTimeout bounds the hello that checks whether another VM answers.
	peerProbeTimeout = 250 * time.Millisecond
	// maxReturnAge is how long after its arrival a request may be taken for that of a caller
	// that returns after a refusal. One that was held up for longer may be an earlier attempt.
	maxReturnAge = 500 * time.Millisecond
	// peerRetryDelay is how long a VM that did not answer is not asked again.
	peerRetryDelay = time.Second
)

// create stores a key unless it already exists, either directly or through another
// VM when the store does not answer this one. If nothing can have been written, it
// returns rcode.StoreUnavailable without waiting for the store, so that the caller
// can immediately try another VM, or the code with which a VM that has a later
// configuration refused. If a write may have taken effect, "not accepted" could be
// untrue: it then retries for maxUnknownRetry and returns the code unknown if the
// outcome is still not known. A job that another VM has refused since arrivedAt, when the
// request came, is refused with rcode.OverLimit: no write of it can take effect any more.
func (s *Service) create(ctx context.Context, c Call, key string, raw []byte, unknown rcode.Code, arrivedAt clock.Mono) rcode.Code {
	maybeStored := false
	refusal := int64(0)
	end := s.clk.Now().Add(maxUnknownRetry)
	for {
		code, revision := s.createOnce(ctx, c, key, raw, refusal)
		if code == rcode.OverLimit && revision != 0 && !maybeStored && refusal == 0 && s.clk.Now().Sub(arrivedAt) < maxReturnAge {
			// The request came after the refusal: its caller has returned.
			refusal = revision
			code, _ = s.createOnce(ctx, c, key, raw, refusal)
		}
		maybeStored = maybeStored || code == rcode.OutcomeUnknown
		switch {
		case code == rcode.OK || code == rcode.OverLimit:
			return code
		case !maybeStored:
			return code
		case ctx.Err() != nil || s.clk.Now() >= end:
			return unknown
		}
		select {
		case <-s.clk.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// createOnce tries to store a key once directly and then once through each peer. If
// no attempt succeeds, it returns rcode.OutcomeUnknown if any may have taken effect. With
// rcode.OverLimit it returns the revision of the job's refusal, if that is known.
func (s *Service) createOnce(ctx context.Context, c Call, key string, raw []byte, refusal int64) (rcode.Code, int64) {
	worst := rcode.StoreUnavailable
	switch code, revision := s.write(ctx, key, raw, refusal); code {
	case rcode.OK, rcode.OverLimit:
		return code, revision
	case rcode.OutcomeUnknown:
		worst = rcode.OutcomeUnknown
	default:
	}
	req := engine.CreateRequest{
		Key: key, Value: raw, Host: c.Host, Path: c.Path, APIKey: c.Key, RulesVersion: s.ruleSet.Load().Version(), RefusalRevision: refusal,
	}
	for _, addr := range s.peerAddrs() {
		if !s.peerAnswers(ctx, addr) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		code := s.cfg.Peers.Create(callCtx, addr, req)
		cancel()
		switch code {
		case rcode.OK, rcode.OverLimit:
			return code, refusal
		case rcode.OutcomeUnknown:
			worst = rcode.OutcomeUnknown
		case rcode.KeyMissing, rcode.QueueUnknown:
			if worst != rcode.OutcomeUnknown {
				return code, 0
			}
		default:
		}
	}
	return worst, 0
}

// Create stores a key for a VM that cannot reach the store. That VM may not have heard of a
// withdrawn API key or queue, so a later configuration of this VM decides.
func (s *Service) Create(ctx context.Context, req engine.CreateRequest) rcode.Code {
	if _, ok := engine.InboxID(req.Key); !ok {
		return rcode.BadRequest // whoever reaches the port of the VMs must not write other keys
	}
	if ruleSet := s.ruleSet.Load(); ruleSet != nil && req.RulesVersion > 0 && ruleSet.Version() > req.RulesVersion {
		if _, _, code := s.admit(Call{Host: req.Host, Path: req.Path, Key: req.APIKey}); code != rcode.OK {
			s.log.Warn("refused to store for a VM with an earlier configuration", zap.String("key", req.Key), zap.String("code", string(code)),
				zap.Int64("rules", ruleSet.Version()), zap.Int64("earlier_rules", req.RulesVersion))
			return code
		}
	}
	code, _ := s.write(ctx, req.Key, req.Value, req.RefusalRevision)
	return code
}

// write stores a key directly unless it already exists. It returns
// rcode.OutcomeUnknown when the write may still take effect, and sends nothing while
// the store appears unreachable. A job is stored only if the revision of its refusal is as
// given; otherwise write returns rcode.OverLimit and the revision that it has.
func (s *Service) write(ctx context.Context, key string, raw []byte, refusal int64) (rcode.Code, int64) {
	txn := store.NewTxn().If(key, 0).Put(key, raw)
	id, isJob := strings.CutPrefix(key, engine.JobPrefix)
	if isJob {
		txn.If(engine.RefusalPrefix+id, refusal)
	}
	stored, code := s.commit(ctx, txn)
	switch {
	case code != rcode.OK:
		return code, 0
	case stored:
		go s.notifyOwner(key, raw)
		return rcode.OK, 0
	case isJob:
		return s.whyNotStored(ctx, id)
	default:
		return rcode.OK, 0 // the key exists; it may have a value other than raw
	}
}

// peerAnswers reports whether another VM answers a hello, so that no write is sent
// to a VM that cannot be reached. A VM that did not answer is not asked again for
// peerRetryDelay.
func (s *Service) peerAnswers(ctx context.Context, addr string) bool {
	s.mu.Lock()
	skipped := s.clk.Now() < s.skipUntil[addr]
	s.mu.Unlock()
	if skipped {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
	defer cancel()
	_, err := s.cfg.Peers.Hello(callCtx, addr, s.helloRequest())
	if err == nil || rcode.Of(err) == rcode.NotOwner {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipUntil[addr] = s.clk.Now().Add(peerRetryDelay)
	return false
}

// jobStored reports whether a job's record is in the store.
func (s *Service) jobStored(ctx context.Context, id string) (bool, rcode.Code) {
	for range maxStoredReads {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := s.cfg.Store.Get(callCtx, engine.JobPrefix+id)
		cancel()
		switch {
		case err == nil:
			return true, rcode.OK
		case rcode.Of(err) == rcode.NotFound:
			return false, rcode.OK
		}
		select {
		case <-s.clk.After(retryDelay):
		case <-ctx.Done():
			return false, rcode.StoreUnavailable
		}
	}
	return false, rcode.StoreUnavailable
}

// jobExists reports whether a job is known to the owner or, failing that, stored.
func (s *Service) jobExists(ctx context.Context, id string) (bool, rcode.Code) {
	callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
	status, err := s.jobAtOwner(callCtx, id)
	cancel()
	if err == nil && status.Known {
		return true, rcode.OK
	}
	return s.jobStored(ctx, id)
}
