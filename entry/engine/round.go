package engine

import (
	"math"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/sched"
)

// adviceDuringWriteInterval is the time between two requests for advice while a round is
// being written. A store that answers as usual is faster.
const adviceDuringWriteInterval = 20 * time.Millisecond

// loadLogInterval is the time between two log lines about the load.
const loadLogInterval = time.Second

// logLoad logs the load and the steps that no worker can run, and updates the metrics.
func (e *Engine) logLoad(t *term) {
	now := e.clk.Now()
	if now.Sub(t.loadLoggedAt) < loadLogInterval {
		return
	}
	t.loadLoggedAt = now
	for _, u := range t.state.TakeUnschedulable() {
		e.log.Warn("step does not fit on any worker", zap.String("step", u.Step), zap.String("queue", u.Queue), zap.String("team", u.Team),
			zap.String("label", u.Label))
	}
	for _, w := range t.state.LongWaits() {
		e.log.Info("step waits", zap.String("step", w.Step), zap.String("queue", w.Queue), zap.String("team", w.Team),
			zap.String("for", string(w.Reason)), zap.Int64("waited_ms", w.Waited.Milliseconds()), zap.Int("tasks", w.Tasks),
			zap.Int("workers", w.Workers), zap.Int("room", w.Room), zap.Int("limit_used_percent", w.LimitUsed))
	}
	l := t.state.Load()
	queues, accounts := 0, 0
	if t.load != nil {
		queues, accounts = len(t.load.Queues), len(t.load.Accounts)
	}
	e.cfg.Metrics.SetOwner(true, l.Runs, l.Waiting)
	e.cfg.Metrics.SetWorkersWithoutLease(t.state.HeldLeases())
	e.cfg.Metrics.SetSlowWorkers(l.Slow)
	fields := []zap.Field{
		zap.Int64("epoch", t.Epoch()), zap.Int("waiting_0", l.Waiting[0]), zap.Int("waiting_1", l.Waiting[1]),
		zap.Int("waiting_2", l.Waiting[2]), zap.Int("missed", l.Missed), zap.Int("asking", l.WaitingForAdvice), zap.Int("unasked", l.AdviceNotRequested),
		zap.Int("runs", l.Runs), zap.Int("workers", l.Workers), zap.Int("suspected", l.Suspected), zap.Int("probation", l.OnProbation),
		zap.Int("unresponsive", l.Unresponsive), zap.Int("slow", l.Slow), zap.Int64("used_cpu", l.UsedCPU), zap.Int64("cpu", l.CPU),
		zap.Int("preempted", l.Preempted), zap.Float64("lost_core_s", math.Round(l.LostCoreSeconds)),
		zap.Int("overloaded_queues", queues), zap.Int("accounts_over_share", accounts),
		zap.Bool("writing", t.writing), zap.Int("members", len(e.members)),
	}
	if t.state.PastUse() != nil {
		fields = append(fields, zap.Int("delayed", l.Delayed))
		e.reportPastUse(t)
	}
	e.log.Info("load", fields...)
}

// decide runs a scheduling round if one is due and executes its decisions. If it
// returns true, it must be called again after the returned time.
func (e *Engine) decide() (time.Duration, bool) {
	t := e.term
	if t == nil || !t.ready || t.workersOutdated {
		return 0, false
	}
	e.dispatch(t, t.state.TakeDecisions(), nil)
	if !t.dirty {
		return 0, false
	}
	now := e.clk.Now()
	if wait := max(t.decidedAt, t.advisedAt).Add(minRoundInterval).Sub(now); wait > 0 {
		return wait, true
	}
	if _, ok := e.cfg.Elector.Authority(); !ok || e.cfg.RulesCurrent != nil && !e.cfg.RulesCurrent() {
		return tickInterval, true
	}
	if t.writing {
		t.advisedAt = now
		t.state.SetNow(now, e.clk.Wall().UnixMilli())
		e.dispatch(t, t.state.RequestAdvice(now), nil)
		return adviceDuringWriteInterval, true
	}
	t.dirty = false
	t.decidedAt = now
	t.state.SetNow(now, e.clk.Wall().UnixMilli())
	decisions := t.state.Decide(now)
	list := t.state.TakeEvents()
	starts := e.dispatch(t, decisions, nil)
	e.storeRound(t, list, starts)
	return 0, false
}

