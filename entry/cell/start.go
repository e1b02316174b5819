package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/agent"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/place"
)

// decide executes the current decisions of placement.
func (c *Cell) decide(ctx context.Context) {
	if c.frozen.Load() || !c.auth().Valid(c.deps.Clock.Now()) {
		return
	}
	// Without a policy in force nothing starts, but cancelled work is still
	// stopped.
	_, err := c.deps.Policy(false)
	for {
		c.mu.Lock()
		c.setInServiceLocked(err == nil && c.inService())
		ds := c.placement.Decide(c.deps.Clock.Now(), maxDecisionBatch)
		n := len(ds)
		for _, d := range ds {
			c.applyDecisionLocked(ctx, d)
		}
		c.mu.Unlock()
		if n < maxDecisionBatch {
			return
		}
	}
}

func (c *Cell) applyDecisionLocked(ctx context.Context, d place.Decision) {
	switch d := d.(type) {
	case place.Start:
		c.startTaskLocked(ctx, d)
	case place.Preempt:
		c.preemptLocked(ctx, d)
	case place.Offer:
		if h := c.jobs[d.Job()]; h != nil {
			c.delegateLocked(ctx, h)
		}
	case place.Drop:
		c.dropJobLocked(d)
	}
}

func (c *Cell) dropJobLocked(d place.Drop) {
	h := c.jobs[d.Job()]
	if h == nil {
		return
	}
	state := jobs.StateFailed
	if d.Code() == rcode.OutcomeUnknown {
		state = jobs.StateUnknown
	}
	c.endJobLocked(h, state, d.Code(), d.Code().Info().Text())
}

// startTaskLocked registers a run and sends its start in the background.
func (c *Cell) startTaskLocked(ctx context.Context, d place.Start) {
	h, w := c.jobs[d.Job()], c.workers[d.Worker()]
	if h == nil || w == nil || h.rec.State.Final() {
		c.placement.TaskEnded(d.Task(), place.OutcomeWithdrawn, c.deps.Clock.Now())
		if h == nil || h.rec.State.Final() {
			c.placement.Cancel(d.Job())
		}
		return
	}
	// A pending acknowledgement of the previous attempt must not delete the
	// result of this one from the worker's list.
	delete(w.pendingAcks, d.Task())
	h.attempts[d.Member()]++
	r := &run{
		id: d.Task(), job: d.Job(), member: d.Member(), worker: d.Worker(), class: h.rec.Class, team: h.rec.Team, state: runStarting,
		size: d.Size(),
	}
	c.addRunLocked(r)
	// The attempt number starts with the epoch, so that the attempts of a later
	// owner have greater numbers.
	task := agent.NewTask(r.id, c.epoch<<20|h.attempts[d.Member()], r.job, r.team, d.Size(), time.Time{}).
		WithPayload(h.rec.Spec.Payload).WithCheckpoint(h.checkpoints[d.Member()])
	addr := w.vm.Addr()
	rec := h.rec
	markFirst := !rec.Spec.Repeatable && h.homeShard == ""
	c.spawn(func() { c.sendStart(ctx, r, task, addr, rec, markFirst) })
}

// sendStart starts a task on its worker. It checks everything that may forbid
// the start after all waits and immediately before the call.
func (c *Cell) sendStart(ctx context.Context, r *run, task agent.Task, addr string, rec *jobs.Record, markFirst bool) {
	if markFirst {
		if err := c.markAttempted(ctx, rec); err != nil {
			c.withdrawStart(r, err)
			return
		}
	}
	if err := c.checkStart(rec); err != nil {
		c.withdrawStart(r, err)
		return
	}
	// The wall clock is read first, so that a pause between the two readings
	// shortens the lease.
	wall := c.deps.Clock.Wall()
	auth := c.auth()
	// The authority of an owner without its standby lasts longer than the time
	// for which a successor waits for leases to expire.
	lease := wall.Add(min(TaskLease, auth.Until().Sub(c.deps.Clock.Now())-MaxClockSkew))
	if !lease.After(wall) {
		c.withdrawStart(r, rcode.New(rcode.NotOwner, "the remaining authority is too short for a lease"))
		return
	}
	c.mu.Lock()
	if c.runs[r.id] != r || rec.State.Final() {
		c.mu.Unlock()
		c.withdrawStart(r, rcode.New(rcode.JobCancelled, "the job was cancelled before the start was sent"))
		return
	}
	r.startLeaseEnd = lease
	if w := c.workers[r.worker]; w != nil && lease.After(w.maxLeaseEnd) {
		w.maxLeaseEnd = lease
	}
	c.mu.Unlock()
	sctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !auth.Valid(c.deps.Clock.Now()) {
		c.withdrawStart(r, rcode.New(rcode.NotOwner, "the authority ended before the start was sent"))
		return
	}
	c.handleStartReply(r, c.deps.Worker.Start(sctx, addr, task.WithLease(lease)))
}

// markAttempted stores in the record that a job which may not be repeated was
// attempted. It returns before the first start is sent.
func (c *Cell) markAttempted(ctx context.Context, rec *jobs.Record) error {
	c.mu.Lock()
	if !rec.Attempted {
		rec.Attempted = true
		c.journal.Update(rec)
	}
	c.mu.Unlock()
	mctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return c.journal.WaitStored(mctx, rec.ID)
}

// checkStart returns an error if no task of the job may start now.
func (c *Cell) checkStart(rec *jobs.Record) error {
	if !c.auth().Valid(c.deps.Clock.Now()) {
		return rcode.New(rcode.NotOwner, "this VM's authority over shard %s has ended", c.cfg.Shard)
	}
	if c.frozen.Load() {
		return rcode.New(rcode.Draining, "shard %s is moving to another VM", c.cfg.Shard)
	}
	b, err := c.deps.Policy(false)
	if err != nil {
		return err
	}
	if !b.InService(c.cfg.DataCentre) {
		return rcode.New(rcode.DataCentreOutOfService, "data centre %s is out of service", c.cfg.DataCentre)
	}
	return c.checkGrant(b, rec)
}

