package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/place"
)

// loadRetryDelay is the delay between two attempts to load the job records.
const loadRetryDelay = 500 * time.Millisecond

// load reads the job records and then serves the journal. While the store is
// down, an acting standby answers requests and renews leases without job
// records.
func (c *Cell) load(ctx context.Context) {
	for ctx.Err() == nil {
		if c.deps.Fence() != 0 {
			records, err := c.journal.Load(ctx)
			if err == nil {
				c.installRecords(records)
				break
			}
			c.deps.Log.Warn("failed to load job records", logs.Err(err)...)
		}
		select {
		case <-ctx.Done():
			return
		case <-c.deps.Clock.After(loadRetryDelay):
		}
	}
	c.logServiceEnd("journal", c.journal.Serve(ctx))
}

func (c *Cell) installRecords(records []*jobs.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range records {
		h := newHeldJob(r)
		h.opPending, h.inherited = !r.State.Final(), c.cause != owner.CauseFresh
		if r.State.Final() {
			close(h.done)
			if r.Delegated != "" {
				// The other shard may not have received the order to stop the
				// job.
				c.resumePollingLocked(h)
			}
		}
		c.jobs[r.ID] = h
	}
	c.readoptLocked()
	for task, ms := range c.importedCheckpoints {
		job, member, ok := place.SplitTaskID(task)
		if h := c.jobs[job]; ok && h != nil {
			h.checkpoints[member] = max(h.checkpoints[member], ms)
		}
	}
	c.importedCheckpoints = nil
	c.jobsLoaded.Store(true)
	c.deps.Log.Info("job records loaded", zap.Int("jobs", len(records)), zap.String("how", string(c.cause)))
	c.recoverLocked()
}

// readoptLocked adopts again the runs that were adopted before the job records
// were loaded, now with their jobs' records. Until then placement only has a
// description of each job that was guessed from the workers' task lists.
func (c *Cell) readoptLocked() {
	now := c.deps.Clock.Now()
	var adopted []*run
	for _, r := range c.runs {
		if c.jobs[r.job] != nil {
			c.placement.TaskEnded(r.id, place.OutcomeWithdrawn, now)
			c.removeRunLocked(r)
			adopted = append(adopted, r)
		}
	}
	for _, r := range adopted {
		h := c.jobs[r.job]
		if h.rec.State.Final() || h.rec.IsFinished(r.member) {
			// If it still runs, the next task list shows it as an unknown run.
			continue
		}
		t := place.NewTask(c.placementJob(h.rec), r.member, r.worker, r.size, r.confirmedAt, 0)
		if err := c.placement.Adopt(t, now); err != nil {
			c.deps.Log.Error("failed to adopt task", append(logs.Err(err), zap.String("task", r.id))...)
			continue
		}
		c.limiter.ledger.Adopt(r.team, r.size)
		r.class = h.rec.Class
		c.addRunLocked(r)
	}
}

// recoverLocked enqueues the loaded jobs once it is known which of their tasks
// run, that is, once each worker's task list was read or its leases have
// certainly expired.
func (c *Cell) recoverLocked() {
	if c.recovered.Load() || !c.jobsLoaded.Load() {
		return
	}
	now := c.deps.Clock.Now()
	fresh := c.cause == owner.CauseFresh
	for _, w := range c.workers {
		if !w.taskListRead && !fresh && now.Sub(c.startedAt) <= TaskLease+2*MaxClockSkew+startTimeout {
			return
		}
	}
	if len(c.workers) == 0 && !fresh && now.Sub(c.startedAt) <= TaskLease+2*MaxClockSkew+startTimeout {
		// The VM list was not read yet, and tasks may run on its workers.
		return
	}
	if c.deps.Clock.Wall().Before(c.pendingStartsUntil.Add(2 * MaxClockSkew)) {
		// A start of the former owner may still arrive at a worker.
		return
	}
	c.recovered.Store(true)
	c.rebalancer.MarkRecovered()
	for _, h := range c.jobs {
		if h.opPending && h.rec.Delegated != "" {
			c.resumePollingLocked(h)
		} else if h.opPending && !h.rec.State.Final() {
			c.resumeJobLocked(h)
		}
	}
	c.deps.Log.Info("shard recovered", zap.Int("jobs", len(c.jobs)), zap.Int("tasks", len(c.runs)),
		zap.Duration("after", now.Sub(c.startedAt)))
}

// resumeJobLocked enqueues the remaining members of a job. If the job may not
// be repeated and was attempted, members that neither run nor completed have an
// unknown outcome.
func (c *Cell) resumeJobLocked(h *heldJob) {
	if h.rec.Attempted && !h.rec.Spec.Repeatable {
		for m := range h.rec.Spec.Members {
			if !h.rec.IsFinished(m) && c.runs[place.TaskID(h.rec.ID, m)] == nil {
				c.stopJobLocked(h, jobs.StateUnknown, rcode.OutcomeUnknown, "the shard changed its owner while the job may have run")
				return
			}
		}
	}
	c.enqueueLocked(h)
}
