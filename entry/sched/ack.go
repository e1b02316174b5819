package sched

import "math"

// An acknowledgement names ends by their numbers, and each incarnation of a worker numbers its ends
// from 1. A later incarnation than the one that it was meant for may execute it seconds late, after a
// start that is late too: it would then forget the end of that run, which this owner has not read, and
// the task would run again. The fencing token keeps the two apart. Each start carries a token that is
// higher than those of all polls sent before, and while a start may still be executed, polls
// acknowledge ends only with a lower token than that start's: a worker that has executed it rejects
// them. docs/design/worker-restart.md has the rules.

// tokenUnstored stands for the token of a start that is not stored yet: it is higher than those of all
// orders sent so far.
const tokenUnstored = math.MaxInt64

// StartsStored records that the starts decided so far are stored. token is the revision of their
// write, the lowest token that they are sent with.
func (s *State) StartsStored(token int64) {
	for _, r := range s.unstoredStarts {
		r.startToken = token
	}
	clear(s.unstoredStarts)
	s.unstoredStarts = s.unstoredStarts[:0]
}

// AckToken returns the highest fencing token, at most current, that a poll which acknowledges ends of
// a worker may carry. ok is false if no such poll may be sent. seen is a token that the worker has seen:
// it rejects lower ones.
func (s *State) AckToken(workerID string, current, seen int64) (token int64, ok bool) {
	w := s.workers[workerID]
	if w == nil || w.endsCut {
		return current, true
	}
	token = current
	for _, r := range w.runs {
		if !s.startInDoubt(r) || !r.needsItsEnd() {
			continue
		}
		if token = min(token, r.startToken-1); token < seen {
			return token, false
		}
	}
	return token, token == current || w.fence == fenceNone
}

// needsItsEnd reports whether the task would run again if the end of a run, begun by a late start, were
// forgotten unread. A worker's later incarnation rejects the tickets for the former one.
func (r *run) needsItsEnd() bool {
	st := r.task.step
	return !r.ticketed && !st.spec.AllowDuplicates && !st.spec.Service && !r.task.done && !st.job.final()
}

// startInDoubt reports whether a try of a run's start may still be executed, by this or a later
// incarnation of the worker. What a former owner sent is known only to have been executed if the
// worker lists the run.
func (s *State) startInDoubt(r *run) bool {
	if r.startToken == 0 && r.listedBootMS != 0 && r.repeats == 0 {
		return false
	}
	return s.now < r.lateUntil || r.awaitsAnswer && s.now < r.startDeadline.Add(maxOrderDelay)
}
