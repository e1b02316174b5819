package place

import (
	"cmp"
	"math"
	"slices"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// capacityReservation is capacity on workers that is reserved for a waiting job.
type capacityReservation struct {
	workers []*worker
	amount  amount.Vec
	// startAt is when the capacity should be free, expiresAt when the reservation
	// is given up.
	startAt, expiresAt clock.Mono
}

// placeGang starts all waiting members of a gang, or none of them, and reports
// whether it started them.
func (s *State) placeGang(j *job) bool {
	if s.now < j.retryAt {
		s.retryBy(j.retryAt)
		return false
	}
	if j.running+len(j.remoteMembers) > 0 {
		// Only some members run, as after a recovery. They cannot do their work
		// without the others, so the gang starts over.
		s.restartGang(j, OutcomeLost)
		s.version++
		return false
	}
	size, n := s.expectedSize(j), j.startableCount()
	if n > s.maxDecisions-len(s.decisions) && len(s.decisions) > 0 {
		// All members start in one call. Too few decisions are left in this one; a
		// call that begins with the gang starts it whatever its size.
		s.version++
		return false
	}
	if !s.pickWorkers(j, size, n) {
		j.retryAt = s.now.Add(gangRetryInterval)
		s.retryBy(j.retryAt)
		return s.handleGangNoCapacity(j, size, n)
	}
	if !s.chargeLimitForAll(j, size, n) {
		j.retryAt = s.now.Add(gangRetryInterval)
		return false
	}
	for _, w := range s.picked {
		s.startMember(j, j.takeNextMember(), w, size)
	}
	return true
}

// pickWorkers fills s.picked with workers for up to n tasks and reports whether
// there are enough of them. It allocates nothing.
func (s *State) pickWorkers(j *job, size amount.Vec, n int) bool {
	s.picked = s.picked[:0]
	if n > fitCount(s.freeCapacity, size) {
		return false
	}
	for len(s.picked) < n {
		w, _ := s.pickWorker(j, size)
		if w == nil {
			break
		}
		w.allocated = w.allocated.Add(size)
		s.reindex(w)
		s.picked = append(s.picked, w)
	}
	for _, w := range s.picked {
		w.allocated = w.allocated.Sub(size)
		s.reindex(w)
	}
	if len(s.picked) < n {
		// Sizes cached as not fitting while the members were allocated may fit
		// again.
		for _, w := range s.picked {
			s.noFitCache.invalidate(w.free())
		}
		return false
	}
	return true
}

// chargeLimitForAll charges the team's limit for n tasks, or for none.
func (s *State) chargeLimitForAll(j *job, size amount.Vec, n int) bool {
	// All members are charged at once: a Limiter that requests more allotment on
	// demand has to know the whole amount, or a gang that needs more than the idle
	// allotment never starts.
	return s.chargeLimit(j, scaled(size, n))
}

// scaled returns v times n.
func scaled(v amount.Vec, n int) amount.Vec {
	var sum amount.Vec
	for range n {
		sum = sum.Add(v)
	}
	return sum
}

// handleGangNoCapacity sets the reason why a gang waits, reserves capacity for it
// and, if that is not possible, offers it to other shards after OfferAfter. It
// returns false: no tasks are preempted for gangs.
func (s *State) handleGangNoCapacity(j *job, size amount.Vec, n int) bool {
	s.setWaitReason(j, size, false)
	if j.noCapacitySince == 0 {
		j.noCapacitySince = s.now
	}
	if j.waitReason == ReasonUnschedulable {
		s.offerJob(j)
		return false
	}
	s.reserveCapacity(j, size, n)
	if j.reservation == nil && s.cfg.OfferAfter >= 0 && s.now.Sub(j.noCapacitySince) >= s.cfg.OfferAfter {
		s.offerJob(j)
	}
	return false
}

// slot is capacity for one task on a worker from a time on.
type slot struct {
	availableAt clock.Mono
	w           *worker
}

// reserveCapacity reserves the n slots that become free first. Because it scans all
// workers, it does nothing if the job has a reservation, if there are MaxReserved
// of them, or within gangRetryInterval of the last scan.
func (s *State) reserveCapacity(j *job, size amount.Vec, n int) {
	if j.reservation != nil || len(s.jobsWithReservation) >= s.cfg.MaxReserved || s.now < s.planRetryAt {
		return
	}
	// The scan takes up to a millisecond with 4,800 workers.
	s.planRetryAt = s.now.Add(gangRetryInterval)
	// No capacity is reserved for work that the team's limit does not allow.
	if !s.chargeLimitForAll(j, size, n) {
		return
	}
	for range n {
		s.cfg.Limiter.Release(j.team.name, size)
	}
	s.slots = s.slots[:0]
	for _, w := range s.workerOrder {
		if w.usable() && w.reservedFor == nil && w.urgentJob == nil && !w.onProbation && !slices.Contains(j.failedOn, w.id) {
			s.addSlots(w, size, n)
		}
	}
	if len(s.slots) < n {
		return
	}
	slices.SortFunc(s.slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.availableAt, b.availableAt), cmp.Compare(a.w.orderIndex, b.w.orderIndex))
	})
	r := &capacityReservation{startAt: s.slots[n-1].availableAt}
	if r.startAt == math.MaxInt64 {
		return
	}
	r.expiresAt = max(r.startAt, s.now).Add(s.cfg.ReserveFor)
	for _, sl := range s.slots[:n] {
		if sl.w.reservedFor == nil {
			sl.w.reservedFor, sl.w.reservedFrom = j, r.startAt
			r.workers = append(r.workers, sl.w)
		}
		sl.w.reservedCapacity = sl.w.reservedCapacity.Add(size)
		r.amount = r.amount.Add(size)
	}
	j.reservation = r
	s.jobsWithReservation = append(s.jobsWithReservation, j)
	s.addTeamUsage(j.team, amount.Vec{}, r.amount)
}

