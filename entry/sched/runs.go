package sched

import (
	"slices"
	"time"

	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// findRun returns the live run of an attempt on a worker, or nil.
func (s *State) findRun(w *worker, id graph.TaskID, attempt int) *run {
	t := s.lookupTask(id)
	if t == nil {
		return nil
	}
	for _, r := range t.step.liveRuns {
		if r.task == t && r.worker == w && r.attempt == attempt {
			return r
		}
	}
	return nil
}

// newRun creates a run and counts it against its worker's capacity and its client
// account's limit.
func (s *State) newRun(t *task, w *worker, attempt int) *run {
	st := t.step
	r := &run{task: t, attempt: attempt, worker: w, size: st.size, charged: st.spec.Declared(), decidedAt: s.now, progressedAt: s.now, speedPercent: fullSpeed}
	r.startDeadline, r.partial = s.now.Add(s.cfg.StartTTL), t.checkpoint != ""
	if !s.replaying {
		r.startToken = tokenUnstored
		s.unstoredStarts = append(s.unstoredStarts, r)
	}
	t.attempt = attempt
	st.gangAttempt = max(st.gangAttempt, attempt)
	t.run = r
	st.unassigned--
	st.liveRuns.add(r)
	w.runs.add(r)
	w.used = w.used.Add(r.size)
	s.index.update(w, w.open)
	tm := s.team(st.job.doc.Team)
	s.chargeUse(tm)
	tm.used = tm.used.Add(r.charged)
	if st.job.queue.Priority == urgentPriority {
		tm.urgent.add(r.charged, s.now)
	}
	if !st.job.startDecided && !s.replaying { // the journal does not hold the start times
		st.job.firstStartAt = s.now
	}
	st.job.startDecided = true
	if st.job.state == JobQueued {
		st.job.state = JobRunning
	}
	return r
}

// confirm records that a worker accepted the start of a run or lists it.
func (s *State) confirm(r *run) {
	r.confirmed, r.confirmedAt, r.progressedAt = true, s.now, s.now
	r.task.step.job.hasStarted = true
}

// endRun removes a run, records its end and updates its task, job and worker.
func (s *State) endRun(r *run, outcome events.RunOutcome, checkpoint string) {
	t, st, w := r.task, r.task.step, r.worker
	if checkpoint != "" {
		s.saveCheckpoint(r, checkpoint)
	}
	s.recordCutShort(r, outcome)
	s.recordEnd(r, outcome)
	w.runs.remove(r)
	w.used = w.used.Sub(r.size)
	tm := s.team(st.job.doc.Team)
	s.chargeUse(tm)
	tm.used = tm.used.Sub(r.charged)
	if st.job.queue.Priority == urgentPriority {
		tm.urgent.sub(r.charged)
	}
	st.liveRuns.remove(r)
	if t.run == r {
		t.run = nil
		if !t.done {
			st.unassigned++
		}
	}
	s.evaluateWorker(w, r, outcome)
	switch outcome {
	case events.RunDone:
		s.completeTask(t)
	case events.RunFailed:
		t.avoidWorker = w
		s.countFailure(t, r.attempt)
	case events.RunStopped, events.RunLost:
	}
	s.requeue(r)
}

// recordEnd records the end of a run in the journal, and how long it took if it did all of
// its task's work.
func (s *State) recordEnd(r *run, outcome events.RunOutcome) {
	t := r.task
	if outcome != events.RunDone || !r.confirmed || r.partial || s.replaying {
		s.record(events.End(t.id(), r.attempt, outcome, t.checkpoint))
		return
	}
	ran := s.now.Sub(r.confirmedAt)
	s.observeDone(r, ran)
	s.runTimes.add(t.step.job.doc.Queue, ran)
	s.record(events.Done(t.id(), r.attempt, t.checkpoint, ran))
}

// completeTask marks a task as done and stops its other runs. A gang is done as a whole
// as soon as one member is. Service tasks are never done.
func (s *State) completeTask(t *task) {
	st := t.step
	st.job.hasStarted = true
	if st.spec.Service {
		return
	}
	if st.spec.Gang {
		for _, m := range st.tasks {
			s.markDone(m)
		}
		return
	}
	s.markDone(t)
	for _, r := range st.liveRuns.copy() {
		if r.task == t {
			s.stop(r, ReasonEnded)
		}
	}
}

// countFailure counts a failed attempt against the queue's MaxAttempts and fails the job when
// the limit is reached. It reports whether the attempt counts: an attempt counts once, however often
// its end is listed and however many members of a gang fail. Failures of service tasks, of tasks
// that are done and of final jobs do not count.
func (s *State) countFailure(t *task, attempt int) bool {
	st := t.step
	st.job.hasStarted = true
	if st.spec.Service || t.done || st.job.final() {
		return false
	}
	failed := &t.failedAttempts
	if st.spec.Gang {
		failed = &st.failedAttempts
	}
	if slices.Contains(*failed, attempt) {
		return false
	}
	*failed = append(*failed, attempt)
	if len(*failed) >= max(1, st.job.queue.MaxAttempts) {
		s.finishJob(st.job, JobFailed)
	}
	return true
}

// requeue queues the step of an ended run again. A gang is queued once all its members
// have ended; those that still run are stopped.
func (s *State) requeue(r *run) {
	t, st := r.task, r.task.step
	if st.job.final() || t.done {
		return
	}
	if !st.spec.Gang {
		s.enqueue(st)
		return
	}
	st.gangBroken = true
	if len(st.liveRuns) > 0 {
		for _, m := range st.liveRuns.copy() {
			s.stop(m, ReasonGangBroken)
		}
		return
	}
	st.gangBroken = false
	s.enqueue(st)
}

// stop emits a stop. The run keeps its capacity until the worker lists its end.
func (s *State) stop(r *run, reason Reason) {
	if r.stopping {
		return
	}
	r.stopping, r.stopSentAt, r.stopReason = true, s.now, reason
	s.emit(Stop{Task: r.task.id(), Attempt: r.attempt, Worker: r.worker.spec.ID, Reason: reason})
}

// emit appends a decision, except during a replay.
func (s *State) emit(d Decision) {
	if !s.replaying {
		s.decisions = append(s.decisions, d)
	}
}

// stopRetryInterval is the time after which a stop is sent again if the run has not
// ended.
const stopRetryInterval = 800 * time.Millisecond

// resendStops repeats stops whose runs have not ended.
func (s *State) resendStops() {
	for _, w := range s.workerList {
		if w.unresponsive {
			continue
		}
		for _, r := range w.runs {
			if r.stopping && s.now.Sub(r.stopSentAt) >= stopRetryInterval && s.mayRepeatStop(r) {
				r.stopSentAt = s.now
				s.emit(Stop{Task: r.task.id(), Attempt: r.attempt, Worker: w.spec.ID, Reason: ReasonRepeated})
			}
		}
	}
}

// StartOutcome is a worker's answer to a start.
type StartOutcome string

// Answers to a start. With all but the first three and OutcomeUnknown the run certainly does not
// begin; with OutcomeUnknown it may.
const (
	OutcomeStarted StartOutcome = "started"
	// OutcomeStartedOnRetry means that the worker accepted a later try of the start. Should the
	// worker restart, an earlier one may still reach the new incarnation.
	OutcomeStartedOnRetry StartOutcome = "started on retry"
	// OutcomeStartedByLater means that a later incarnation than the one that the start was meant for
	// accepted it. Orders for that one may still reach it.
	OutcomeStartedByLater StartOutcome = "started by a later incarnation"

	OutcomeNoCapacity   StartOutcome = "no room"
	OutcomeNoTicket     StartOutcome = "no ticket"
	OutcomeExpired      StartOutcome = "late"
	OutcomeStaleAttempt StartOutcome = "old attempt"
	OutcomeFenced       StartOutcome = "fenced"
	OutcomeUnhealthy    StartOutcome = "unhealthy"
	OutcomeRejected     StartOutcome = "rejected"
	// OutcomeUnreachable means that no connection to the worker could be made, or that it left
	// earlier orders unanswered until this one was too old to be sent.
	OutcomeUnreachable StartOutcome = "unreached"
	// OutcomeNotSent means that the owner did not send the start.
	OutcomeNotSent StartOutcome = "withdrawn"
	OutcomeUnknown StartOutcome = "unknown"
)

// AwaitsStart reports whether a start that was decided is still to be sent: its run was neither given
// up nor stopped since.
func (s *State) AwaitsStart(id graph.TaskID, attempt int, workerID string) bool {
	w := s.workers[workerID]
	if w == nil {
		return false
	}
	r := s.findRun(w, id, attempt)
	return r != nil && r.awaitsAnswer && !r.stopping
}

// StartAnswered applies the answer to a start.
func (s *State) StartAnswered(id graph.TaskID, attempt int, workerID string, outcome StartOutcome) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	r := s.findRun(w, id, attempt)
	if r == nil {
		return
	}
	r.awaitsAnswer = false
	switch outcome {
	case OutcomeStarted, OutcomeStartedOnRetry, OutcomeStartedByLater:
		if outcome != OutcomeStarted {
			r.markUnanswered(s.now)
		}
		if r.triesAnswered = r.lateUntil == 0; r.triesAnswered {
			r.acceptedBootMS = w.spec.BootUnixMS
		}
		if !r.confirmed {
			s.confirm(r)
		}
		if r.task.done || r.task.step.job.final() {
			s.stop(r, ReasonEnded)
		}
		return
	case OutcomeUnknown:
		// The run may have begun although all answers were lost or late. The worker's next
		// lists show it; if they do not, the start is repeated when it has expired.
		r.markUnanswered(s.now)
		return
	case OutcomeNoTicket:
		r.task.step.advice.dropTicket(workerID)
	case OutcomeUnhealthy:
		w.suspectUntil = max(w.suspectUntil, s.now.Add(suspectDuration))
	case OutcomeUnreachable, OutcomeRejected:
		// The next poll shows whether the worker is reachable. Until then its tasks go
		// to other workers.
		w.suspectUntil = max(w.suspectUntil, s.now.Add(unreachableDuration))
	case OutcomeNoCapacity, OutcomeExpired, OutcomeStaleAttempt, OutcomeFenced, OutcomeNotSent:
	}
	if r.holdsTask() && s.now < r.lateUntil {
		return // an earlier order may still be executed
	}
	s.endRun(r, events.RunLost, "")
}

// StopAccepted records that a worker accepted a stop: the run has ended, will end
// within MaxStopDuration or will never begin.
func (s *State) StopAccepted(id graph.TaskID, attempt int, workerID string) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if r := s.findRun(w, id, attempt); r != nil && !r.stopAccepted && !r.confirmed {
		r.stopAccepted, r.confirmedAt = true, s.now.Add(s.cfg.MaxStopDuration)
	}
}