// setInServiceLocked tells placement whether tasks may start.
func (c *Cell) setInServiceLocked(in bool) {
	if c.outOfService == in {
		c.outOfService = !in
		c.placement.SetInService(in)
	}
}

// isPermanentRefusal reports whether err means that a job's key or queue is no
// longer valid.
func isPermanentRefusal(err error) bool {
	switch rcode.Of(err) {
	case rcode.KeyRefused, rcode.KeyMissing, rcode.QueueUnknown:
		return true
	}
	return false
}

// withdrawStart withdraws a start that was not sent. If the job's key is no
// longer valid, the job ends, or is returned to its home shard, which ends it.
func (c *Cell) withdrawStart(r *run, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deps.Log.Debug("start withdrawn", append(logs.Err(err), zap.String("task", r.id))...)
	c.endRunLocked(r, place.OutcomeWithdrawn)
	h := c.jobs[r.job]
	if h == nil || h.rec.State.Final() || !isPermanentRefusal(err) || c.runCount(h) > 0 {
		return
	}
	state := jobs.StateFailed
	if h.homeShard != "" {
		state = jobs.StateCancelled
	}
	c.stopJobLocked(h, state, rcode.Of(err), err.Error())
}

// handleStartReply handles the worker's reply to a start.
func (c *Cell) handleStartReply(r *run, err error) {
	code := rcode.Of(err)
	c.deps.Metrics.CountStart(r.class, code)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[r.id] != r {
		return
	}
	switch {
	case err == nil:
		c.confirmRunLocked(r)
	case code == rcode.IDReused:
		// Either the worker still lists an earlier attempt that is not
		// acknowledged yet, or the start arrived twice. The worker's task list
		// decides.
		r.state = runUncertain
	case code.NotRun():
		c.endRunLocked(r, place.OutcomeRefused)
	default:
		r.state = runUncertain
	}
	if err != nil {
		c.deps.Log.Warn("start not confirmed", append(logs.Err(err), zap.String("task", r.id), zap.String("worker", r.worker))...)
	}
}

func (c *Cell) confirmRunLocked(r *run) {
	if r.state == runConfirmed {
		return
	}
	now := c.deps.Clock.Now()
	r.state, r.confirmedAt = runConfirmed, now
	c.placement.TaskStarted(r.id, now)
	h := c.jobs[r.job]
	if h == nil {
		return
	}
	c.deps.Metrics.ObserveWait(r.class, r.team, c.deps.Clock.Wall().Sub(time.UnixMilli(h.rec.CreatedMS)))
	c.deps.Log.Info("task started", zap.String("task", r.id), zap.String("team", r.team), zap.String("worker", r.worker))
	if h.rec.State == jobs.StateWaiting {
		h.rec.State = jobs.StateRunning
		if h.homeShard == "" {
			c.journal.Update(h.rec)
		}
	}
}

// endRunLocked removes a run and reports its outcome to placement.
func (c *Cell) endRunLocked(r *run, outcome place.Outcome) {
	if c.runs[r.id] != r {
		return
	}
	c.removeRunLocked(r)
	h := c.jobs[r.job]
	if h != nil && r.checkpointMS > 0 {
		h.checkpoints[r.member] = r.checkpointMS
	}
	c.placement.TaskEnded(r.id, outcome, c.deps.Clock.Now())
	if h != nil && outcome == place.OutcomeDone {
		c.memberDoneLocked(h, r.member)
	}
	c.wake()
}

// memberDoneLocked records that a member completed successfully.
func (c *Cell) memberDoneLocked(h *heldJob, member int) {
	if h.rec.State.Final() || !h.rec.MarkFinished(member) {
		return
	}
	if h.rec.Remaining() == 0 {
		c.endJobLocked(h, jobs.StateDone, rcode.OK, "")
		return
	}
	if h.homeShard == "" {
		c.journal.Update(h.rec)
	}
}

// preemptLocked orders a worker to throttle, checkpoint or stop a task. After a
// checkpoint, the task is stopped once the worker reports its checkpoint.
func (c *Cell) preemptLocked(ctx context.Context, d place.Preempt) {
	r, w := c.runs[d.Task()], c.workers[d.Worker()]
	if r == nil || w == nil {
		return
	}
	r.preemption = d.Action()
	addr, fullSize := w.vm.Addr(), d.Size().CPUMilli() >= r.size.CPUMilli()
	c.deps.Log.Info("task preempted", zap.String("task", r.id), zap.String("worker", r.worker), zap.String("how", string(d.Action())))
	c.spawn(func() {
		actx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if err := c.sendPreemption(actx, addr, d, fullSize); err != nil {
			c.deps.Log.Warn("failed to send preemption order", append(logs.Err(err), zap.String("task", r.id))...)
		}
	})
}

// sendPreemption sends the order to the worker. A throttle to the full size of
// the task resumes it: workers have a single throttled speed.
func (c *Cell) sendPreemption(ctx context.Context, addr string, d place.Preempt, fullSize bool) error {
	switch d.Action() {
	case place.ActionThrottle:
		if fullSize {
			return c.deps.Worker.Resume(ctx, addr, d.Task())
		}
		return c.deps.Worker.Throttle(ctx, addr, d.Task())
	case place.ActionCheckpoint:
		return c.deps.Worker.Checkpoint(ctx, addr, d.Task())
	case place.ActionStop:
		return c.deps.Worker.Stop(ctx, addr, d.Task())
	}
	return nil
}
