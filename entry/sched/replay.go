package sched

import (
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// Replay applies the journal of former owners. It must be called after all jobs were
// added and before the first report or decision.
func (s *State) Replay(list []events.Event) {
	s.replaying = true
	defer func() { s.replaying = false }()
	for _, e := range list {
		s.replay(e)
	}
	for _, j := range s.jobs {
		for _, steps := range j.occurrences {
			for _, st := range steps {
				s.requeueReplayed(st)
			}
		}
	}
	s.decisions = s.decisions[:0]
}

func (s *State) replay(e events.Event) {
	if e.Kind == events.KindCancel {
		if j := s.jobs[e.Task]; j != nil && !j.final() {
			s.finishJob(j, JobCancelled)
		}
		return
	}
	id, ok := graph.ParseTaskID(e.Task)
	if !ok {
		return
	}
	t := s.lookupTask(id)
	if t == nil {
		return
	}
	switch e.Kind {
	case events.KindStart:
		s.replayStart(t, e)
	case events.KindEnd:
		s.replayEnd(t, e)
	case events.KindAdvice:
		t.step.advice.restore(e.Allowed)
	case events.KindCancel, events.KindLease, events.KindRestart:
	}
}

func (s *State) replayStart(t *task, e events.Event) {
	if t.done {
		return
	}
	if t.run != nil {
		// The former owner knew that the earlier run had ended.
		s.endRun(t.run, events.RunLost, "")
	}
	w := s.workers[e.Worker]
	if w == nil {
		w = s.addWorker(WorkerSpec{ID: e.Worker, BootUnixMS: e.BootUnixMS})
	}
	r := s.newRun(t, w, e.Attempt)
	r.beforeFence, r.speedPercent, r.ticketed = true, speedUnknown, t.step.job.queue.Advice != nil
}

func (s *State) replayEnd(t *task, e events.Event) {
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
		if t.step.spec.Gang {
			t.step.checkpoint = e.Checkpoint
		}
	}
	s.runTimes.add(t.step.job.doc.Queue, time.Duration(e.RanMS)*time.Millisecond)
	if t.run != nil && t.run.attempt == e.Attempt {
		s.endRun(t.run, e.Outcome, e.Checkpoint)
		return
	}
	switch e.Outcome {
	case events.RunDone:
		s.completeTask(t)
	case events.RunFailed:
		s.countFailure(t, e.Attempt)
	case events.RunStopped, events.RunLost:
	}
}

// requeueReplayed queues a step after the replay if it has tasks to start.
func (s *State) requeueReplayed(st *step) {
	if st.job.final() || st.remaining == 0 || st.pendingDeps > 0 {
		return
	}
	if st.spec.Gang && len(st.liveRuns) > 0 {
		// A complete gang goes on running; one with missing members is broken.
		st.gangBroken = len(st.liveRuns) < st.remaining
		return
	}
	if st.unassigned > 0 {
		s.enqueue(st)
	}
}

// FinishRecovery ends the recovery after a takeover. takenOver is a time after the takeover
// was stored. It sets the lease expiry of all workers to that of the leases that former owners
// may have granted, and stops the runs of broken gangs and finished jobs.
func (s *State) FinishRecovery(takenOver clock.Mono) {
	s.now = max(s.now, takenOver)
	for _, w := range s.workerList {
		w.leaseExpiry = takenOver.Add(s.cfg.FormerLeaseTTL)
		if s.leaseNotes.stored[w.spec.ID] {
			s.limitFormerLease(w, takenOver)
		}
		for _, r := range w.runs.copy() {
			r.markUnanswered(s.now)
			if r.task.step.gangBroken || r.task.step.job.final() {
				s.stop(r, ReasonGangBroken)
			}
		}
	}
}
