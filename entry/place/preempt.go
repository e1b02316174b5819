package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
)

// victimWorkerSample is the number of workers that are compared to find the one
// where a preemption loses the least work.
const victimWorkerSample = 32

// urgentReservation reserves a worker for one member of an urgent job while tasks
// are preempted there.
type urgentReservation struct {
	job    *job
	member int
	worker *worker
	size   amount.Vec
	// throttleUntil is when tasks are checkpointed because throttling them has not
	// freed enough; 0 if none was throttled.
	throttleUntil clock.Mono
	// failed is set if not enough capacity can be freed on the worker.
	failed bool
}

// preempt issues an action against a task, which has until actionDeadline to comply.
func (s *State) preempt(t *task, action Action, size amount.Vec, actionDeadline clock.Mono) {
	if t.action == "" {
		s.preempting = append(s.preempting, t)
	}
	t.action, t.actionDeadline = action, actionDeadline
	s.emit(Preempt{task: t.id, worker: t.worker.id, action: action, size: size, actionDeadline: actionDeadline})
}

// preemptFor preempts tasks for one member of an urgent job, on the sampled worker
// where that loses the least work, and reserves the worker for the member.
// Throttling loses no work, so the first worker on which it is enough is taken.
func (s *State) preemptFor(j *job, size amount.Vec) bool {
	if len(s.workerOrder) == 0 || !s.hasBudget() {
		return false
	}
	var best *worker
	var cost float64
	at := s.rng.IntN(len(s.workerOrder))
	for range min(victimWorkerSample, len(s.workerOrder)) {
		w := s.workerOrder[at]
		if at++; at == len(s.workerOrder) {
			at = 0
		}
		if !w.usable() || w.urgentJob != nil || w.onProbation || !size.Fits(w.capacity) || slices.Contains(j.failedOn, w.id) {
			continue
		}
		need := size.Sub(w.free()).ClampToZero()
		if s.canThrottle(w, need) && s.leavesAcceleratorReserve(w, w.free().Max(size), size) && len(w.tasks) <= s.maxDecisions-len(s.decisions) {
			best = w
			break
		}
		c, ok := s.selectVictimsOn(w, need)
		if ok && s.leavesAcceleratorReserve(w, s.freeWithoutVictims(w), size) && (best == nil || c < cost) && len(s.victims) <= s.maxDecisions-len(s.decisions) {
			best, cost = w, c
			s.bestVictims = append(s.bestVictims[:0], s.victims...)
		}
	}
	// The limit stays charged while the reservation exists, so that nothing is
	// preempted for work beyond the limit, nor for two members if it allows one.
	if best == nil || !s.chargeLimit(j, size) {
		return false
	}
	r := urgentReservation{job: j, worker: best, size: size}
	if need := size.Sub(best.free()).ClampToZero(); s.canThrottle(best, need) {
		r.throttleUntil = s.now.Add(s.cfg.ThrottleGrace)
		s.throttleBatchTasks(best, need.CPUMilli())
	} else {
		s.checkpoint(s.bestVictims, s.cfg.CheckpointGrace)
	}
	best.urgentJob = j
	r.member = j.takeNextMember()
	s.urgentReservations = append(s.urgentReservations, r)
	j.deferred++
	return true
}

// checkpoint has tasks checkpointed, and stopped if that takes longer than grace.
func (s *State) checkpoint(victims []*task, grace time.Duration) {
	for _, t := range victims {
		s.preempt(t, ActionCheckpoint, t.size, s.now.Add(grace))
	}
}

// throttleable reports whether a task may be throttled for urgent work. Since that
// loses no work, it also holds for tasks that are not repeatable.
func (t *task) throttleable() bool {
	return t.action == "" && !t.throttled && t.job.spec.class == policy.ClassBatch
}

// canThrottle reports whether need is only CPU and throttling the batch tasks on w
// to half of theirs frees enough.
func (s *State) canThrottle(w *worker, need amount.Vec) bool {
	if need.CPUMilli() == 0 || need.MemoryMiB() > 0 || need.Accelerators() > 0 {
		return false
	}
	var half int64
	for _, t := range w.tasks {
		if t.throttleable() {
			half += t.size.CPUMilli() / 2
		}
	}
	return half >= need.CPUMilli()
}

