package route

import (
	"container/heap"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Parameters of admission and of penalties.
const (
	// reserveRetryInterval is how often a reservation is tried again for a team
	// at its limit. Allotments also grow without a request ending here.
	reserveRetryInterval = 20 * time.Millisecond
	// refreshInterval is the interval of refresh, and how long an instance must
	// have sent no response before its statistics start to decay.
	refreshInterval = 5 * time.Second
	// maxPenaltyExtensions bounds how often a penalty is doubled.
	maxPenaltyExtensions = 4
	// estimateDecay lowers the mean service time each time a request is refused
	// because of it while slots are free. Nothing else would correct an estimate
	// that is so high that no request starts.
	estimateDecay = 0.99
	// maxWaitingRetries bounds the retries of a service that wait for a slot.
	maxWaitingRetries = 64
	// burstServiceTimes is how long an interactive queue may be non-empty, in
	// mean service times, before waits are capped. minBurstDuration is the lower
	// bound of that time. A queue that empties sooner was only a burst.
	burstServiceTimes = 10
	minBurstDuration  = 100 * time.Millisecond
	// waitCapDuration is how long the cap stays in force after the last refusal
	// that it caused. Without it the queue would grow back to its full length in
	// each burst.
	waitCapDuration = time.Second
	// waitCapServiceTimes is the cap on the wait of interactive requests, in mean
	// service times. At 0.25 a small team loses 3% of its requests while another
	// team causes an overload. At 0.75 requests with a constant service time wait
	// more than twice as long as at 70% load.
	waitCapServiceTimes = 0.5
)

// lease holds one slot of an instance and one reservation of a team.
type lease struct {
	inst      *instance
	team      string
	grantedAt clock.Mono
	// expiresAt is the request's deadline, or the end of the penalty once the
	// request was abandoned.
	expiresAt clock.Mono
	// reserved is false if the slot was imported from a former owner and exceeds
	// the team's limit.
	reserved bool
	released bool
}

// service holds the instances of one service and the requests that wait for
// them.
type service struct {
	name      string
	router    *Router
	byID      map[string]*instance
	instances instanceHeap
	totals    totals
	probing   []*instance
	// overallTime is the service time over all queues, queueTimes that of each
	// queue.
	overallTime serviceTime
	queueTimes  map[string]*serviceTime
	// refreshScheduled is set while a timer for refresh is pending.
	refreshScheduled bool
	// classes are in order of priority, highest first.
	classes        []*classQueue
	waitingRetries []*waiter
}

func newService(r *Router, name string) *service {
	s := &service{name: name, router: r, byID: map[string]*instance{}, queueTimes: map[string]*serviceTime{}}
	for _, c := range policy.Classes() {
		s.classes = append(s.classes, newClassQueue(c))
	}
	return s
}

func (s *service) class(c policy.Class) *classQueue {
	for _, q := range s.classes {
		if q.class == c {
			return q
		}
	}
	return s.classes[len(s.classes)-1]
}

// updateInstance updates the service's totals and the order of instances after a
// change of the instance's state.
func (s *service) updateInstance(i *instance) {
	t := i.totals()
	s.totals = s.totals.addTimes(i.countedTotals, -1).addTimes(t, 1)
	i.countedTotals = t
	i.updateScore()
	if i.heapIndex >= 0 {
		heap.Fix(&s.instances, i.heapIndex)
	}
}

// setInstances adds, updates and removes instances so that they match the list.
func (s *service) setInstances(vms []fleet.VM) {
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.ID()] = true
		i, ok := s.byID[vm.ID()]
		if ok && i.vm.Addr() != vm.Addr() {
			s.removeInstance(i)
			ok = false
		}
		if !ok {
			i = &instance{addr: vm.Addr(), svc: s, heapIndex: -1, limit: float64(slots(vm)), health: healthy}
			s.byID[vm.ID()] = i
			heap.Push(&s.instances, i)
		}
		if grown := slots(vm) - slots(i.vm); ok && grown > 0 {
			i.limit += float64(grown)
		}
		i.vm = vm
		i.leaving = vm.State() != fleet.StateLive
		s.updateInstance(i)
	}
	for id, i := range s.byID {
		if !seen[id] {
			s.removeInstance(i)
		}
	}
}