// storeRound stores the events of a round and then sends its starts.
func (e *Engine) storeRound(t *term, list []events.Event, starts []sched.Start) {
	t.round++
	round := t.round
	for _, ev := range list {
		e.cfg.Metrics.CountEvent(ev.Kind.Name(), ev.Outcome.Name())
		switch ev.Kind {
		case events.KindAdvice:
			continue // logged when it was received
		case events.KindLease:
			e.log.Info("lease note", zap.Int("workers", len(ev.Leases)), zap.Int("held", t.state.HeldLeases()), zap.Int64("epoch", t.Epoch()),
				zap.Int64("round", round))
			continue
		case events.KindStart, events.KindEnd, events.KindCancel, events.KindRestart:
		}
		e.log.Info("event", zap.String("kind", ev.Kind.Name()), zap.String("task", ev.Task), zap.Int("attempt", ev.Attempt),
			zap.String("worker", ev.Worker), zap.String("how", ev.Outcome.Name()), zap.Int64("epoch", t.Epoch()), zap.Int64("round", round))
	}
	e.recordFinishedJobs(t, round)
	for _, c := range t.state.TakeCutShort() {
		e.cfg.Metrics.CountCutShort(c.Queue, string(c.Reason), c.LostCoreSeconds)
	}
	e.reportLeaseEnds(t)
	if len(list) == 0 {
		e.handleRoundStored(t, round, 0, starts)
		return
	}
	t.writing = true
	parts := events.Split(list)
	go func() {
		keys := make([]string, len(parts))
		var revision int64
		err := e.guarded("journal", func() (err error) {
			for i := 0; i < len(parts) && err == nil; i++ {
				keys[i], revision, err = t.writer.Append(t.ctx, parts[i])
			}
			return err
		})
		e.post(func() {
			t.writing = false
			if err != nil {
				// End the term: the starts that depend on these events must not be sent,
				// and the ended runs that they record must not be acknowledged.
				e.log.Warn("failed to store events, ending the term", logs.Err(err)...)
				e.cfg.Elector.Superseded(t.Epoch())
				if e.term == t {
					e.endTerm()
				}
				return
			}
			for i, part := range parts {
				t.compactor.addSegment(keys[i], part, t.state.Compacted)
			}
			e.handleRoundStored(t, round, revision, starts)
		})
	}()
}

// recordFinishedJobs logs the jobs that finished and keeps them in unstoredJobs until
// the round is stored.
func (e *Engine) recordFinishedJobs(t *term, round int64) {
	for _, f := range t.state.TakeFinished() {
		t.unstoredJobs[f.ID] = round
		e.cfg.Metrics.ObserveJob(f.Queue, f.Team, string(f.State), f.Took, f.FirstStart)
		e.log.Info("job finished", zap.String("id", f.ID), zap.String("queue", f.Queue), zap.String("team", f.Team),
			zap.String("state", string(f.State)), zap.Int64("took_ms", f.Took.Milliseconds()),
			zap.Int64("objective_ms", f.Objective.Milliseconds()), zap.Int64("first_start_ms", f.FirstStart.Milliseconds()),
			zap.Int64("epoch", t.Epoch()), zap.Int64("round", round))
	}
}

// handleRoundStored sends the starts of a round that was stored at a revision, unless they are
// too old, and polls the workers whose ended runs can now be acknowledged. The revision is 0 if
// the round has no events.
func (e *Engine) handleRoundStored(t *term, round, revision int64, starts []sched.Start) {
	if e.term != t {
		return
	}
	t.storedThrough = round
	if revision > 0 {
		t.state.StartsStored(revision)
		e.raiseTokens(t, revision)
	}
	for id, r := range t.unstoredJobs {
		if r <= round {
			delete(t.unstoredJobs, id)
			t.endStored(id)
		}
	}
	released := t.state.LeasesStored()
	now := e.clk.Now()
	_, ok := e.cfg.Elector.Authority()
	for _, st := range starts {
		if !ok || now.Sub(t.decidedAt) > maxStartDelay/2 {
			t.state.StartAnswered(st.Task, st.Attempt, st.Worker, sched.OutcomeNotSent)
			t.dirty = true
			continue
		}
		t.raiseToken(st.Worker, revision)
		e.sendStart(t, st)
	}
	for _, id := range released {
		t.dirty = true
		if c := t.workers[id]; c != nil {
			e.poll(t, c)
		}
	}
	e.pollAckableWorkers(t)
}

// raiseTokens has the workers whose restarts were stored at a revision see that as the fencing
// token. They then reject what was sent to their former incarnations.
func (e *Engine) raiseTokens(t *term, revision int64) {
	for _, id := range t.state.RestartsStored(revision) {
		t.raiseToken(id, revision)
		e.log.Info("fencing token raised", zap.String("worker", id), zap.Int64("token", revision), zap.Int64("epoch", t.Epoch()))
		if c := t.workers[id]; c != nil {
			e.poll(t, c)
		}
	}
}

// dispatch executes the decisions that do not depend on stored events. It appends the
// starts, which do, to starts and returns them.
func (e *Engine) dispatch(t *term, list []sched.Decision, starts []sched.Start) []sched.Start {
	for _, d := range list {
		switch d := d.(type) {
		case sched.Start:
			starts = append(starts, d)
		case sched.Stop:
			e.sendStop(t, d)
		case sched.RequestAdvice:
			e.requestAdvice(t, d)
		case sched.Throttle:
			e.sendThrottle(t, d)
		}
	}
	return starts
}
