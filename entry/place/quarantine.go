package place

import (
	"slices"
	"time"
)

// recordFailure records a failure for the worker and the job. A failure on a worker
// on probation counts only against the worker. A service member's first failures on
// a worker do not count, since it restarts there.
func (s *State) recordFailure(t *task) {
	j, w := t.job, t.worker
	if t.onProbation {
		s.quarantine(w)
		return
	}
	if j.lastRun != nil {
		last := j.lastRun[t.member]
		if last.worker != w.id {
			last = lastRun{worker: w.id}
		}
		last.failures++
		j.lastRun[t.member] = last
		if last.failures < maxFailuresInPlace {
			return
		}
	}
	if !slices.Contains(j.failedOn, w.id) && len(j.failedOn) < maxFailedWorkers {
		j.failedOn = append(j.failedOn, w.id)
	}
	j.provenWaitUntil = s.now.Add(provenWorkerWait)
	if j.est.recordFailure(w.id, s.now) {
		// The kind fails everywhere, which is no evidence against these workers.
		for _, id := range j.est.failedOn {
			s.clearFailures(s.workers[id], func(o *job) bool { return o.est == j.est })
		}
		return
	}
	if !slices.Contains(w.failedJobs, j) {
		w.failedJobs = append(w.failedJobs, j)
	}
	if len(w.failedJobs) >= quarantineAfter && w.quarantinedUntil == 0 {
		s.quarantine(w)
	}
}

// quarantine stops placing work on w for a time that doubles with each quarantine
// until a task succeeds there.
func (s *State) quarantine(w *worker) {
	w.backoff = min(s.cfg.QuarantineMax, max(s.cfg.QuarantineBase, 2*w.backoff))
	jitter := time.Duration(s.rng.Int64N(int64(w.backoff)/4 + 1))
	w.quarantinedUntil = s.now.Add(w.backoff + jitter)
	w.onProbation, w.proven = false, false
	// The worker is at fault, so its failures no longer count against the jobs.
	for _, j := range w.failedJobs {
		j.failedOn = slices.DeleteFunc(j.failedOn, func(id string) bool { return id == w.id })
	}
	s.quarantined = append(s.quarantined, w)
	s.unindexWorker(w)
	s.cancelReservation(w.reservedFor)
}

// clearJobFailures clears the failures of a dropped job on its workers.
func (s *State) clearJobFailures(j *job) {
	for _, id := range j.failedOn {
		s.clearFailures(s.workers[id], func(o *job) bool { return o == j })
	}
}

// clearFailures removes the failures of matching jobs from a worker's record, and
// ends its quarantine if the remaining ones do not justify it.
func (s *State) clearFailures(w *worker, matches func(*job) bool) {
	if w == nil || len(w.failedJobs) == 0 {
		return
	}
	before := len(w.failedJobs)
	w.failedJobs = slices.DeleteFunc(w.failedJobs, matches)
	if w.quarantinedUntil != 0 && before >= quarantineAfter && len(w.failedJobs) < quarantineAfter {
		w.quarantinedUntil, w.backoff = 0, 0
		s.capacityFreed(w)
	}
}
