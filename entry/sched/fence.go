package sched

import (
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
)

// A worker that restarts under its id executes orders that were meant for its former incarnation:
// starts, leases that end at a time on the former clock, acknowledgements. It has seen no fencing
// token that would keep them out. So the owner raises its token for the worker: it records the
// restart in the journal, uses the revision of that write as the token, and starts nothing there
// before the worker has answered a poll with it. docs/design/worker-restart.md has the rules.

// fence is how far the owner has come with raising its fencing token for a restarted worker.
type fence string

const (
	fenceNone    fence = ""        // no restart since this owner's first answer, or the worker saw the token
	fenceDue     fence = "due"     // the restart is not in the journal yet
	fenceWriting fence = "writing" // the restart is being stored
	fenceStored  fence = "stored"  // the worker has not answered a poll with the token yet
)

const (
	// FenceTTL is how long after its write was answered the first answer to a raised token counts.
	// It bounds the time for which orders for the former incarnation can still be executed after
	// another VM has taken over.
	FenceTTL = 5 * time.Second
	// MaxOrderTime is how long runs on a worker that does not answer wait for orders under way to
	// it. It covers all tries of a start; some orders are later, up to maxOrderDelay.
	MaxOrderTime = 2 * time.Second
)

// fenceRestarted records the restarts for which no token was raised yet.
func (s *State) fenceRestarted() {
	for _, w := range s.workerList {
		if w.fence == fenceDue {
			w.fence = fenceWriting
			s.record(events.Restart(w.spec.ID, w.spec.BootUnixMS))
		}
	}
}

// RestartsStored records that the restarts returned by TakeEvents are stored. token is the revision
// of their write, which is higher than any token that the workers were sent. It returns the
// workers that must be polled with it.
func (s *State) RestartsStored(token int64) []string {
	var ids []string
	for _, w := range s.workerList {
		if w.fence == fenceWriting {
			w.fence, w.fenceToken, w.fenceExpiry = fenceStored, token, s.now.Add(FenceTTL)
			ids = append(ids, w.spec.ID)
		}
	}
	return ids
}

// FencePending reports whether a worker restarted and has not answered a poll with the raised token
// yet. stored is whether there is such a token.
func (s *State) FencePending(id string) (pending, stored bool) {
	w := s.workers[id]
	if w == nil {
		return false, false
	}
	return w.fence != fenceNone, w.fence == fenceStored
}

// observeFence applies a report to the worker's fence. From the first answer to this owner, and the
// first one with a raised token, the worker rejects all orders that were sent before. What
// those that it executed extended lasts for the longest lease from then.
func (s *State) observeFence(w *worker, token int64) {
	switch {
	case !w.answered:
		w.answered = true
	case w.fence == fenceStored && token >= w.fenceToken && s.now <= w.fenceExpiry:
		w.fence = fenceNone
	case w.fence == fenceStored && s.now > w.fenceExpiry:
		w.fence = fenceDue
		return
	default:
		return
	}
	if s.cfg.LeaseCap > 0 {
		w.strayLeaseExpiry = s.now.Add(s.cfg.LeaseCap)
	}
}

// leaseEnd returns when every lease that a run on the worker may hold has ended. A run that the
// current incarnation has neither accepted nor listed, or whose start had a try without an answer, may
// be one that an order for a former incarnation begins.
func (s *State) leaseEnd(w *worker, r *run) clock.Mono {
	accepted := r.triesAnswered && r.acceptedBootMS != 0 && r.acceptedBootMS == w.spec.BootUnixMS
	settled := accepted || r.listedBootMS != 0 && (r.triesAnswered || r.lastListedAt > r.startDeadline)
	if w.orderedAt == 0 || w.fence == fenceNone && settled {
		return w.leaseExpiry
	}
	return max(w.leaseExpiry, w.orderedAt.Add(MaxOrderTime+s.cfg.LeaseCap))
}

// markDeparted remembers a removed worker. If one with its id is listed soon, orders that were
// meant for this one may still reach it.
func (s *State) markDeparted(w *worker) {
	if w.answered {
		s.departed[w.spec.ID] = s.now
	}
}

// restoreDeparted treats a worker that is listed again soon after it was removed as restarted.
func (s *State) restoreDeparted(w *worker) {
	if _, ok := s.departed[w.spec.ID]; ok {
		w.answered, w.fence = true, fenceDue
		delete(s.departed, w.spec.ID)
	}
}

// forgetDeparted forgets the removed workers that no order can reach any more.
func (s *State) forgetDeparted() {
	for id, at := range s.departed {
		if s.now.Sub(at) >= maxOrderDelay {
			delete(s.departed, id)
		}
	}
}