// addSlots appends up to n slots of a worker to s.slots: those free now, and those
// that become free at the expected ends of the tasks running there.
func (s *State) addSlots(w *worker, size amount.Vec, n int) {
	free, have := w.free(), 0
	add := func(availableAt clock.Mono) {
		for k := fitCount(free, size); have < k && have < n; have++ {
			s.slots = append(s.slots, slot{availableAt: availableAt, w: w})
		}
	}
	add(s.now)
	s.victims = append(s.victims[:0], w.tasks...)
	slices.SortFunc(s.victims, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.expectedEnd(s.now), b.expectedEnd(s.now)), cmp.Compare(a.index, b.index))
	})
	for _, t := range s.victims {
		if t.job.rank == rankService {
			return
		}
		free = free.Add(t.size)
		add(t.expectedEnd(s.now))
	}
}

// cancelReservation gives up the reservation of j, if there is one.
func (s *State) cancelReservation(j *job) {
	if j == nil || j.reservation == nil {
		return
	}
	r := j.reservation
	j.reservation = nil
	s.jobsWithReservation = slices.DeleteFunc(s.jobsWithReservation, func(o *job) bool { return o == j })
	for _, w := range r.workers {
		w.reservedFor, w.reservedCapacity, w.reservedFrom = nil, amount.Vec{}, 0
	}
	s.addTeamUsage(j.team, amount.Vec{}, amount.Vec{}.Sub(r.amount))
	s.version++
}

// expireReservations gives up the reservations and holds that have expired.
func (s *State) expireReservations() {
	for i := len(s.jobsWithReservation) - 1; i >= 0; i-- {
		if j := s.jobsWithReservation[i]; s.now >= j.reservation.expiresAt {
			s.cancelReservation(j)
			// Other jobs may reserve before this one does again.
			j.noCapacitySince = s.now
			j.retryAt = s.now.Add(s.cfg.ReserveAfter)
		}
	}
	for i := len(s.holdList) - 1; i >= 0; i-- {
		if h := s.holdList[i]; s.now >= h.expiresAt {
			s.ReleaseHold(h.id)
		}
	}
}

// hold is capacity allocated for members of a gang whose record is kept by the owner
// of another shard.
type hold struct {
	id        string
	team      *team
	size      amount.Vec
	workers   []*worker
	expiresAt clock.Mono
}

