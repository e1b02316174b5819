package cell

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/place"
)

// placementJob converts a record for placement. It also converts the deadline
// from wall time to this VM's monotonic clock.
func (c *Cell) placementJob(r *jobs.Record) place.Job {
	j := place.NewJob(r.ID, r.Team, r.Class, r.Spec.Members, r.Spec.Size).
		WithKind(r.Spec.Kind).WithRunTime(time.Duration(r.Spec.RunMS) * time.Millisecond).WithRepeatable(r.Spec.Repeatable)
	if r.Spec.DeadlineMS > 0 {
		left := time.UnixMilli(r.Spec.DeadlineMS).Sub(c.deps.Clock.Wall())
		j = j.WithDeadline(max(1, c.deps.Clock.Now().Add(left)))
	}
	return j
}

// Submit stores and enqueues a job. It returns the record stored under the id.
// If the same job was submitted before, that is the record of the first
// submission.
func (c *Cell) Submit(ctx context.Context, rec *jobs.Record) (*jobs.Record, error) {
	if !c.jobsLoaded.Load() {
		return nil, rcode.New(rcode.NoOwner, "shard %s is still loading its jobs", c.cfg.Shard)
	}
	if c.frozen.Load() {
		return nil, rcode.New(rcode.Draining, "shard %s is moving to another VM", c.cfg.Shard)
	}
	h, sub, err := c.reserveID(rec)
	if err != nil {
		return nil, err
	}
	if sub == nil {
		return c.awaitFirstSubmission(ctx, h, rec)
	}
	if err := sub.Wait(ctx); err != nil {
		c.abandonSubmission(h, err)
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueueLocked(h)
	c.wake()
	return h.rec.Clone(), nil
}

// reserveID reserves the job's id and proposes the record. If a job already has
// the id, it returns that job and no submission. Both steps happen under the
// lock, so that a subsequent cancel replaces the proposed record and not the
// other way round.
func (c *Cell) reserveID(rec *jobs.Record) (*heldJob, *jobs.Submission, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.jobs[rec.ID]; h != nil {
		if h.rec.Hash != rec.Hash || h.homeShard != "" {
			return nil, nil, rcode.New(rcode.IDReused, "id %s was already used for another job", rec.ID)
		}
		return h, nil, nil
	}
	if err := c.checkFits(rec); err != nil {
		return nil, nil, err
	}
	sub, err := c.journal.Propose(rec)
	if err != nil {
		return nil, nil, err
	}
	h := newHeldJob(rec)
	h.opPending = true // Until the record is stored.
	c.jobs[rec.ID] = h
	return h, sub, nil
}

func newHeldJob(rec *jobs.Record) *heldJob {
	return &heldJob{rec: rec, remoteMembers: map[int]bool{}, attempts: map[int]int64{}, checkpoints: map[int]int64{}, done: make(chan struct{})}
}

// checkFits rejects a job that no shard can ever run.
func (c *Cell) checkFits(rec *jobs.Record) error {
	maxTasks := c.deps.MaxTasksPerShard(rec.Spec.Size)
	if maxTasks == 0 {
		return rcode.New(rcode.Unschedulable, "no worker in service can run a task of size %v", rec.Spec.Size)
	}
	if rec.Class == policy.ClassGang && rec.Spec.Members > maxTasks {
		return rcode.New(rcode.Unschedulable, "a gang must run within one shard; the largest shard in service can run %d tasks of size %v, the gang has %d",
			maxTasks, rec.Spec.Size, rec.Spec.Members)
	}
	b := c.deps.LatestPolicy()
	t, ok := b.Team(rec.Team)
	if !ok || !rec.Spec.Size.Fits(t.Limit()) {
		return rcode.New(rcode.Unschedulable, "the limit of team %s is below one task of size %v", rec.Team, rec.Spec.Size)
	}
	return nil
}

// awaitFirstSubmission returns the outcome of the first submission of an id to
// a caller that submitted the same job again.
func (c *Cell) awaitFirstSubmission(ctx context.Context, h *heldJob, rec *jobs.Record) (*jobs.Record, error) {
	for {
		c.mu.Lock()
		current := c.jobs[rec.ID]
		settled := current != h || !h.opPending || h.inPlacement
		stored := h.rec.Clone()
		c.mu.Unlock()
		if current != h {
			return nil, rcode.New(rcode.StoreUnavailable, "the first submission of id %s was not accepted", rec.ID)
		}
		if settled {
			return stored, nil
		}
		select {
		case <-ctx.Done():
			return nil, rcode.New(rcode.AcceptUnknown, "the outcome of the first submission of id %s is not known yet", rec.ID)
		case <-c.deps.Clock.After(decideInterval):
		}
	}
}

// abandonSubmission removes a job that was not stored. A job that may be stored
// is kept and run, so that a later query finds it.
func (c *Cell) abandonSubmission(h *heldJob, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rcode.Is(err, rcode.AcceptUnknown) {
		c.enqueueLocked(h)
		return
	}
	delete(c.jobs, h.rec.ID)
}

// enqueueLocked passes a stored job to placement.
func (c *Cell) enqueueLocked(h *heldJob) {
	h.opPending = false
	if h.rec.State.Final() || h.inPlacement {
		return
	}
	if err := c.placement.Add(c.placementJob(h.rec), c.deps.Clock.Now()); err != nil {
		c.endJobLocked(h, jobs.StateFailed, rcode.Of(err), err.Error())
		return
	}
	h.inPlacement = true
	now := c.deps.Clock.Now()
	for m := range h.rec.Spec.Members {
		if h.rec.IsFinished(m) {
			c.placement.TaskEnded(place.TaskID(h.rec.ID, m), place.OutcomeDone, now)
		}
	}
}

// endJobLocked moves a job to the terminal state s.
func (c *Cell) endJobLocked(h *heldJob, s jobs.State, code rcode.Code, reason string) {
	if h.rec.State.Final() {
		return
	}
	h.rec.State, h.rec.Code, h.rec.Reason = s, code, reason
	h.rec.EndedMS = c.deps.Clock.Wall().UnixMilli()
	if h.inPlacement {
		c.placement.Cancel(h.rec.ID)
	}
	h.inPlacement = false
	close(h.done)
	if h.homeShard == "" {
		c.journal.Update(h.rec)
	}
	c.deps.Log.Info("job ended", zap.String("id", h.rec.ID), zap.String("team", h.rec.Team),
		zap.String("state", string(s)), zap.String("code", string(code)), zap.String("reason", reason))
}

// Job returns a job of the team. It first cancels the job if cancel is set, and
// then waits until the job ends or the wall time waitUntil is reached.
func (c *Cell) Job(ctx context.Context, id, team string, cancel bool, waitUntil time.Time) (*jobs.Record, error) {
	if !c.jobsLoaded.Load() {
		return nil, rcode.New(rcode.NoOwner, "shard %s is still loading its jobs", c.cfg.Shard)
	}
	c.mu.Lock()
	h := c.jobs[id]
	// A job of an open queue has no key. Any caller who knows its id may read it.
	if h == nil || h.homeShard != "" || (h.rec.Team != team && team != jobs.AnyTeam && h.rec.Key != "") {
		c.mu.Unlock()
		return nil, rcode.New(rcode.JobUnknown, "job %s does not exist", id)
	}
	if cancel {
		c.cancelJobLocked(h)
	}
	done := h.done
	c.mu.Unlock()
	if left := waitUntil.Sub(c.deps.Clock.Wall()); left > 0 {
		select {
		case <-done:
		case <-ctx.Done():
		case <-c.deps.Clock.After(left):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := h.rec.Clone()
	if reason := c.placement.WaitReason(id); reason != place.ReasonNone && !out.State.Final() {
		out.Reason = string(reason)
	} else if len(h.remoteMembers) > 0 {
		out.Reason = "placed by shard " + h.rec.Delegated
	}
	return out, nil
}

// cancelJobLocked cancels a job on behalf of its caller. The reason in the
// record says whether parts of the job may have run: a cancel prevents only
// starts that were not sent yet.
func (c *Cell) cancelJobLocked(h *heldJob) {
	if h.rec.State.Final() {
		return
	}
	c.stopJobLocked(h, jobs.StateCancelled, rcode.JobCancelled, "by the caller")
}

// stopJobLocked ends a job and stops its running tasks.
func (c *Cell) stopJobLocked(h *heldJob, s jobs.State, code rcode.Code, reason string) {
	// Tasks that a former owner started may not be known yet, or may have ended
	// without a trace. An inherited job therefore counts as never started only
	// if its record proves it: Attempted is stored before the first start, but
	// only for jobs that may not be repeated.
	neverStarted := h.rec.State == jobs.StateWaiting && len(h.remoteMembers) == 0 &&
		(!h.inherited || !h.rec.Spec.Repeatable && !h.rec.Attempted)
	running := c.runCount(h) > 0
	// Placement learns of adopted tasks before it learns of their job.
	if h.inPlacement || running {
		c.placement.Cancel(h.rec.ID)
	}
	neverStarted = neverStarted && !running
	h.inPlacement = false
	switch {
	case neverStarted:
		reason += "; nothing of it ran"
	default:
		reason += "; " + strconv.Itoa(h.rec.Spec.Members-h.rec.Remaining()) + " of " +
			strconv.Itoa(h.rec.Spec.Members) + " tasks ended well, others may have run in part"
	}
	c.endJobLocked(h, s, code, reason)
	c.wake()
}

// SetPolicy applies a new bundle: limits, guaranteed minimums, team shares and
// the validity of keys and queues.
func (c *Cell) SetPolicy(b *policy.Bundle) {
	for _, t := range b.Teams() {
		c.rebalancer.SetLimit(t.Name(), t.Limit(), b.Version())
		c.rebalancer.RaiseDemandToMinimum(t.Name())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Version() <= c.policyVersion {
		return
	}
	c.policyVersion = b.Version()
	shares := make([]place.TeamShare, 0, len(b.Teams()))
	for _, t := range b.Teams() {
		shares = append(shares, place.NewTeamShare(t.Name(), t.Share()))
	}
	c.placement.SetTeams(shares)
	c.recheckWaitingLocked(b)
	c.wake()
}

// recheckWaitingLocked ends waiting jobs whose key was revoked or whose queue
// was removed. Running tasks continue, since their key was valid when they were
// started.
func (c *Cell) recheckWaitingLocked(b *policy.Bundle) {
	for id, h := range c.jobs {
		// Jobs that are not recovered yet or were delegated may be running.
		// They are checked again before a start.
		if h.rec.State.Final() || len(h.remoteMembers) > 0 || h.inherited && !c.recovered.Load() || c.runCount(h) > 0 ||
			(h.inPlacement && c.placement.WaitReason(id) == place.ReasonNone) {
			continue
		}
		if err := c.checkGrant(b, h.rec); err != nil && h.homeShard == "" {
			c.stopJobLocked(h, jobs.StateFailed, rcode.Of(err), err.Error())
		}
	}
}

// checkGrant returns an error if the job's key is no longer valid for its
// queue.
func (c *Cell) checkGrant(b *policy.Bundle, r *jobs.Record) error {
	q, err := b.Queue(r.Spec.Queue)
	if err != nil {
		return err
	}
	return b.Reauthorize(q, policy.NewGrant(r.Team, r.Key))
}

// maintain applies limits, evacuates jobs from a data centre that is out of
// service, and expires finished jobs, offers and unresponsive workers.
func (c *Cell) maintain(ctx context.Context) {
	b, err := c.deps.Policy(false)
	wall := c.deps.Clock.Wall()
	now := c.deps.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setInServiceLocked(err == nil && c.inService())
	if err == nil {
		c.shedExcessLocked(b, now)
	}
	if c.recovered.Load() && !c.frozen.Load() && !c.inService() {
		c.evacuateLocked(ctx)
	}
	for id, h := range c.jobs {
		if h.rec.EndedMS > 0 && wall.Sub(time.UnixMilli(h.rec.EndedMS)) > jobs.FinishedTTL {
			delete(c.jobs, id)
			c.journal.Remove(id)
		}
	}
	c.expireOffersLocked(wall)
	c.expireEndedRemoteJobsLocked(now)
	c.recoverLocked()
	c.expireWorkersLocked(wall)
}

// shedExcessLocked stops tasks of teams whose use exceeds a lowered allotment.
func (c *Cell) shedExcessLocked(b *policy.Bundle, now clock.Mono) {
	for _, t := range b.Teams() {
		if over := c.limiter.ledger.Excess(t.Name()); !over.IsZero() {
			c.placement.Shed(t.Name(), over, now)
		}
	}
}
