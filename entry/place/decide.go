package place

import (
	"container/heap"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const (
	// limitRetryInterval is the delay before the jobs of teams at their limit are
	// retried: the ledger can receive more allotment without an event here.
	limitRetryInterval = 50 * time.Millisecond
	// gangRetryInterval is the delay between two searches for workers for a gang.
	gangRetryInterval = 100 * time.Millisecond
	// maxOffers is the maximum number of offers issued by one call of Decide.
	maxOffers = 8
)

// Decide returns up to maxDecisions decisions. Two kinds are issued beyond that
// bound: drops, and the starts of a gang with which a call begins. The slice is
// valid until the next call.
func (s *State) Decide(now clock.Mono, maxDecisions int) []Decision {
	s.advance(now)
	clear(s.decisions)
	s.decisions, s.maxDecisions, s.offersLeft = s.decisions[:0], maxDecisions, maxOffers
	s.sweepCancelled()
	s.releaseDelayed()
	s.endQuarantines()
	s.expireReservations()
	s.stopEndedJobs()
	s.escalatePreemptions()
	s.resolveOvercommit()
	s.shedTeams()
	s.liftThrottles()
	if s.outOfService {
		return s.decisions
	}
	s.serveUrgentReservations()
	if s.sharesStale {
		s.recomputeShares()
	}
	if s.limitRetryAt != 0 && s.now >= s.limitRetryAt {
		s.limitRetryAt = 0
		s.version++
	}
	if s.now >= s.retryAt && s.retryAt != 0 {
		s.retryAt = 0
		s.version++
	}
	s.unblockBuckets()
	s.serveTeams(0, urgentMask)
	s.serveTeams(1, otherMask)
	s.clearFreedWorkers()
	return s.decisions
}

// hasBudget reports whether this call of Decide may issue another decision.
func (s *State) hasBudget() bool { return len(s.decisions) < s.maxDecisions }

func (s *State) emit(d Decision) { s.decisions = append(s.decisions, d) }

// retryBy schedules a retry of all blocked buckets at the given time, even if no
// event occurs until then.
func (s *State) retryBy(at clock.Mono) {
	if s.retryAt == 0 || at < s.retryAt {
		s.retryAt = at
	}
}

// serveTeams serves the teams of State.heaps[heapIndex], and of them the buckets of
// mask, in order until no job fits or the call's decisions are used up.
func (s *State) serveTeams(heapIndex int, mask uint32) {
	h := s.heaps[heapIndex]
	for s.hasBudget() && h.Len() > 0 {
		t := h.teams[0]
		s.serveTeam(t, mask)
		if t.heapIndex[heapIndex] >= 0 && t.nonEmpty&^t.blocked&mask == 0 {
			heap.Remove(h, t.heapIndex[heapIndex])
		}
	}
}

// serveTeam places the first job of t that fits and blocks the buckets whose
// first job does not.
func (s *State) serveTeam(t *team, mask uint32) {
	if t.tentative != 0 {
		s.recheckTentative(t)
	}
	for s.hasBudget() {
		j := s.nextJob(t, mask)
		if j == nil {
			return
		}
		bucket := j.bucket
		if s.placeJob(j) {
			if !j.startable() {
				s.dequeue(j)
			}
			return
		}
		if (j.waitReason == ReasonReservation || j.constrained()) && s.backfill(t, bucket) {
			return
		}
		switch {
		case j.cancelled || j.offered:
		case j.startable():
			s.blockBucket(j, bucket)
		default:
			s.dequeue(j)
		}
	}
}

// maxBackfillTries is the maximum number of jobs tried behind a blocked one.
const maxBackfillTries = 8

// backfill starts a task of a later job in a bucket whose first job is blocked by
// another job's reservation or avoids the workers it failed on.
func (s *State) backfill(t *team, bucket uint8) bool {
	if len(t.buckets[bucket]) < 2 {
		return false
	}
	for _, j := range t.buckets[bucket][1:min(len(t.buckets[bucket]), maxBackfillTries+1)] {
		if j.cancelled || j.spec.class == policy.ClassGang || !j.startable() || s.deadlinePassed(j) {
			continue
		}
		size := s.expectedSize(j)
		w, _ := s.pickWorker(j, size)
		if w == nil || !s.chargeLimit(j, size) {
			continue
		}
		s.startMember(j, j.takeNextMember(), w, size)
		if !j.startable() {
			s.dequeue(j)
		}
		return true
	}
	return false
}

// placeJob tries to start one task of j, or all tasks of a gang. It reports whether
// something was started or tasks are being preempted for j.
func (s *State) placeJob(j *job) bool {
	if s.deadlinePassed(j) {
		s.dropJob(j, rcode.DeadlinePassed)
		s.flushDrops()
		return false
	}
	if j.spec.class == policy.ClassGang {
		return s.placeGang(j)
	}
	size := s.expectedSize(j)
	w, q := s.pickWorker(j, size)
	if w == nil {
		return s.handleNoCapacity(j, size, q)
	}
	if !s.chargeLimit(j, size) {
		return false
	}
	s.startMember(j, j.takeNextMember(), w, size)
	return true
}

// deadlinePassed reports whether a job's deadline passed while none of its tasks
// was running or finished. A job that is partly done continues past its deadline:
// a late result is worth more than none.
func (s *State) deadlinePassed(j *job) bool {
	return j.spec.deadline != 0 && s.now > j.spec.deadline && j.running == 0 && j.finished == 0
}

// chargeLimit charges size to the team's limit. If the limit does not allow it, it
// sets the wait reason and schedules a retry.
func (s *State) chargeLimit(j *job, size amount.Vec) bool {
	if s.cfg.Limiter.Reserve(j.team.name, size) {
		return true
	}
	j.waitReason = ReasonLimit
	if s.limitRetryAt == 0 {
		s.limitRetryAt = s.now.Add(limitRetryInterval)
	}
	return false
}

// startMember starts a member on a worker whose capacity was checked, after the
// team's limit was charged.
func (s *State) startMember(j *job, member int, w *worker, size amount.Vec) {
	end := s.now.Add(s.expectedRunTime(j))
	t := s.addTask(j, member, w, size, s.now, end)
	s.addTeamUsage(j.team, size, amount.Vec{})
	if j.reservation != nil && j.startableCount() == 0 {
		s.cancelReservation(j)
	}
	j.noCapacitySince = 0
	s.updateWaiting(j)
	s.emit(Start{task: t.id, job: j.spec.id, member: member, worker: w.id, size: size, runEnd: end})
}

// pickWorker returns a worker for the next member of j, or nil, and the query
// that was used.
func (s *State) pickWorker(j *job, size amount.Vec) (*worker, *query) {
	q := &s.query
	*q = query{job: j, size: size, runEnd: s.now.Add(s.expectedRunTime(j))}
	if j.rank == rankService {
		q.runEnd = 1<<62 - 1
		if w := s.pickLastWorker(q); w != nil {
			return w, q
		}
		if w := s.pickSpread(q); w != nil {
			return w, q
		}
	}
	return s.findWorker(q), q
}

// pickLastWorker returns the worker on which the next member to retry ran before,
// or nil if it cannot run there now.
func (s *State) pickLastWorker(q *query) *worker {
	j := q.job
	if len(j.retryMembers) == 0 {
		return nil
	}
	w := s.workers[j.lastRun[j.retryMembers[len(j.retryMembers)-1]].worker]
	if w == nil || !w.usable() || !q.size.Fits(w.free()) || !s.admits(w, q) {
		return nil
	}
	return w
}

const (
	// maxRacksSampled and maxWorkersSampled bound the search for a service's rack:
	// the racks examined and the workers examined in each.
	maxRacksSampled   = 16
	maxWorkersSampled = 8
)

// pickSpread returns the best worker in the sampled racks with the fewest members
// of a service, or nil.
func (s *State) pickSpread(q *query) *worker {
	if len(s.rackNames) == 0 || s.noFitCache.covers(q.size) {
		return nil
	}
	var best *worker
	fewest, score := 1<<30, 0.0
	at := s.rng.IntN(len(s.rackNames))
	for range min(maxRacksSampled, len(s.rackNames)) {
		rack := s.rackNames[at]
		at = (at + 1) % len(s.rackNames)
		n := q.job.racks[rack]
		if n > fewest {
			continue
		}
		for _, w := range s.sampleRack(rack) {
			if !w.usable() || !q.size.Fits(w.free()) || !s.admits(w, q) {
				continue
			}
			if v := s.score(w, q); best == nil || n < fewest || v < score {
				best, fewest, score = w, n, v
			}
		}
	}
	return best
}

// sampleRack returns up to maxWorkersSampled workers of a rack, from a random
// position on.
func (s *State) sampleRack(rack string) []*worker {
	list := s.racks[rack]
	if len(list) <= maxWorkersSampled {
		return list
	}
	from := s.rng.IntN(len(list) - maxWorkersSampled + 1)
	return list[from : from+maxWorkersSampled]
}

// handleNoCapacity sets the reason why j waits. Urgent jobs preempt at once; others
// get a reservation after ReserveAfter, and any job is offered to other shards
// after OfferAfter. It reports whether tasks are being preempted for j.
func (s *State) handleNoCapacity(j *job, size amount.Vec, q *query) bool {
	s.setWaitReason(j, size, q.reserved)
	if j.noCapacitySince == 0 {
		j.noCapacitySince = s.now
	}
	if j.waitReason == ReasonUnschedulable {
		s.offerJob(j)
		return false
	}
	if j.rank == rankUrgent && s.preemptFor(j, size) {
		return true
	}
	if s.now.Sub(j.noCapacitySince) >= s.cfg.ReserveAfter && j.rank != rankUrgent {
		s.reserveCapacity(j, size, 1)
	}
	if s.cfg.OfferAfter >= 0 && s.now.Sub(j.noCapacitySince) >= s.cfg.OfferAfter {
		s.offerJob(j)
	}
	s.retryBy(s.now.Add(s.cfg.ReserveAfter))
	return false
}

// setWaitReason records why j, for which no worker was found, waits; reserved says
// that the search met capacity reserved for other jobs.
func (s *State) setWaitReason(j *job, size amount.Vec, reserved bool) {
	switch {
	case s.plain.workerCount+s.accelerated.workerCount == 0:
		j.waitReason = ReasonNoReadyWorker
	case !size.Fits(s.minCapacity) && s.countWhenEmpty(size) == 0 || j.spec.class == policy.ClassGang && s.countWhenEmpty(size) < j.spec.members:
		j.waitReason = ReasonUnschedulable
	case reserved:
		j.waitReason = ReasonReservation
	default:
		j.waitReason = ReasonNoCapacity
	}
}

// offerJob offers a job to the other shards. It does nothing if the cell has only
// this shard, or if a task of the job has run or is waiting to be retried.
func (s *State) offerJob(j *job) {
	if s.cfg.CellCapacity == nil || s.cfg.OfferAfter < 0 || s.offersLeft == 0 || !s.hasBudget() || s.now < j.nextOfferAt ||
		j.offered || j.running > 0 || j.finished > 0 || j.deferred > 0 {
		return
	}
	s.offersLeft--
	j.offered = true
	j.offers++
	s.cancelReservation(j)
	s.dequeue(j)
	s.emit(Offer{job: j.spec.id})
}

// stopEndedJobs issues the pending drops and stops the running tasks of cancelled
// and failed jobs and of gangs that restart.
func (s *State) stopEndedJobs() {
	s.flushDrops()
	for len(s.jobsToStop) > 0 && s.hasBudget() {
		j := s.jobsToStop[len(s.jobsToStop)-1]
		for t := j.tasks; t != nil && s.hasBudget(); t = t.next {
			if t.action != ActionStop {
				s.preempt(t, ActionStop, t.size, s.now.Add(s.cfg.StopGrace))
			}
		}
		if !s.hasBudget() {
			return
		}
		s.jobsToStop = s.jobsToStop[:len(s.jobsToStop)-1]
	}
}

// flushDrops issues all pending drops, even beyond the bound of the call: a drop
// uses no capacity, and a lost one would leave its job without a result.
func (s *State) flushDrops() {
	for _, d := range s.pendingDrops {
		s.emit(d)
	}
	s.pendingDrops = s.pendingDrops[:0]
}