// removeInstance removes an instance. Its running requests finish and keep their
// team's reservation. If the id is listed again, it becomes a new instance.
func (s *service) removeInstance(i *instance) {
	i.removed = true
	s.setHealth(i, ejected)
	heap.Remove(&s.instances, i.heapIndex)
	delete(s.byID, i.vm.ID())
}

// pickInstance returns the best instance for the request, or nil. Repeatable
// requests go to a probing instance first. Others go there only when no healthy
// instance has a free slot.
func (s *service) pickInstance(w *waiter) *instance {
	if w.req.repeatable {
		for _, i := range s.probing {
			if i != w.avoid && i.freeSlots() > 0 {
				return i
			}
		}
	}
	return s.instances.leastLoaded(w.avoid)
}

// eject excludes a failing instance for a time that doubles with each ejection.
// At most half of the instances are ejected at a time: when all fail, the cause
// is elsewhere.
func (s *service) eject(i *instance, now clock.Mono) {
	if i.health == ejected || i.removed {
		return
	}
	if (s.totals.ejected+1)*2 > s.totals.live {
		return
	}
	d := i.ejectionDuration()
	i.ejections++
	s.setHealth(i, ejected)
	s.router.log.Warn("instance ejected", zap.String("service", s.name),
		zap.String("instance", i.vm.ID()), zap.Int("failures", i.consecutiveFailures), zap.Duration("for", d))
	s.router.schedule(now.Add(d), func(now clock.Mono) {
		if i.health != ejected {
			return
		}
		i.consecutiveFailures = 0
		s.setHealth(i, probing)
		s.dispatch(now)
	})
}

// setHealth sets the health of an instance and keeps s.probing consistent.
func (s *service) setHealth(i *instance, h health) {
	if i.health == probing {
		s.probing = slices.DeleteFunc(s.probing, func(o *instance) bool { return o == i })
	}
	i.health = h
	if h == probing {
		s.probing = append(s.probing, i)
	}
	s.updateInstance(i)
}

// nextClass returns the class to serve next, or nil if no class has a flow that
// is not blocked.
func (s *service) nextClass() *classQueue {
	for _, q := range s.classes {
		if len(q.active) > 0 {
			return q
		}
	}
	return nil
}

// admit grants a slot immediately, queues w or returns the reason for a refusal.
func (s *service) admit(w *waiter, now clock.Mono) error {
	team := w.req.grant.Team()
	q := s.class(w.req.class)
	f := q.flow(team)
	if s.nextClass() == nil && len(s.waitingRetries) == 0 && !f.blocked {
		if i := s.pickInstance(w); i != nil {
			if queueTime := s.queueTime(w.req.queue.Name()); now.Add(toDuration(queueTime.mean)) > w.req.monoDeadline {
				queueTime.mean *= estimateDecay
				return rcode.New(rcode.DeadlineUnmet, "requests of queue %q take about %.3f s", w.req.queue.Name(), queueTime.mean)
			}
			if s.router.gate.Reserve(team) {
				s.grant(w, i, now)
				return nil
			}
			s.block(f, now)
		}
	}
	if s.totals.live == 0 {
		return rcode.New(rcode.NoCapacity, "service %q has no backend server", s.name)
	}
	if f.tree.len() >= w.req.queue.MaxWaiting() {
		return rcode.New(rcode.QueueFull, "queue %q: %d requests of team %q are waiting", w.req.queue.Name(), f.tree.len(), team)
	}
	weight := s.router.weight(team)
	if err := s.checkFeasible(w, q, f, weight, now); err != nil {
		return err
	}
	w.svc, w.enqueuedAt, w.seq = s, now, s.router.nextSeq()
	w.ready = make(chan struct{}, 1)
	q.enqueue(w, f, weight, now)
	s.dispatch(now)
	return nil
}

