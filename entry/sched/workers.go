package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
)

// PutWorker adds or updates a worker on the platform's list. No task starts on a worker
// before its list of runs was read for the first time. Which incarnation answers at the
// worker's address is known from its own reports: entries of the list may be read late, or
// be those of another writer.
func (s *State) PutWorker(spec WorkerSpec) {
	w := s.workers[spec.ID]
	if w == nil {
		w = s.addWorker(WorkerSpec{ID: spec.ID})
	}
	w.entryBootMS = spec.BootUnixMS
	if w.spec.BootUnixMS != 0 {
		if spec.BootUnixMS != 0 && spec.BootUnixMS != w.spec.BootUnixMS {
			w.runsKnown = false // until the worker's next report says which incarnation it is
		}
		spec.BootUnixMS = w.spec.BootUnixMS
	}
	if w.spec.Addr != "" && spec.Addr != w.spec.Addr {
		w.runsKnown = false // the clock at the new address is not known
	}
	w.spec, w.listed = spec, true
}

// relistTime is how long a worker that answers polls is used after it was taken off the
// platform's list without having reported its shutdown. Entries lapse in an outage of the
// store, and are back within two seconds of its return if the worker lives.
const relistTime = 2 * time.Second

// DelistWorker records that a worker is no longer on the platform's list. It gets no new
// tasks once relistTime is over, and its runs are kept until they have certainly ended.
func (s *State) DelistWorker(id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if w.listed && !w.spec.Draining {
		w.usableUntil = s.now.Add(relistTime)
	}
	w.listed = false
	s.removeIfUnused(w)
}

// isDescribed reports whether the entry in the platform's list describes the incarnation that
// reports. Another one may have had another capacity, other labels or another service.
func (w *worker) isDescribed() bool {
	return w.entryBootMS == 0 || w.spec.BootUnixMS == 0 || w.entryBootMS == w.spec.BootUnixMS
}

// isUsable reports whether a worker is listed or may be listed again.
func (s *State) isUsable(w *worker) bool { return w.listed || s.now < w.usableUntil }

// removeIfUnused deletes the record of a delisted worker that has no runs.
func (s *State) removeIfUnused(w *worker) {
	if !s.isUsable(w) && len(w.runs) == 0 {
		s.markDeparted(w)
		delete(s.workers, w.spec.ID)
		s.index.update(w, false)
		s.workerList = slices.DeleteFunc(s.workerList, func(o *worker) bool { return o == w })
	}
}

// replaceIncarnation records that a new incarnation runs under the worker's ID, so the
// runs that the former one listed have ended. A start that was not listed yet, or that was tried
// more than once, may have reached the new one, or may still reach it; the first list after the
// fence shows it. A stop that the former incarnation accepted means nothing to the new one.
func (s *State) replaceIncarnation(w *worker, bootUnixMS int64) {
	for _, r := range w.runs.copy() {
		if r.listedBootMS == bootUnixMS {
			continue
		}
		if r.listedBootMS != 0 && r.triesAnswered {
			s.endRun(r, events.RunLost, "")
			continue
		}
		r.confirmed, r.stopAccepted, r.beforeFence, r.listedBootMS, r.acceptedBootMS = false, false, true, 0, 0
		r.speedPercent, r.pausedSince, r.firstListedAt = speedUnknown, 0, 0
	}
	w.spec.BootUnixMS = bootUnixMS
	if w.answered {
		w.fence = fenceDue
	}
	s.resetIncarnation(w)
}

// resetIncarnation clears the state that belongs to one incarnation.
func (s *State) resetIncarnation(w *worker) {
	w.lastSeenSeq, w.runsKnown, w.failStreak, w.suspectUntil = 0, false, 0, 0
	w.failedJobs = nil
	w.speed = speedRecord{}
}

// WorkerReplaced records that a worker with another ID answers at the worker's address,
// so all its runs have ended.
func (s *State) WorkerReplaced(id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.runs.copy() {
		s.endRun(r, events.RunLost, "")
	}
	s.resetIncarnation(w)
	s.removeIfUnused(w)
}

// LeaseExtended records that an order was sent at now that extends the lease of the worker's runs
// until expiry.
func (s *State) LeaseExtended(id string, now, expiry clock.Mono) {
	if w := s.workers[id]; w != nil {
		w.leaseExpiry, w.orderedAt = max(w.leaseExpiry, expiry), max(w.orderedAt, now)
	}
}

// PollFailed records that a worker left a poll unanswered. It gets no new tasks until it has
// answered, as it may have restarted.
func (s *State) PollFailed(id string) {
	if w := s.workers[id]; w != nil {
		w.pollFailed = true
	}
}

// WorkerUnresponsive records that a worker did not answer the last polls.
func (s *State) WorkerUnresponsive(id string) {
	if w := s.workers[id]; w != nil && !w.unresponsive {
		w.unresponsive, w.unresponsiveSince = true, s.now
	}
}

// endExpiredRuns ends the runs of unresponsive and delisted workers whose leases have
// all expired.
func (s *State) endExpiredRuns() {
	s.forgetDeparted()
	for _, w := range slices.Clone(s.workerList) {
		if !w.listed {
			s.removeIfUnused(w)
		}
		if !w.unresponsive && w.listed || len(w.runs) == 0 || w.leaseExpiry == 0 || s.now < w.leaseExpiry {
			continue
		}
		var givenUp runSet
		for _, r := range w.runs.copy() {
			if s.now >= max(r.startDeadline, s.leaseEnd(w, r)) {
				s.endRun(r, events.RunLost, "")
				givenUp.add(r)
			}
		}
		s.recordLeaseEnd(w, givenUp)
		s.removeIfUnused(w)
	}
}

// duplicateUnresponsive requeues the tasks of unresponsive workers that allow duplicates,
// so that they need not wait for the lease to expire.
func (s *State) duplicateUnresponsive() {
	for _, w := range s.workerList {
		if !w.unresponsive {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if t.run != r || !t.step.spec.AllowDuplicates || t.step.spec.Gang || t.done || t.step.job.final() {
				continue
			}
			t.run, t.avoidWorker = nil, w
			t.step.unassigned++
			s.enqueue(t.step)
		}
	}
}

// HasWorker reports whether a worker is listed or may still have runs.
func (s *State) HasWorker(id string) bool { return s.workers[id] != nil }

// UnconfirmedRuns returns the number of a worker's runs that it neither accepted nor listed under
// this owner.
func (s *State) UnconfirmedRuns(id string) int {
	w := s.workers[id]
	if w == nil {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		if !r.confirmed {
			n++
		}
	}
	return n
}
