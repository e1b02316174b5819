package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/place"
)

// MemberState is the state of a member of a job on the shard to which it was
// offered.
type MemberState string

// States of offered members. MemberNotStarted means that the member never ran
// there and will not be started there. MemberNotFound means that the shard does
// not know the member. It does not run there, but it may have run before the
// shard changed its owner.
const (
	MemberPending        MemberState = "pending"
	MemberDone           MemberState = "done"
	MemberFailed         MemberState = "failed"
	MemberOutcomeUnknown MemberState = "unknown"
	MemberNotStarted     MemberState = "none"
	MemberNotFound       MemberState = "lost"
)

// offerTTL is how long an offered job may wait for its first start.
const offerTTL = 30 * time.Second

// endedRemoteJob is a job of another shard that ended here and is no longer in
// Cell.jobs.
type endedRemoteJob struct {
	doneMembers map[int]bool
	// acked is set once the home shard has stored the results.
	acked   bool
	endedAt clock.Mono
}

// retainForHomeLocked reports whether the worker must keep a completed task in
// its list, because the home shard of the job may not have stored the result
// yet. If the job is no longer held here (h is nil), it also records the result
// in endedRemoteJobs.
func (c *Cell) retainForHomeLocked(h *heldJob, job string, member int) bool {
	if h != nil {
		return h.homeShard != ""
	}
	now := c.deps.Clock.Now()
	ended := c.endedRemoteJobs[job]
	if ended == nil {
		ended = &endedRemoteJob{doneMembers: map[int]bool{}, endedAt: now}
		c.endedRemoteJobs[job] = ended
	}
	if ended.acked || now.Sub(ended.endedAt) > jobs.FinishedTTL {
		return false
	}
	ended.doneMembers[member] = true
	return true
}

// expireEndedRemoteJobsLocked deletes results for which no home shard polls.
// They are kept for twice FinishedTTL: after FinishedTTL the workers are told to
// delete the tasks, and a task that a worker still lists would create its entry
// anew.
func (c *Cell) expireEndedRemoteJobsLocked(now clock.Mono) {
	for job, o := range c.endedRemoteJobs {
		if now.Sub(o.endedAt) > 2*jobs.FinishedTTL {
			delete(c.endedRemoteJobs, job)
		}
	}
}

// delegateLocked offers a job that does not fit on this shard to another one.
func (c *Cell) delegateLocked(ctx context.Context, h *heldJob) {
	now := c.deps.Clock.Now()
	if h.opPending || h.homeShard != "" || h.rec.State.Final() {
		c.placement.OfferDeclined(h.rec.ID, now)
		return
	}
	members := h.pendingMembers(c.runs)
	gang := h.rec.Class == policy.ClassGang
	shard, ok := c.deps.RemoteShards.Pick(h.rec.Spec.Size, len(members), gang, c.cfg.Shard)
	if !ok || len(members) != h.rec.Remaining() {
		// A job is not split between shards: one with running tasks stays here.
		c.placement.OfferDeclined(h.rec.ID, now)
		return
	}
	c.placement.Cancel(h.rec.ID)
	h.inPlacement, h.opPending = false, true
	h.rec.Delegated = shard
	h.rec.Attempted = h.rec.Attempted || !h.rec.Spec.Repeatable
	for _, m := range members {
		h.remoteMembers[m] = true
	}
	c.journal.Update(h.rec)
	rec := h.rec.Clone()
	startBy := c.deps.Clock.Wall().Add(offerTTL)
	h.offerExpiresAt = startBy
	c.spawn(func() { c.sendOffer(ctx, h, rec, shard, members, startBy) })
}

// maxEvacuations limits the jobs that one maintenance round offers to other
// shards.
const maxEvacuations = 256

// evacuateLocked moves queued jobs to shards in service while the data centre
// is out of service. Placement does not decide offers then.
func (c *Cell) evacuateLocked(ctx context.Context) {
	remaining := maxEvacuations
	for _, h := range c.jobs {
		if remaining == 0 {
			return
		}
		if h.inPlacement && h.homeShard == "" && !h.opPending && c.deps.Clock.Now() >= h.nextOfferAt && c.runCount(h) == 0 {
			c.delegateLocked(ctx, h)
			remaining--
		}
	}
}

// pendingMembers returns the members that neither completed nor run here.
func (h *heldJob) pendingMembers(runs map[string]*run) []int {
	var out []int
	for m := range h.rec.Spec.Members {
		if !h.rec.IsFinished(m) && runs[place.TaskID(h.rec.ID, m)] == nil {
			out = append(out, m)
		}
	}
	return out
}