// checkFeasible refuses a request that is estimated to miss its deadline, and in
// a lasting overload an interactive one whose estimated wait exceeds the cap.
func (s *service) checkFeasible(w *waiter, q *classQueue, f *flow, weight float64, now clock.Mono) error {
	if s.totals.capacity == 0 || s.overallTime.mean == 0 {
		return nil
	}
	ahead := q.countAhead(f, weight, w.req.monoDeadline)
	for _, higher := range s.classes {
		if higher == q {
			break
		}
		ahead += higher.waiting - higher.blockedWaiting
	}
	wait := float64(ahead+1) * s.overallTime.mean / float64(s.totals.capacity)
	if done := wait + s.queueTime(w.req.queue.Name()).mean; now.Add(toDuration(done)) > w.req.monoDeadline {
		return rcode.New(rcode.DeadlineUnmet, "service %q: the response is expected in about %.3f s", s.name, done)
	}
	if q.class != policy.ClassInteractive || q.waiting < 2 || wait <= waitCapServiceTimes*s.overallTime.mean {
		return nil
	}
	burst := max(minBurstDuration, toDuration(burstServiceTimes*s.overallTime.mean))
	if now < q.waitCapUntil || now.Sub(q.busySince) > burst {
		if now >= q.waitCapUntil {
			s.router.log.Warn("service overloaded, capping waits", zap.String("service", s.name),
				zap.Int("waiting", q.waiting), zap.Float64("wait_s", wait))
		}
		q.waitCapUntil = now.Add(waitCapDuration)
		return rcode.New(rcode.QueueFull, "service %q is overloaded: the wait would be about %.3f s", s.name, wait)
	}
	return nil
}

// toDuration converts seconds to a Duration.
func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// dispatch grants free slots to waiting requests and refuses those that can no
// longer make their deadline.
func (s *service) dispatch(now clock.Mono) {
	s.dispatchRetries(now)
	for {
		q := s.nextClass()
		if q == nil {
			return
		}
		f := q.active[0]
		w := f.tree.earliest()
		if w.req.monoDeadline < now.Add(toDuration(s.queueTime(w.req.queue.Name()).mean)) {
			q.remove(w)
			w.resolve(nil, deadlineError(w.req, now))
			continue
		}
		i := s.pickInstance(w)
		if i == nil {
			return
		}
		if !s.router.gate.Reserve(f.team) {
			s.block(f, now)
			continue
		}
		q.advancePass(f)
		q.remove(w)
		s.grant(w, i, now)
	}
}

// deadlineError returns the error for a waiting request that cannot make its
// deadline.
func deadlineError(req *Request, now clock.Mono) error {
	if req.monoDeadline <= now {
		return rcode.New(rcode.DeadlinePassed, "deadline passed in the queue")
	}
	return rcode.New(rcode.DeadlineUnmet, "only %v left until the deadline at the head of the queue", req.monoDeadline.Sub(now))
}

// dispatchRetries grants free slots to waiting retries.
func (s *service) dispatchRetries(now clock.Mono) {
	for n := 0; n < len(s.waitingRetries); {
		w := s.waitingRetries[n]
		i := s.pickInstance(w)
		if i == nil || !s.router.gate.Reserve(w.req.grant.Team()) {
			n++
			continue
		}
		s.waitingRetries = slices.Delete(s.waitingRetries, n, n+1)
		s.grant(w, i, now)
	}
}

// admitRetry grants a slot on another instance to a request that was sent before,
// or queues it.
func (s *service) admitRetry(w *waiter, now clock.Mono) error {
	team := w.req.grant.Team()
	if i := s.pickInstance(w); i != nil && s.router.gate.Reserve(team) {
		s.grant(w, i, now)
		return nil
	}
	if len(s.waitingRetries) >= maxWaitingRetries {
		return rcode.New(rcode.NoCapacity, "%d retries are waiting", len(s.waitingRetries))
	}
	w.svc = s
	w.ready = make(chan struct{}, 1)
	s.waitingRetries = append(s.waitingRetries, w)
	s.scheduleRetry(w, now)
	return nil
}

// scheduleRetry dispatches at intervals while w waits for a retry. Its team may
// be at its limit, and allotments also grow without a request ending here.
func (s *service) scheduleRetry(w *waiter, now clock.Mono) {
	s.router.schedule(now.Add(reserveRetryInterval), func(now clock.Mono) {
		if slices.Contains(s.waitingRetries, w) {
			s.dispatch(now)
			s.scheduleRetry(w, now)
		}
	})
}