// throttleBatchTasks throttles the batch tasks on w, in proportion to their size, to
// free the given CPU.
func (s *State) throttleBatchTasks(w *worker, cpu int64) {
	var total int64
	for _, t := range w.tasks {
		if t.throttleable() {
			total += t.size.CPUMilli()
		}
	}
	for _, t := range w.tasks {
		if !t.throttleable() {
			continue
		}
		// liftThrottlesOn gives the task at least its present size again.
		t.peak = t.peak.Max(t.size)
		t.cpuCap = t.size.CPUMilli() - int64(math.Ceil(float64(t.size.CPUMilli())*float64(cpu)/float64(total)))
		s.preempt(t, ActionThrottle, withCPU(t.size, t.cpuCap), s.now.Add(s.cfg.ThrottleGrace))
	}
	s.trackThrottled(w)
}

// trackThrottled adds w to the workers whose throttles have to be lifted again.
func (s *State) trackThrottled(w *worker) {
	if !w.inThrottled {
		w.inThrottled = true
		s.throttledWorkers = append(s.throttledWorkers, w)
	}
}

// freeWithoutVictims returns the free capacity of w once s.victims have ended.
func (s *State) freeWithoutVictims(w *worker) amount.Vec {
	free := w.free()
	for _, t := range s.victims {
		free = free.Add(t.size)
	}
	return free
}

// preemptible reports whether a task may be stopped for urgent work. Tasks that are
// not repeatable may not, nor may members of gangs, since that would stop the whole
// gang.
func (t *task) preemptible() bool {
	return t.action == "" && t.job.spec.class == policy.ClassBatch && t.job.spec.repeatable
}

// selectVictimsOn selects tasks on w whose end frees need into s.victims. It returns
// the work lost, and whether need is met.
func (s *State) selectVictimsOn(w *worker, need amount.Vec) (float64, bool) {
	s.victims = s.victims[:0]
	for _, t := range w.tasks {
		if t.preemptible() {
			s.victims = append(s.victims, t)
		}
	}
	return s.selectVictims(need)
}

// selectVictims reduces s.victims to tasks that together free need: by lowest
// priority, then by the least work lost for the amount freed. It returns the work
// lost, and whether need is met.
func (s *State) selectVictims(need amount.Vec) (float64, bool) {
	if need.IsZero() {
		s.victims = s.victims[:0]
		return 0, true
	}
	slices.SortFunc(s.victims, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.spec.priority, b.job.spec.priority),
			cmp.Compare(a.lostWork(s.now)/freedShare(a, need), b.lostWork(s.now)/freedShare(b, need)), cmp.Compare(a.id, b.id))
	})
	var cost float64
	kept := s.victims[:0]
	for _, t := range s.victims {
		if need.IsZero() {
			break
		}
		if freedShare(t, need) <= minFreedShare {
			continue
		}
		need = need.Sub(t.size).ClampToZero()
		cost += t.lostWork(s.now)
		kept = append(kept, t)
	}
	s.victims = kept
	return cost, need.IsZero()
}

// minFreedShare is the result of freedShare for a task whose end frees nothing of
// the need; it avoids a division by zero.
const minFreedShare = 1e-9

// freedShare returns the sum over the resources of the fraction of need that the end
// of t frees.
func freedShare(t *task, need amount.Vec) float64 {
	got := t.size.Min(need)
	return max(minFreedShare, ratio(got.CPUMilli(), need.CPUMilli())+ratio(got.MemoryMiB(), need.MemoryMiB())+
		ratio(got.Accelerators(), need.Accelerators()))
}

// serveUrgentReservations starts the urgent members for which the reserved worker or
// another one has enough free capacity now.
func (s *State) serveUrgentReservations() {
	kept := s.urgentReservations[:0]
	for _, r := range s.urgentReservations {
		if !s.serveUrgentReservation(r) {
			kept = append(kept, r)
		}
	}
	clear(s.urgentReservations[len(kept):])
	s.urgentReservations = kept
}

