package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/entry/agent"
	"limpethitch.example/entry/place"
)

// renewLoop renews the leases of the tasks of one worker and reads its task
// list.
func (c *Cell) renewLoop(ctx context.Context, w *workerState) {
	for ctx.Err() == nil {
		if c.auth().Valid(c.deps.Clock.Now()) {
			c.renew(ctx, w)
		}
		c.mu.Lock()
		pause := renewInterval
		if !w.taskListRead || len(w.pendingAcks) > 0 {
			pause /= 4
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-c.deps.Clock.After(pause):
		}
	}
}

// renew sends one renewal to a worker and applies the task list in its reply.
func (c *Cell) renew(ctx context.Context, w *workerState) {
	c.mu.Lock()
	sentAt, sentWall := c.deps.Clock.Now(), c.deps.Clock.Wall()
	lease := sentWall.Add(TaskLease)
	// Renewals may arrive even though their replies are lost. They stop after a
	// while, so that the leases expire and the tasks can be started elsewhere.
	unresponsive := w.taskListRead && sentAt.Sub(w.lastResponseAt) > TaskLease/2
	var ids, acks []string
	for id, r := range c.runsByWorker[w.vm.ID()] {
		if !unresponsive && r.state == runConfirmed {
			ids = append(ids, id)
		}
	}
	for id, job := range w.pendingAcks {
		if c.journal.IsStored(job) {
			acks = append(acks, id)
		}
	}
	if len(ids) > 0 && lease.After(w.maxLeaseEnd) {
		w.maxLeaseEnd = lease
	}
	addr := w.vm.Addr()
	c.mu.Unlock()
	rctx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	list, err := c.deps.Worker.Renew(rctx, addr, lease, ids, acks)
	if err != nil {
		c.deps.Log.Debug("failed to renew leases on worker", append(logs.Err(err), zap.String("worker", w.vm.ID()))...)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workers[w.vm.ID()] != w || ctx.Err() != nil {
		return
	}
	for _, id := range acks {
		delete(w.pendingAcks, id)
	}
	c.applyTaskListLocked(ctx, w, list, sentAt, sentWall)
}

// applyTaskListLocked applies a worker's task list that was requested at
// sentAt.
func (c *Cell) applyTaskListLocked(ctx context.Context, w *workerState, list []agent.TaskStatus, sentAt clock.Mono, sentWall time.Time) {
	listed := make(map[string]bool, len(list))
	for _, s := range list {
		listed[s.ID()] = true
		if s.State().Running() {
			c.taskRunningLocked(ctx, w, s)
		} else {
			c.taskEndedLocked(w, s)
		}
	}
	for id, r := range c.runsByWorker[w.vm.ID()] {
		if !listed[id] {
			c.taskMissingLocked(r, sentAt, sentWall)
		}
	}
	firstList := !w.taskListRead
	w.taskListRead, w.lastResponseAt = true, c.deps.Clock.Now()
	if firstList {
		c.placement.MarkReady(w.vm.ID())
		c.recoverLocked()
		c.wake()
	}
}

// taskRunningLocked handles a task that its worker reports as running.
func (c *Cell) taskRunningLocked(ctx context.Context, w *workerState, s agent.TaskStatus) {
	now := c.deps.Clock.Now()
	r := c.runs[s.ID()]
	if r == nil {
		r = c.adoptLocked(w, s, now)
	}
	if r == nil || r.worker != w.vm.ID() {
		c.stopUnknownRunLocked(ctx, w, s)
		return
	}
	c.confirmRunLocked(r)
	if r.preemption == place.ActionStop {
		// The order to stop was lost, or it arrived before the start.
		c.stopTask(ctx, w.vm.Addr(), r.id)
	}
	if s.Used() != (amount.Vec{}) {
		c.placement.ReportUsage(r.id, s.Used(), now)
	}
	if s.CheckpointMS() > r.checkpointMS {
		r.checkpointMS = s.CheckpointMS()
		c.placement.TaskCheckpointed(r.id, now)
		if r.preemption == place.ActionCheckpoint {
			c.stopTask(ctx, w.vm.Addr(), r.id)
		}
	}
}

// adoptLocked takes over a task that a former owner started. Once the shard is
// recovered and the worker's list was read, every task on the worker must have
// been started by this owner, so that nothing is adopted.
func (c *Cell) adoptLocked(w *workerState, s agent.TaskStatus, now clock.Mono) *run {
	job, member, ok := place.SplitTaskID(s.ID())
	if w.taskListRead && c.recovered.Load() || !ok {
		return nil
	}
	h := c.jobs[job]
	if h != nil && (h.rec.State.Final() || h.rec.IsFinished(member)) {
		return nil
	}
	spec := place.NewJob(job, s.Team(), policy.ClassBatch, member+1, s.Size())
	class := policy.ClassBatch
	if h != nil {
		spec, class = c.placementJob(h.rec), h.rec.Class
	}
	startedAt := now.Add(s.Started().Sub(c.deps.Clock.Wall()))
	if err := c.placement.Adopt(place.NewTask(spec, member, w.vm.ID(), s.Size(), max(1, startedAt), 0), now); err != nil {
		c.deps.Log.Error("failed to adopt task", append(logs.Err(err), zap.String("task", s.ID()))...)
		return nil
	}
	c.limiter.ledger.Adopt(s.Team(), s.Size())
	r := &run{
		id: s.ID(), job: job, member: member, worker: w.vm.ID(), class: class, team: s.Team(),
		state: runConfirmed, confirmedAt: now, checkpointMS: s.CheckpointMS(), size: s.Size(),
	}
	c.addRunLocked(r)
	if s.Lease().After(w.maxLeaseEnd) {
		w.maxLeaseEnd = s.Lease()
	}
	return r
}

// stopUnknownRunLocked stops a task that must not run: an earlier attempt, or a
// task of an ended job.
func (c *Cell) stopUnknownRunLocked(ctx context.Context, w *workerState, s agent.TaskStatus) {
	c.deps.Log.Warn("stopping unknown run", zap.String("task", s.ID()), zap.String("worker", w.vm.ID()))
	c.stopTask(ctx, w.vm.Addr(), s.ID())
}

// stopTask sends the order to stop a task in the background.
func (c *Cell) stopTask(ctx context.Context, addr, id string) {
	c.spawn(func() {
		sctx, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if err := c.deps.Worker.Stop(sctx, addr, id); err != nil {
			c.deps.Log.Warn("failed to stop task", append(logs.Err(err), zap.String("task", id))...)
		}
	})
}

// taskEndedLocked handles a task that has ended. The worker may delete it from
// its list once the job's record is stored.
func (c *Cell) taskEndedLocked(w *workerState, s agent.TaskStatus) {
	if _, done := w.pendingAcks[s.ID()]; done {
		return
	}
	job, member, ok := place.SplitTaskID(s.ID())
	r := c.runs[s.ID()]
	h := c.jobs[job]
	switch {
	case r != nil && r.worker == w.vm.ID() && !c.isEarlierAttempt(r, s):
		if s.CheckpointMS() > r.checkpointMS {
			r.checkpointMS = s.CheckpointMS()
		}
		c.endRunLocked(r, outcomeOf(s.State()))
	case r == nil && ok && h != nil && s.State() == agent.StateDone:
		c.placement.TaskEnded(s.ID(), place.OutcomeDone, c.deps.Clock.Now())
		c.memberDoneLocked(h, member)
	}
	if ok && s.State() == agent.StateDone && c.retainForHomeLocked(h, job, member) {
		return
	}
	w.pendingAcks[s.ID()] = job
}

// isEarlierAttempt reports whether a status belongs to an attempt before the
// current one.
func (c *Cell) isEarlierAttempt(r *run, s agent.TaskStatus) bool {
	h := c.jobs[r.job]
	return h != nil && h.attempts[r.member] > 0 && s.Attempt() < c.epoch<<20|h.attempts[r.member]
}

func outcomeOf(s agent.State) place.Outcome {
	switch s {
	case agent.StateDone:
		return place.OutcomeDone
	case agent.StateFailed:
		return place.OutcomeFailed
	case agent.StateExpired:
		return place.OutcomeLost
	case agent.StateStopped, agent.StateRunning, agent.StateThrottled:
	}
	return place.OutcomeStopped
}

// taskMissingLocked handles a run that is missing from its worker's task list.
// A start that is pending or unconfirmed may still arrive until the lease that
// it carries expires.
func (c *Cell) taskMissingLocked(r *run, sentAt clock.Mono, sentWall time.Time) {
	switch r.state {
	case runConfirmed:
		if r.confirmedAt < sentAt {
			c.endRunLocked(r, place.OutcomeLost)
		}
	case runUncertain:
		if !sentWall.After(r.startLeaseEnd.Add(MaxClockSkew)) {
			return
		}
		if h := c.jobs[r.job]; h != nil && h.rec.Spec.Repeatable {
			c.endRunLocked(r, place.OutcomeRefused)
			return
		}
		// If the worker restarted, it lost its list, so the task may have run.
		c.endRunLocked(r, place.OutcomeLost)
	case runStarting:
	}
}

// expireWorkersLocked gives up the tasks of workers that were unresponsive until
// all leases sent to them had expired. The workers have stopped those tasks
// themselves.
func (c *Cell) expireWorkersLocked(wall time.Time) {
	now := c.deps.Clock.Now()
	for id, w := range c.workers {
		if !w.taskListRead {
			// After a takeover, the leases granted by the former owner are
			// unknown.
			if now.Sub(w.lastResponseAt) > TaskLease+2*MaxClockSkew+startTimeout {
				c.recoverLocked()
			}
			continue
		}
		if now.Sub(w.lastResponseAt) > 2*renewInterval+startTimeout && wall.After(w.maxLeaseEnd.Add(2*MaxClockSkew)) {
			c.deps.Log.Warn("worker is unresponsive and its leases have expired", zap.String("worker", id))
			w.taskListRead, w.lastResponseAt = false, now
			c.loseTasksLocked(id, "leases expired")
			c.placement.RemoveWorker(id)
			c.placement.PutWorker(workerSpec(w.vm), now)
		}
	}
}

// loseTasksLocked gives up all tasks of a worker.
func (c *Cell) loseTasksLocked(worker, reason string) {
	for _, r := range c.runsByWorker[worker] {
		c.deps.Log.Warn("task lost", zap.String("task", r.id), zap.String("worker", worker), zap.String("reason", reason))
		c.endRunLocked(r, place.OutcomeLost)
	}
}
