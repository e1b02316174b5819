package accept

import (
	"context"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/engine"
	"limpethitch.example/entry/graph"
)

// updateLoad takes the load from the owner's reply to a hello sent at sentAt.
func (s *Service) updateLoad(reply engine.HelloReply, sentAt clock.Mono) {
	load := reply.Load
	if reply.WithoutAuthority {
		load = nil
	}
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.gate.Update(load, sentAt, s.clk.Now())
}

// checkLoad decides whether a job is refused for load.
func (s *Service) checkLoad(job *graph.Job) admit.Decision {
	owner := ""
	if holder, ok := s.cfg.Elector.Owner(); ok {
		owner = holder.Name
	}
	rate := s.ruleSet.Load().Team(job.Team).Rate
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	return s.gate.Check(s.clk.Now(), owner, job, rate)
}

// storeOrRefuse stores a job, or refuses it and returns the decision.
func (s *Service) storeOrRefuse(ctx context.Context, c Call, job *graph.Job, raw []byte, arrivedAt clock.Mono) (rcode.Code, admit.Decision) {
	if load := s.checkLoad(job); load.Refused() {
		if code := s.refuse(ctx, job.ID); code != rcode.OutcomeUnknown {
			return code, load
		}
	}
	code := s.create(ctx, c, engine.JobPrefix+job.ID, raw, rcode.AcceptUnknown, arrivedAt)
	if code == rcode.OK {
		s.noteAccepted(job)
	}
	return code, admit.Decision{}
}

// maxCancelMarks bounds the tries to mark a job that is to be cancelled.
const maxCancelMarks = 2

// Values of the marks of refused jobs in the store.
const (
	refusedForLoad = "{}"
	// refusedCancelled marks a job that was cancelled while it was not stored. Its caller does not
	// return, so that a later attempt is one that was held up on its way.
	refusedCancelled = `{"cancelled":true}`
)

// refuseCancelled marks a job that is to be cancelled and is not stored, so that writes of it that
// were sent before and got no answer can't take effect any more. It returns rcode.JobUnknown, or
// rcode.OK if the job was stored meanwhile, rcode.OutcomeUnknown if the mark may be stored, and
// rcode.StoreUnavailable if it certainly is not.
func (s *Service) refuseCancelled(ctx context.Context, id string) rcode.Code {
	worst := rcode.StoreUnavailable
	for range maxCancelMarks {
		marked, code := s.commit(ctx, store.NewTxn().If(engine.JobPrefix+id, 0).Put(engine.RefusalPrefix+id, []byte(refusedCancelled)))
		switch {
		case code == rcode.OutcomeUnknown:
			worst = code
		case code != rcode.OK: // nothing was written by this try
		case marked:
			return rcode.JobUnknown
		default:
			return rcode.OK
		}
	}
	return worst
}

// noteAccepted counts an accepted job towards the load until the owner's next figures.
func (s *Service) noteAccepted(job *graph.Job) {
	s.gateMu.Lock()
	defer s.gateMu.Unlock()
	s.gate.Accepted(job)
}

// refuse marks a job as refused in the store and returns rcode.OverLimit. Writes of the job
// that were sent before the mark, also unanswered ones of other VMs, can then not take effect
// any more, so that the refusal is true. It returns rcode.OK if the job is stored already, and
// rcode.OutcomeUnknown if it is not known whether the mark is stored: the job must not be
// refused for load then.
func (s *Service) refuse(ctx context.Context, id string) rcode.Code {
	marked, code := s.commit(ctx, store.NewTxn().If(engine.JobPrefix+id, 0).Put(engine.RefusalPrefix+id, []byte(refusedForLoad)))
	switch {
	case code != rcode.OK:
		return rcode.OutcomeUnknown
	case marked:
		return rcode.OverLimit
	default:
		return rcode.OK
	}
}

// commit runs a transaction and reports whether its conditions held. It returns
// rcode.OutcomeUnknown when the transaction may still take effect, and sends nothing while
// the store appears unreachable.
func (s *Service) commit(ctx context.Context, txn *store.Txn) (bool, rcode.Code) {
	if !s.storeBreaker.allow(ctx) {
		return false, rcode.StoreUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	done := s.storeBreaker.begin()
	res, err := s.cfg.Store.Commit(callCtx, txn)
	done(err == nil)
	switch {
	case err == nil:
		return res.Succeeded(), rcode.OK
	case rcode.Of(err) == rcode.StoreUnavailable:
		return false, rcode.StoreUnavailable
	default:
		return false, rcode.OutcomeUnknown
	}
}

// whyNotStored returns rcode.OK if a job that could not be stored exists, or
// rcode.OverLimit and the revision of its refusal, 0 if it was cancelled. If neither can be read, the
// outcome is unknown.
func (s *Service) whyNotStored(ctx context.Context, id string) (rcode.Code, int64) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if code := s.readJob(ctx, id); code != rcode.NotFound {
		return code, 0
	}
	refusal, err := s.cfg.Store.Get(ctx, engine.RefusalPrefix+id)
	if err != nil {
		return rcode.OutcomeUnknown, 0
	}
	// The caller may have returned to another VM, which stored the job after the first read.
	if code := s.readJob(ctx, id); code != rcode.NotFound {
		return code, 0
	}
	if string(refusal.Value()) == refusedCancelled {
		return rcode.OverLimit, 0
	}
	return rcode.OverLimit, refusal.ModRevision()
}

// readJob returns rcode.OK if a job is stored, rcode.NotFound if not, and rcode.OutcomeUnknown if
// the store does not say.
func (s *Service) readJob(ctx context.Context, id string) rcode.Code {
	_, err := s.cfg.Store.Get(ctx, engine.JobPrefix+id)
	switch rcode.Of(err) {
	case rcode.OK, rcode.NotFound:
		return rcode.Of(err)
	default:
		return rcode.OutcomeUnknown
	}
}