// serveUrgentReservation starts the member of a reservation if it fits, and removes
// the reservation if its job was cancelled or its worker cannot be used. It reports
// whether the reservation was removed.
func (s *State) serveUrgentReservation(r urgentReservation) bool {
	if r.job.cancelled {
		s.removeUrgentReservation(r)
		s.cfg.Limiter.Release(r.job.team.name, r.size)
		return true
	}
	w := r.worker
	if !w.usable() || r.failed {
		s.removeUrgentReservation(r)
		s.cfg.Limiter.Release(r.job.team.name, r.size)
		r.job.retryMembers = append(r.job.retryMembers, r.member)
		s.enqueue(r.job)
		return true
	}
	if !s.hasBudget() {
		return false
	}
	if !r.size.Fits(w.free()) {
		if s.triedVersion == s.version && len(s.freedWorkers) == 0 {
			return false
		}
		q := &s.query
		*q = query{job: r.job, size: r.size, runEnd: s.now.Add(s.expectedRunTime(r.job))}
		if w = s.findWorker(q); w == nil {
			return false
		}
	}
	s.removeUrgentReservation(r)
	s.startMember(r.job, r.member, w, r.size)
	return true
}

// removeUrgentReservation releases the worker of a reservation.
func (s *State) removeUrgentReservation(r urgentReservation) {
	r.worker.urgentJob = nil
	r.job.deferred--
	s.version++
}

// escalatePreemptions takes harsher actions where tasks did not comply before the
// deadline: a checkpoint becomes a stop. A throttle is no longer waited for; if it was
// meant for urgent work, tasks on the worker are checkpointed instead.
func (s *State) escalatePreemptions() {
	for i := len(s.preempting) - 1; i >= 0 && s.hasBudget(); i-- {
		t := s.preempting[i]
		switch {
		case t.action == ActionStop || s.now < t.actionDeadline:
		case t.action == ActionThrottle:
			t.action = ""
			s.preempting = slices.Delete(s.preempting, i, i+1)
		default:
			s.preempt(t, ActionStop, t.size, s.now.Add(s.cfg.StopGrace))
		}
	}
	for i := range s.urgentReservations {
		if r := &s.urgentReservations[i]; r.throttleUntil != 0 && s.now >= r.throttleUntil {
			s.checkpointAfterThrottle(r)
		}
	}
}

// checkpointAfterThrottle checkpoints tasks on a worker where throttling did not free
// enough capacity.
func (s *State) checkpointAfterThrottle(r *urgentReservation) {
	r.throttleUntil = 0
	need := r.size.Sub(r.worker.free()).ClampToZero()
	if _, ok := s.selectVictimsOn(r.worker, need); ok && len(s.victims) <= s.maxDecisions-len(s.decisions) {
		s.checkpoint(s.victims, s.cfg.CheckpointGrace)
		return
	}
	r.failed = true
}

// confirmThrottle records that a task's usage is within its throttle.
func (s *State) confirmThrottle(t *task) {
	t.action = ""
	s.preempting = slices.DeleteFunc(s.preempting, func(p *task) bool { return p == t })
	if !t.throttled {
		t.throttled = true
		t.worker.throttledTasks++
	}
}

// liftThrottles lifts throttles as far as the workers have free capacity again.
func (s *State) liftThrottles() {
	kept := s.throttledWorkers[:0]
	for _, w := range s.throttledWorkers {
		if w.throttledTasks > 0 && w.usable() && w.urgentJob == nil && s.hasBudget() {
			s.liftThrottlesOn(w)
		}
		if w.throttledTasks > 0 || w.overloaded {
			kept = append(kept, w)
			continue
		}
		w.inThrottled = false
	}
	clear(s.throttledWorkers[len(kept):])
	s.throttledWorkers = kept
}

// minLiftDivisor is the divisor of a worker's CPU that gives the least free CPU for
// which throttles are lifted in part, so that workers do not receive a message for
// every small change.
const minLiftDivisor = 16

// liftThrottlesOn distributes the free CPU of w to its throttled tasks, in proportion
// to what they lack of their peak usage.
func (s *State) liftThrottlesOn(w *worker) {
	free, missing := w.free().CPUMilli(), int64(0)
	for _, t := range w.tasks {
		if t.throttled && t.action == "" {
			missing += max(0, t.peak.CPUMilli()-t.size.CPUMilli())
		}
	}
	if free < missing && free < w.capacity.CPUMilli()/minLiftDivisor {
		return
	}
	for _, t := range w.tasks {
		if !t.throttled || t.action != "" || !s.hasBudget() {
			continue
		}
		more := max(0, t.peak.CPUMilli()-t.size.CPUMilli())
		if free < missing {
			more = int64(float64(more) * float64(free) / float64(missing))
		}
		t.cpuCap = t.size.CPUMilli() + more
		s.resize(t, withCPU(t.size, t.cpuCap))
		s.emit(Preempt{task: t.id, worker: w.id, action: ActionThrottle, size: t.size, actionDeadline: s.now.Add(s.cfg.ThrottleGrace)})
		if t.cpuCap >= t.peak.CPUMilli() {
			t.throttled = false
			w.throttledTasks--
		}
	}
}

