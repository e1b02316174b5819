package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
)

const (
	// leaseNoteDelay is how long a worker must be unresponsive before it is listed. A worker
	// that lost two replies in a row mostly answers the next poll.
	leaseNoteDelay = 300 * time.Millisecond
	// leaseNoteInterval is the time between two notes while workers are listed, so that the next
	// owner reads about how much is left of their leases. leaseNoteAddInterval is the time
	// before a note that adds workers.
	leaseNoteInterval    = time.Second
	leaseNoteAddInterval = 200 * time.Millisecond
	// maxLeaseNotes bounds the workers in a note, and so its size in the store.
	maxLeaseNotes = 1000
	// maxOwnerClockDrift is the fraction by which the clocks of two owners may differ in rate.
	maxOwnerClockDrift = 0.03
)

// leaseNotes are the workers whose leases are not extended, so that the next owner need not
// wait for leases that this one could have extended. A note is an event of the journal
// (events.KindLease) with the list of these workers, which replaces the one before.
// docs/design/lease-evidence.md has the rules.
type leaseNotes struct {
	// stored are the workers in the last stored list, writing those in the list that is being
	// stored; it is nil if there is none.
	stored, writing map[string]bool
	decidedAt       clock.Mono
}

// LatestLeaseNote returns the last list of leases in the journal that counts for an owner with the
// given epoch. since is the first epoch of the unbroken sequence of owners that keep to the
// lists, or 0 if this owner does not know it.
func LatestLeaseNote(journal []events.Segment, since, epoch int64) []events.Lease {
	if since <= 0 {
		return nil
	}
	for _, seg := range slices.Backward(journal) {
		if at := seg.Epoch(); at < since || at >= epoch {
			continue
		}
		for _, e := range slices.Backward(seg.Events) {
			if e.Kind == events.KindLease {
				return e.Leases
			}
		}
	}
	return nil
}

// RestoreLeases applies the list of leases of the former owners. It must be called between Replay
// and FinishRecovery.
func (s *State) RestoreLeases(list []events.Lease) {
	s.leaseNotes.stored = make(map[string]bool, len(list))
	for _, l := range list {
		s.leaseNotes.stored[l.Worker] = true
		if w := s.workers[l.Worker]; w != nil {
			w.unresponsive = true
			w.formerLeaseLeft = time.Duration(float64(l.LeftMS)*(1+maxOwnerClockDrift)) * time.Millisecond
		}
	}
}

// firstPollTime is how long after a takeover the runs of a listed worker are kept at least. The
// worker may answer the first poll and list its runs with their last checkpoints.
const firstPollTime = 500 * time.Millisecond

// limitFormerLease sets the end of the leases of a listed worker, as of the takeover. Starts that
// former owners sent to it need no time of their own: they were sent before the worker was
// listed, and count as extensions of its lease.
func (s *State) limitFormerLease(w *worker, takenOver clock.Mono) {
	w.leaseExpiry = takenOver.Add(min(s.cfg.FormerLeaseTTL, w.formerLeaseLeft))
	for _, r := range w.runs {
		r.startDeadline = min(r.startDeadline, s.now.Add(firstPollTime))
	}
}

// limitAnsweredLease bounds the end of the leases of a worker that answered a poll of this owner.
// It has seen this owner's token, so that from then on former owners extend nothing there, and
// this owner's last extension was sent before. Orders that were meant for a former incarnation of
// the worker may have extended the lease for longer.
func (s *State) limitAnsweredLease(w *worker) {
	if s.cfg.MaxLease > 0 {
		w.leaseExpiry = min(w.leaseExpiry, s.now.Add(s.cfg.MaxLease))
	}
	w.leaseExpiry = max(w.leaseExpiry, w.strayLeaseExpiry)
}

// MayExtendLease reports whether orders that extend the worker's lease may be sent to it. It
// returns false from the decision to list the worker until a list without it is stored, and from
// its restart until it has seen a raised token.
func (s *State) MayExtendLease(id string) bool {
	pending, _ := s.FencePending(id)
	return !pending && !s.leaseNotes.stored[id] && !s.leaseNotes.writing[id]
}

// LeasesStored records that all events returned by TakeEvents are stored. It returns the
// workers whose leases may be extended again.
func (s *State) LeasesStored() []string {
	n := &s.leaseNotes
	if n.writing == nil {
		return nil
	}
	var released []string
	for id := range n.stored {
		if !n.writing[id] {
			released = append(released, id)
		}
	}
	n.stored, n.writing = n.writing, nil
	return released
}

// HeldLeases returns the number of workers whose leases may not be extended.
func (s *State) HeldLeases() int {
	n := len(s.leaseNotes.writing)
	for id := range s.leaseNotes.stored {
		if !s.leaseNotes.writing[id] {
			n++
		}
	}
	return n
}

// isSilent reports whether the worker does not answer this owner and has runs whose leases may
// last.
func (s *State) isSilent(w *worker) bool {
	if len(w.runs) == 0 || w.leaseExpiry == 0 {
		return false
	}
	if w.unresponsive {
		return s.leaseNotes.stored[w.spec.ID] || s.now.Sub(w.unresponsiveSince) >= leaseNoteDelay
	}
	return !w.listed && !w.runsKnown
}

// noteLeases records the list of the workers whose leases are not extended, if it has changed or
// is old.
func (s *State) noteLeases() {
	n := &s.leaseNotes
	if n.writing != nil {
		return
	}
	var list []events.Lease
	added := false
	for _, w := range s.workerList {
		if len(list) == maxLeaseNotes {
			break
		}
		if !s.isSilent(w) {
			continue
		}
		end := w.leaseExpiry
		for _, r := range w.runs {
			end = max(end, s.leaseEnd(w, r))
		}
		left := max(0, end.Sub(s.now)).Milliseconds() + 1
		list = append(list, events.Lease{Worker: w.spec.ID, LeftMS: left})
		added = added || !n.stored[w.spec.ID]
	}
	if len(list)+len(n.stored) == 0 {
		return
	}
	age := s.now.Sub(n.decidedAt)
	if !s.listsAnsweringWorker() && age < leaseNoteInterval && (!added || age < leaseNoteAddInterval) {
		return
	}
	n.writing, n.decidedAt = make(map[string]bool, len(list)), s.now
	for _, l := range list {
		n.writing[l.Worker] = true
	}
	s.record(events.Leases(list))
}

// listsAnsweringWorker reports whether the stored list has a worker that answers. Its lease must
// be extended soon.
func (s *State) listsAnsweringWorker() bool {
	for id := range s.leaseNotes.stored {
		if w := s.workers[id]; w != nil && w.runsKnown && !w.unresponsive {
			return true
		}
	}
	return false
}