// abandon removes w from the queue or list in which it waits.
func (s *service) abandon(w *waiter, now clock.Mono) {
	if w.flow != nil {
		w.flow.class.remove(w)
		s.dispatch(now)
		return
	}
	if n := slices.Index(s.waitingRetries, w); n >= 0 {
		s.waitingRetries = slices.Delete(s.waitingRetries, n, n+1)
	}
}

// grant gives w a slot of an instance. The caller has made the team's
// reservation.
func (s *service) grant(w *waiter, i *instance, now clock.Mono) {
	l := s.takeSlot(i, w.req.grant.Team(), now, w.req.monoDeadline)
	l.reserved = true
	w.resolve(l, nil)
}

// takeSlot returns a lease of a slot without a reservation.
func (s *service) takeSlot(i *instance, team string, now, expiresAt clock.Mono) *lease {
	l := &lease{inst: i, team: team, grantedAt: now, expiresAt: expiresAt}
	s.router.leases[l] = struct{}{}
	if !s.refreshScheduled {
		s.refreshScheduled = true
		s.router.schedule(now.Add(refreshInterval), s.refresh)
	}
	i.usedSlots++
	s.updateInstance(i)
	return l
}

// refresh moves the statistics of unused instances towards those of an average
// one, so that an instance that was slow or failed is tried again at low load.
func (s *service) refresh(now clock.Mono) {
	s.refreshScheduled = false
	for _, i := range s.byID {
		if i.usedSlots > 0 || now.Sub(i.lastResponseAt) < refreshInterval {
			continue
		}
		if i.latencyRatio > 0 {
			i.latencyRatio += (1 - i.latencyRatio) / 2
		}
		i.failRate /= 2
		s.updateInstance(i)
	}
}

// endLease frees the slot and the reservation of a lease. Further calls have no
// effect.
func (s *service) endLease(l *lease) {
	if l.released {
		return
	}
	l.released = true
	delete(s.router.leases, l)
	l.inst.usedSlots--
	s.updateInstance(l.inst)
	if l.reserved {
		s.router.gate.Release(l.team)
	}
}

// resolve sets the outcome of waiting for a slot and wakes up the waiter.
func (w *waiter) resolve(l *lease, err error) {
	w.lease, w.err = l, err
	if w.ready != nil {
		w.ready <- struct{}{}
	}
}

// block stops scheduling a flow whose team is at its limit until one of the
// team's requests ends or reserveRetryInterval has passed.
func (s *service) block(f *flow, now clock.Mono) {
	f.class.block(f)
	s.router.blocked[f.team] = append(s.router.blocked[f.team], blockedFlow{s, f})
	s.router.schedule(now.Add(reserveRetryInterval), func(now clock.Mono) { s.router.unblock(f.team, now) })
}

// penaltyDuration returns how long the slot of an abandoned request stays in use:
// until twice the service time that few requests exceed, but at least
// Config.MinPenalty.
func (s *service) penaltyDuration(l *lease, t *serviceTime, now clock.Mono) time.Duration {
	presumedEnd := l.grantedAt.Add(2 * toDuration(t.mean+4*t.deviation))
	return min(MaxTimeout, max(s.router.cfg.MinPenalty, presumedEnd.Sub(now)))
}

// releaseAfterPenalty releases the lease of an abandoned request after d. The
// penalty is extended while the instance completes none of its other requests: it
// may be suspended with all its work.
func (s *service) releaseAfterPenalty(l *lease, d time.Duration, extensions int, abandonedAt clock.Mono) {
	l.inst.penalised++
	l.expiresAt = s.router.clk.Now().Add(d)
	s.router.schedule(l.expiresAt, func(now clock.Mono) {
		i := l.inst
		i.penalised--
		if extensions < maxPenaltyExtensions && i.lastResponseAt < abandonedAt && i.usedSlots-i.penalised > 1 && !i.removed {
			s.releaseAfterPenalty(l, min(MaxTimeout, 2*d), extensions+1, abandonedAt)
			return
		}
		s.release(l, now)
	})
}

// release ends a lease and dispatches the freed slot and reservation.
func (s *service) release(l *lease, now clock.Mono) {
	s.endLease(l)
	s.router.unblock(l.team, now)
	s.dispatch(now)
}