// resolveOvercommit reclaims capacity on overloaded workers until the usage fits:
// tasks are first throttled towards their initial size, then checkpointed, then
// stopped.
func (s *State) resolveOvercommit() {
	kept := s.overloaded[:0]
	for _, w := range s.overloaded {
		if !w.overloaded || len(w.tasks) == 0 {
			w.inOverloaded, w.throttleTried = false, false
			continue
		}
		kept = append(kept, w)
		if s.now >= w.nextReclaimAt && s.hasBudget() {
			s.resolveOvercommitOn(w)
		}
	}
	clear(s.overloaded[len(kept):])
	s.overloaded = kept
}

// resolveOvercommitOn takes the next action on an overloaded worker.
func (s *State) resolveOvercommitOn(w *worker) {
	if !w.throttleTried && s.throttleExcessUsage(w) {
		w.throttleTried = true
		w.nextReclaimAt = s.now.Add(s.cfg.ThrottleGrace)
		return
	}
	need := w.allocated.Sub(w.capacity).ClampToZero()
	s.victims = s.victims[:0]
	for _, t := range w.tasks {
		if t.action != "" && t.action != ActionThrottle {
			need = need.Sub(t.size).ClampToZero()
			continue
		}
		s.victims = append(s.victims, t)
	}
	s.selectVictimsByClass(need)
	for _, t := range s.victims {
		if !s.hasBudget() {
			return
		}
		s.preempt(t, ActionCheckpoint, t.size, s.now.Add(s.cfg.CheckpointGrace))
	}
	w.nextReclaimAt = s.now.Add(s.cfg.CheckpointGrace + s.cfg.StopGrace)
}

// selectVictimsByClass selects victims from s.victims among repeatable batch tasks;
// if that does not free need, among all tasks except services; and only then among
// all.
func (s *State) selectVictimsByClass(need amount.Vec) {
	all := slices.Clone(s.victims)
	s.victims = slices.DeleteFunc(s.victims, func(t *task) bool { return !t.reclaimable() })
	if _, ok := s.selectVictims(need); ok {
		return
	}
	s.victims = slices.DeleteFunc(append(s.victims[:0], all...), func(t *task) bool { return t.job.rank == rankService })
	if _, ok := s.selectVictims(need); ok {
		return
	}
	s.victims = append(s.victims[:0], all...)
	s.selectVictims(need)
}

// reclaimable reports whether a task is preempted before others to reduce usage.
func (t *task) reclaimable() bool {
	return t.job.spec.class == policy.ClassBatch && t.job.spec.repeatable
}

// throttleExcessUsage throttles the tasks that use more CPU than their initial size,
// in proportion to the excess, until the usage fits the worker. It reports false,
// and throttles none, if that would not be enough.
func (s *State) throttleExcessUsage(w *worker) bool {
	over, excess := w.allocated.CPUMilli()-w.capacity.CPUMilli(), int64(0)
	if over <= 0 {
		return false
	}
	for _, t := range w.tasks {
		if t.action == "" && !t.throttled {
			excess += max(0, t.size.CPUMilli()-t.initialSize.CPUMilli())
		}
	}
	if excess < over {
		return false
	}
	for _, t := range w.tasks {
		more := t.size.CPUMilli() - t.initialSize.CPUMilli()
		if t.action != "" || t.throttled || more <= 0 || !s.hasBudget() {
			continue
		}
		t.cpuCap = max(minCPU, t.size.CPUMilli()-int64(math.Ceil(float64(more)*float64(over)/float64(excess))))
		s.preempt(t, ActionThrottle, withCPU(t.size, t.cpuCap), s.now.Add(s.cfg.ThrottleGrace))
	}
	s.trackThrottled(w)
	return true
}

// shedGrace is how long a task may take to checkpoint after its team's limit was
// lowered. A lowered limit must hold within 5 s; the rest of that is for the stop.
const shedGrace = 2 * time.Second
