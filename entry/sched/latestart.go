package sched

import (
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
)

// A start that was not answered may be executed seconds later. The incarnation that it was meant for
// rejects it once its deadline has passed there, but the worker's next incarnation does not: its
// clock begins anew and it has seen no fencing token. So the task is not started on another worker
// while that may happen. The start is repeated on the same worker instead, as the same attempt, which
// is idempotent there. docs/design/worker-restart.md has the rules.

const (
	// maxOrderDelay is how long after it was sent a worker may still execute an order.
	maxOrderDelay = 15 * time.Second
	// maxStartRepeats is how often a start is repeated while none of its tries is answered.
	maxStartRepeats = 3
)

// markUnanswered notes that a try of the start was not answered, as of now.
func (r *run) markUnanswered(now clock.Mono) {
	r.awaitsAnswer, r.lateUntil = false, now.Add(maxOrderDelay)
}

// holdsTask reports whether a run that its worker does not list keeps its task from starting elsewhere
// as long as the start may still be executed. A worker's later incarnation rejects the tickets
// for the former one.
func (r *run) holdsTask() bool {
	st := r.task.step
	return !r.confirmed && !r.ticketed && !st.spec.AllowDuplicates && !r.task.done && !st.job.final()
}

// settleMissing handles a run that is missing from a worker's complete lists, in the reply to a poll
// that was sent at polledAt.
func (s *State) settleMissing(w *worker, r *run, polledAt clock.Mono) {
	switch {
	case !s.certainlyEnded(w, r, polledAt):
	case r.holdsTask() && s.mayStartLate(r, polledAt):
		s.unanswered = append(s.unanswered, r)
	default:
		s.endRun(r, events.RunLost, "")
	}
}

// mayStartLate reports whether a later incarnation of the worker may still execute a try of the start.
// An answer that is overdue does not come any more.
func (s *State) mayStartLate(r *run, polledAt clock.Mono) bool {
	if r.awaitsAnswer && polledAt > r.startDeadline {
		r.markUnanswered(s.now)
	}
	return r.awaitsAnswer || s.now < r.lateUntil
}

// repeatStarts repeats the unanswered starts whose workers answer and may get tasks. The others
// wait for the next report, until their orders cannot be executed any more.
func (s *State) repeatStarts() {
	for _, r := range s.unanswered {
		if s.mayRepeat(r) {
			s.repeatStart(r)
		}
	}
	clear(s.unanswered)
	s.unanswered = s.unanswered[:0]
}

// mayRepeat reports whether the start of a run may be sent again.
func (s *State) mayRepeat(r *run) bool {
	w := r.worker
	if r.awaitsAnswer || r.confirmed || r.stopping || r.stopAccepted || r.repeats == maxStartRepeats || s.findRun(w, r.task.id(), r.attempt) != r {
		return false
	}
	return suits(w, r.task.step) && s.acceptsWork(w) && w.used.Fits(w.spec.Capacity)
}

// repeatStart emits the start of a run again. The journal has it already.
func (s *State) repeatStart(r *run) {
	t := r.task
	r.awaitsAnswer, r.startDeadline = true, s.now.Add(s.cfg.StartTTL)
	r.repeats++
	r.beforeFence = false // the worker has seen the token of this order
	r.partial = r.partial || t.checkpoint != ""
	s.emit(Start{
		Task: t.id(), Attempt: r.attempt, Worker: r.worker.spec.ID, Addr: r.worker.spec.Addr, Spec: t.step.job.doc.Spec,
		Checkpoint: t.checkpoint, Repeated: true,
	})
}