// CountFitting returns how many tasks of a size fit now, up to limit.
func (s *State) CountFitting(team string, size amount.Vec, limit int) int {
	probe := &job{spec: Job{size: size}, team: s.team(team), est: &estimate{}, rank: rankBatch}
	s.pickWorkers(probe, size, min(limit, fitCount(s.freeCapacity, size)))
	return len(s.picked)
}

// Hold allocates capacity for n members of a gang until expiresAt, for all or none,
// and charges the team's limit. It reports whether it did.
func (s *State) Hold(id, team string, size amount.Vec, n int, expiresAt clock.Mono) bool {
	if s.holdsByID[id] != nil || n < 1 || n > s.cfg.MaxMembers || size.HasNegative() || expiresAt <= s.now || s.outOfService {
		return false
	}
	size = size.Max(amount.New(minCPU, minMemory, 0, 0))
	probe := &job{spec: Job{size: size}, team: s.team(team), est: &estimate{}, rank: rankBatch}
	if !s.pickWorkers(probe, size, n) || !s.chargeLimitForAll(probe, size, n) {
		return false
	}
	h := &hold{id: id, team: probe.team, size: size, workers: slices.Clone(s.picked), expiresAt: expiresAt}
	for _, w := range h.workers {
		w.allocated = w.allocated.Add(size)
		s.reindex(w)
		s.addTeamUsage(h.team, size, amount.Vec{})
	}
	s.holdsByID[id] = h
	s.holdList = append(s.holdList, h)
	return true
}

// CommitHold starts the members of the job from first on with the capacity held. It
// returns an error if the hold has expired, does not belong to the job, or has lost
// a worker; then nothing starts and the hold is released.
func (s *State) CommitHold(id string, spec Job, first int, now clock.Mono) ([]Start, error) {
	s.advance(now)
	s.expireReservations()
	h := s.holdsByID[id]
	if h == nil {
		return nil, rcode.New(rcode.NotFound, "place.CommitHold: hold %q is unknown or has expired", id)
	}
	if s.outOfService || slices.ContainsFunc(h.workers, func(w *worker) bool { return !w.ready || w.removed }) {
		s.ReleaseHold(id)
		return nil, rcode.New(rcode.NoCapacity, "place.CommitHold: hold %q cannot start: a worker was lost or the data centre is out of service", id)
	}
	if spec.team != h.team.name || first < 0 || first+len(h.workers) > spec.members {
		s.ReleaseHold(id)
		return nil, rcode.New(rcode.BadRequest, "place.CommitHold: hold %q does not match job %q", id, spec.id)
	}
	j := s.jobs[spec.id]
	if j == nil {
		j = s.addJob(spec)
		j.foreign, j.nextMember = true, spec.members
	}
	s.removeHold(h)
	out := make([]Start, 0, len(h.workers))
	end := s.now.Add(s.expectedRunTime(j))
	for i, w := range h.workers {
		w.allocated = w.allocated.Sub(h.size)
		s.takeMember(j, first+i)
		t := s.addTask(j, first+i, w, h.size, s.now, end)
		out = append(out, Start{task: t.id, job: spec.id, member: first + i, worker: w.id, size: h.size, runEnd: end})
	}
	s.updateQueued(j)
	return out, nil
}

// ReleaseHold gives up a hold. An unknown id is ignored.
func (s *State) ReleaseHold(id string) {
	h := s.holdsByID[id]
	if h == nil {
		return
	}
	s.removeHold(h)
	for _, w := range h.workers {
		w.allocated = w.allocated.Sub(h.size)
		s.cfg.Limiter.Release(h.team.name, h.size)
		s.addTeamUsage(h.team, amount.Vec{}.Sub(h.size), amount.Vec{})
		s.capacityFreed(w)
		s.deleteIfEmpty(w)
	}
}

// removeHold removes a hold from the lists without freeing its capacity.
func (s *State) removeHold(h *hold) {
	delete(s.holdsByID, h.id)
	s.holdList = slices.DeleteFunc(s.holdList, func(o *hold) bool { return o == h })
}