// sendOffer waits until the target shard is stored in the job's record before
// it sends the offer, so that the next owner of this shard polls that shard
// too.
func (c *Cell) sendOffer(ctx context.Context, h *heldJob, rec *jobs.Record, shard string, members []int, startBy time.Time) {
	octx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	err := c.journal.WaitStored(octx, rec.ID)
	if err == nil {
		err = c.deps.RemoteShards.Offer(octx, shard, c.cfg.Shard, rec, members, startBy)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.opPending = false
	if rcode.Of(err).NotRun() {
		clear(h.remoteMembers)
		h.nextOfferAt = c.deps.Clock.Now().Add(place.DefaultOfferAfter)
		c.clearDelegationLocked(h)
		c.enqueueLocked(h)
		return
	}
	if err == nil {
		h.offerExpiresAt = time.Time{}
	}
	// After a lost reply the members stay remote. Polling determines their
	// states.
	c.deps.Log.Info("job offered", append(logs.Err(err), zap.String("id", rec.ID), zap.String("to", shard))...)
}

// clearDelegationLocked records that the remaining members certainly did not
// run on another shard.
func (c *Cell) clearDelegationLocked(h *heldJob) {
	h.rec.Delegated, h.offerExpiresAt = "", time.Time{}
	if !h.rec.State.Final() {
		h.rec.Attempted = h.rec.Attempted && h.rec.Spec.Repeatable
	}
	c.journal.Update(h.rec)
}

// resumePollingLocked resumes polling of a delegated job after a takeover of
// its home shard.
func (c *Cell) resumePollingLocked(h *heldJob) {
	h.opPending = false
	h.offerExpiresAt = c.deps.Clock.Wall().Add(offerTTL)
	for _, m := range h.pendingMembers(c.runs) {
		h.remoteMembers[m] = true
	}
}

// pollDelegatedJobs polls the shards to which jobs were delegated.
func (c *Cell) pollDelegatedJobs(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.jobs {
		if len(h.remoteMembers) == 0 || h.opPending || h.homeShard != "" {
			continue
		}
		h.opPending = true
		members := make([]int, 0, len(h.remoteMembers))
		for m := range h.remoteMembers {
			members = append(members, m)
		}
		id, shard, stop := h.rec.ID, h.rec.Delegated, h.rec.State.Final()
		c.spawn(func() { c.pollDelegatedJob(ctx, h, id, shard, members, stop) })
	}
}

func (c *Cell) pollDelegatedJob(ctx context.Context, h *heldJob, id, shard string, members []int, stop bool) {
	pctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	states, err := c.deps.RemoteShards.Poll(pctx, shard, c.cfg.Shard, id, members, stop, false)
	if err == nil && c.applyMemberStates(h, states) {
		if c.journal.WaitStored(pctx, id) == nil {
			// The other shard may forget only stored results. If this call is
			// lost, the other shard's own expiry deletes them.
			_, _ = c.deps.RemoteShards.Poll(pctx, shard, c.cfg.Shard, id, members, stop, true)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.opPending = false
	if len(h.remoteMembers) == 0 {
		c.enqueueLocked(h)
	}
}

// applyMemberStates applies the states reported by another shard. It reports
// whether anything changed that has to be stored.
func (c *Cell) applyMemberStates(h *heldJob, states map[int]MemberState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := len(h.remoteMembers)
	for m, s := range states {
		if !h.remoteMembers[m] {
			continue
		}
		if s != MemberNotFound {
			h.offerExpiresAt = time.Time{}
		}
		switch s {
		case MemberDone:
			delete(h.remoteMembers, m)
			c.memberDoneLocked(h, m)
		case MemberFailed:
			delete(h.remoteMembers, m)
			c.endJobLocked(h, jobs.StateFailed, rcode.JobFailed, "failed on shard "+h.rec.Delegated)
		case MemberOutcomeUnknown:
			delete(h.remoteMembers, m)
			c.endJobLocked(h, jobs.StateUnknown, rcode.OutcomeUnknown, "may have run on shard "+h.rec.Delegated)
		case MemberNotStarted:
			delete(h.remoteMembers, m)
		case MemberNotFound:
			c.memberNotFoundLocked(h, m)
		case MemberPending:
			if h.rec.State == jobs.StateWaiting {
				h.rec.State = jobs.StateRunning
			}
		}
	}
	if len(h.remoteMembers) == 0 && h.rec.Delegated != "" {
		c.clearDelegationLocked(h)
	}
	return len(h.remoteMembers) < before
}

// memberNotFoundLocked handles a member that the other shard does not know. The
// answer is inconclusive while an offer may still arrive there.
func (c *Cell) memberNotFoundLocked(h *heldJob, m int) {
	if !c.deps.Clock.Wall().After(h.offerExpiresAt.Add(2 * MaxClockSkew)) {
		return
	}
	delete(h.remoteMembers, m)
	if !h.rec.Spec.Repeatable {
		c.endJobLocked(h, jobs.StateUnknown, rcode.OutcomeUnknown, "may have run on shard "+h.rec.Delegated+", which changed its owner")
	}
}

// AcceptOffer accepts members of a job that another shard stores. It accepts
// either all members or none.
func (c *Cell) AcceptOffer(rec *jobs.Record, home string, members []int, startBy time.Time) error {
	if !c.recovered.Load() || c.frozen.Load() {
		return rcode.New(rcode.NoOwner, "shard %s does not accept offers now", c.cfg.Shard)
	}
	if err := c.checkStart(rec); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deps.Clock.Wall().After(startBy) {
		return rcode.New(rcode.DeadlinePassed, "the offer of job %s arrived after its deadline", rec.ID)
	}
	if h := c.jobs[rec.ID]; h != nil {
		switch {
		case h.homeShard != home:
			return rcode.New(rcode.IDReused, "job %s already exists on this shard", rec.ID)
		case h.rec.State != jobs.StateCancelled || c.runCount(h) > 0:
			return nil // The offer arrived twice.
		}
		// The job was returned before and is offered again.
		delete(c.jobs, rec.ID)
	}
	if c.placement.CountFitting(rec.Team, rec.Spec.Size, 1) == 0 {
		return rcode.New(rcode.NoCapacity, "shard %s has no free capacity", c.cfg.Shard)
	}
	h := newHeldJob(rec.Clone())
	h.homeShard, h.startBy = home, startBy
	h.rec.State, h.rec.Delegated = jobs.StateWaiting, ""
	offered := map[int]bool{}
	for _, m := range members {
		offered[m] = true
	}
	for m := range rec.Spec.Members {
		if !offered[m] {
			h.rec.MarkFinished(m)
		}
	}
	c.jobs[rec.ID] = h
	c.enqueueLocked(h)
	if !h.inPlacement {
		delete(c.jobs, rec.ID)
		return rcode.New(rcode.NoCapacity, "shard %s cannot run the job", c.cfg.Shard)
	}
	c.wake()
	return nil
}

// PollMembers returns the states of members that a home shard offered. stop
// ends the job. ack allows this shard to forget a job that has ended here.
func (c *Cell) PollMembers(home, job string, members []int, stop, ack bool) (map[int]MemberState, error) {
	if !c.recovered.Load() {
		return nil, rcode.New(rcode.NoOwner, "shard %s is still recovering its tasks", c.cfg.Shard)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.jobs[job]
	if h != nil && h.homeShard != home {
		return nil, rcode.New(rcode.IDReused, "job %s does not belong to shard %s", job, home)
	}
	if h != nil && stop {
		c.stopJobLocked(h, jobs.StateCancelled, rcode.JobCancelled, "by its home shard")
	}
	out := make(map[int]MemberState, len(members))
	for _, m := range members {
		out[m] = c.memberStateLocked(h, job, m)
	}
	if ack && (h == nil && c.endedRemoteJobs[job] != nil || h != nil && h.rec.State.Final() && c.runCount(h) == 0) {
		delete(c.jobs, job)
		c.endedRemoteJobs[job] = &endedRemoteJob{acked: true, endedAt: c.deps.Clock.Now()}
	}
	return out, nil
}

func (c *Cell) memberStateLocked(h *heldJob, job string, m int) MemberState {
	switch {
	case c.runs[place.TaskID(job, m)] != nil:
		return MemberPending
	case h == nil && c.endedRemoteJobs[job] != nil && c.endedRemoteJobs[job].doneMembers[m]:
		return MemberDone
	case h == nil:
		return MemberNotFound
	case h.rec.IsFinished(m):
		return MemberDone
	}
	switch h.rec.State {
	case jobs.StateFailed:
		return MemberFailed
	case jobs.StateUnknown:
		return MemberOutcomeUnknown
	case jobs.StateCancelled, jobs.StateDone:
		return MemberNotStarted
	case jobs.StateWaiting, jobs.StateRunning:
	}
	return MemberPending
}

// expireOffersLocked returns offered jobs to their home shards if none of their
// tasks started before startBy or the data centre is out of service.
func (c *Cell) expireOffersLocked(wall time.Time) {
	for _, h := range c.jobs {
		if h.homeShard == "" || h.rec.State != jobs.StateWaiting || c.inService() && !wall.After(h.startBy) || c.runCount(h) > 0 {
			continue
		}
		if c.placement.Cancel(h.rec.ID) {
			c.endJobLocked(h, jobs.StateCancelled, rcode.NoCapacity, "not started in time")
		}
	}
}
