package route

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Router is the request path of one shard's owner. Its methods are safe for
// concurrent use.
type Router struct {
	cfg        Config
	clk        clock.Clock
	log        *zap.Logger
	gate       Gate
	backend    Backend
	teamWeight func(team string) int64

	mu       sync.Mutex
	services map[string]*service
	// blocked holds the blocked flows by team.
	blocked map[string][]blockedFlow
	ids     *idTable
	budget  retryBudget
	timers  timerHeap
	// wakeups holds the times for which a goroutine waits, earliest last.
	wakeups []clock.Mono
	seq     uint64
	leases  map[*lease]struct{}
	// imported holds the slots of former owners by Config.Source.
	imported map[string]importedSlots
	retries  int64
	// activeCalls is the number of calls of Do that have not returned.
	activeCalls int
	draining    bool
	// drained is created by Drain and closed when no call is active.
	drained   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once

	// takeoverAt and takeoverMono are the time of an unplanned takeover by the
	// wall clock and by the monotonic clock.
	takeoverAt   time.Time
	takeoverMono clock.Mono
}

// blockedFlow is a flow whose team is at its limit.
type blockedFlow struct {
	svc  *service
	flow *flow
}

// New returns a router without instances.
func New(cfg Config, deps Deps) *Router {
	cfg.Defaults()
	r := &Router{
		cfg: cfg, clk: deps.Clock, log: deps.Log, gate: deps.Gate, backend: deps.Backend, teamWeight: deps.Weight,
		services: map[string]*service{}, blocked: map[string][]blockedFlow{},
		leases: map[*lease]struct{}{}, imported: map[string]importedSlots{}, closed: make(chan struct{}),
	}
	if r.log == nil {
		r.log = zap.NewNop()
	}
	r.ids = newIDTable(cfg, deps.Clock)
	return r
}

// service returns the state of a service, which it creates if needed.
func (r *Router) service(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = newService(r, name)
		r.services[name] = s
	}
	return s
}

// weight returns the scheduling weight of a team, at least 1.
func (r *Router) weight(team string) float64 {
	if r.teamWeight == nil {
		return 1
	}
	return float64(max(1, r.teamWeight(team)))
}

func (r *Router) nextSeq() uint64 {
	r.seq++
	return r.seq
}

// instanceSetter is implemented by a Backend that keeps state for each instance.
type instanceSetter interface{ SetInstances(vms []fleet.VM) }

// SetInstances replaces the list of this shard's backend servers. A leaving
// instance gets no new requests, and its running requests finish. An instance
// that was removed and is listed again starts without history.
func (r *Router) SetInstances(vms []fleet.VM) {
	byService := map[string][]fleet.VM{}
	vms = slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Role() != fleet.RoleBackend })
	for _, vm := range vms {
		byService[vm.Service()] = append(byService[vm.Service()], vm)
	}
	if b, ok := r.backend.(instanceSetter); ok {
		b.SetInstances(vms)
	}
	r.mu.Lock()
	defer r.unlockAndArm()
	now := r.clk.Now()
	for name := range byService {
		r.service(name)
	}
	for name, s := range r.services {
		s.setInstances(byService[name])
		s.dispatch(now)
	}
}

// Do runs one request and returns its complete response. Once the request has
// been sent, Do returns only with the response or at the deadline, even if ctx
// ends, since the work counts as running.
func (r *Router) Do(ctx context.Context, req Request) (Response, error) {
	if err := req.validate(); err != nil {
		return Response{}, rcode.Wrap(err, rcode.Of(err), "route.Do")
	}
	now := r.clk.Now()
	left := req.deadline.Sub(r.clk.Wall())
	req.monoDeadline = now.Add(min(left, MaxTimeout))
	switch {
	case left <= 0:
		return Response{}, rcode.New(rcode.DeadlinePassed, "route.Do: deadline passed %v ago", -left)
	case left > MaxTimeout+maxClockSkew:
		return Response{}, rcode.New(rcode.DeadlineTooFar, "route.Do: deadline in %v, at most %v", left, MaxTimeout)
	}
	if !r.beginCall() {
		return Response{}, rcode.New(rcode.Draining, "route.Do")
	}
	defer r.endCall()
	var resp Response
	var err error
	if req.hasCallerID && !req.repeatable {
		resp, err = r.runOnce(ctx, &req)
	} else {
		resp, err = r.sendWithRetries(ctx, &req)
	}
	return resp, rcode.Wrap(err, rcode.Of(err), "route.Do")
}

// beginCall counts an active call, or returns false if the router is draining.
func (r *Router) beginCall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.activeCalls++
	return true
}

func (r *Router) endCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCalls--
	r.signalDrained()
}

// signalDrained ends Drain if no call is active.
func (r *Router) signalDrained() {
	if r.drained != nil && r.activeCalls == 0 {
		close(r.drained)
		r.drained = nil
	}
}

// sendWithRetries sends the request and, where retries are allowed, sends it
// again to other instances.
func (r *Router) sendWithRetries(ctx context.Context, req *Request) (Response, error) {
	w := &waiter{req: req}
	// mayHaveRun is the error of a send after which the work may have run. Once it
	// is set, no later refusal may be reported as "not run".
	var mayHaveRun error
	for attempt := 1; ; attempt++ {
		l, err := r.acquireSlot(ctx, w)
		if err != nil {
			return Response{}, firstError(mayHaveRun, err)
		}
		if err := r.gate.Authorize(*req); err != nil {
			r.releaseUnused(l)
			return Response{}, firstError(mayHaveRun, err)
		}
		req.reauthorize = func() error { return r.gate.Authorize(*req) }
		resp, err := r.backend.Do(context.WithoutCancel(ctx), l.inst.addr, *req)
		if err == nil && resp.id != req.id {
			err = rcode.Wrap(ErrAbandoned, rcode.AnswerMismatched, "received the response to request %q", resp.id)
		}
		retry := r.recordResult(l, req, attempt, resp, err)
		if err == nil {
			return resp, nil
		}
		if err = checkNotRun(err); !rcode.Of(err).NotRun() {
			mayHaveRun = err
		}
		if !retry {
			return Response{}, firstError(mayHaveRun, err)
		}
		*w = waiter{req: req, avoid: l.inst}
	}
}

// firstError returns the first error that is not nil.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// checkNotRun returns the error of a Backend unless it claims wrongly that the
// work did not run. Only BackendRefused and an error that wraps ErrNotSent may
// claim that. Any other such error, and an internal one, becomes "outcome
// unknown".
func checkNotRun(err error) error {
	c := rcode.Of(err)
	switch {
	case c == rcode.BackendRefused, c.NotRun() && errors.Is(err, ErrNotSent):
		return err
	case !c.NotRun() && c != rcode.Internal:
		return err
	}
	return rcode.Wrap(err, rcode.OutcomeUnknown, "backend")
}

// acquireSlot waits for a slot until ctx ends or the request's deadline passes.
func (r *Router) acquireSlot(ctx context.Context, w *waiter) (*lease, error) {
	if err := ctx.Err(); err != nil {
		return nil, rcode.Wrap(err, rcode.DeadlinePassed, "canceled before queueing")
	}
	r.mu.Lock()
	now := r.clk.Now()
	r.runDue(now)
	s := r.service(w.req.queue.Service())
	var err error
	if w.avoid == nil {
		err = s.admit(w, now)
	} else {
		err = s.admitRetry(w, now)
	}
	done := err != nil || w.lease != nil || w.err != nil
	r.unlockAndArm()
	if done {
		return w.lease, firstError(err, w.err)
	}
	select {
	case <-w.ready:
		return w.lease, w.err
	case <-ctx.Done():
		err = rcode.Wrap(ctx.Err(), rcode.DeadlinePassed, "canceled in the queue")
	case <-r.clk.After(w.req.monoDeadline.Sub(now)):
		err = rcode.New(rcode.DeadlinePassed, "deadline passed in the queue")
	}
	r.mu.Lock()
	defer r.unlockAndArm()
	now = r.clk.Now()
	if w.lease != nil {
		s.release(w.lease, now)
		return nil, err
	}
	s.abandon(w, now)
	return nil, err
}

// releaseUnused releases a lease for which nothing was sent.
func (r *Router) releaseUnused(l *lease) {
	r.mu.Lock()
	defer r.unlockAndArm()
	l.inst.svc.release(l, r.clk.Now())
}

// recordResult accounts for one send, releases its slot or starts the penalty,
// and reports whether the request may be sent to another instance.
func (r *Router) recordResult(l *lease, req *Request, attempt int, resp Response, err error) bool {
	r.mu.Lock()
	defer r.unlockAndArm()
	now := r.clk.Now()
	if attempt == 1 {
		r.budget.addAttempt()
	}
	i, s := l.inst, l.inst.svc
	took := now.Sub(l.grantedAt).Seconds()
	queueTime := s.queueTime(req.queue.Name())
	switch {
	case err == nil:
		i.recordSuccess(took, queueTime, now)
		if resp.status >= 500 {
			// Failed work gives the instance a worse score but never ejects it.
			// Otherwise one team's faulty requests would eject it for all teams.
			i.failRate += (1 - i.failRate) * instanceSampleWeight
		}
	case errors.Is(err, errNotAuthorized):
		s.release(l, now)
		return false
	case errors.Is(err, ErrAbandoned):
		// A timeout after less than the usual service time is no sign of a fault
		// of the instance.
		if took > slowFactor*queueTime.mean {
			i.recordFailure(now)
			i.lowerLimit(failureLimitFactor, now)
		}
		s.updateInstance(i)
		s.releaseAfterPenalty(l, s.penaltyDuration(l, queueTime, now), 0, now)
		return r.mayRetry(s, req, attempt, err, now)
	case rcode.Is(err, rcode.AnswerTooLarge):
	case rcode.Is(err, rcode.BackendRefused) && !errors.Is(err, ErrNotSent):
		i.recordRefusal(now)
	default:
		i.recordFailure(now)
	}
	s.release(l, now)
	return err != nil && r.mayRetry(s, req, attempt, err, now)
}

// mayRetry reports whether the request may be sent again after err, and charges
// the retry to the budget. A request that is not repeatable is sent again only
// if no byte of it was sent.
func (r *Router) mayRetry(s *service, req *Request, attempt int, err error, now clock.Mono) bool {
	if !req.repeatable && !errors.Is(err, ErrNotSent) {
		return false
	}
	if attempt >= r.cfg.MaxAttempts || rcode.Is(err, rcode.AnswerTooLarge) || s.totals.live < 2 {
		return false
	}
	if now.Add(toDuration(s.queueTime(req.queue.Name()).mean)) >= req.monoDeadline || !r.budget.take(now) {
		return false
	}
	r.retries++
	return true
}

// unblock schedules the blocked flows of a team again.
func (r *Router) unblock(team string, now clock.Mono) {
	flows := r.blocked[team]
	if len(flows) == 0 {
		return
	}
	delete(r.blocked, team)
	for _, b := range flows {
		b.flow.class.unblock(b.flow)
	}
	for _, b := range flows {
		b.svc.dispatch(now)
	}
}

// unlockAndArm unlocks r.mu and makes sure that a goroutine waits for the next
// timer.
func (r *Router) unlockAndArm() {
	defer r.mu.Unlock()
	r.signalDrained()
	if len(r.timers) == 0 {
		return
	}
	next := r.timers[0].at
	if n := len(r.wakeups); n > 0 && r.wakeups[n-1] <= next {
		return
	}
	r.wakeups = append(r.wakeups, next)
	due := r.clk.After(next.Sub(r.clk.Now()))
	go func() {
		select {
		case <-due:
		case <-r.closed:
			return
		}
		r.mu.Lock()
		defer r.unlockAndArm()
		r.wakeups = slices.DeleteFunc(r.wakeups, func(t clock.Mono) bool { return t == next })
		r.runDue(r.clk.Now())
	}()
}

// Drain refuses new requests and waits until all calls of Do have returned or
// ctx ends. Waiting requests are still served while the gate allows it. Drain
// does not wait for slots in their penalty; ExportHeldSlots exports them.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	drained := r.drained
	if drained == nil {
		drained = make(chan struct{})
		r.drained = drained
	}
	r.unlockAndArm()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return rcode.Wrap(ctx.Err(), rcode.Draining, "route.Drain")
	}
}

// Close ends the goroutines that wait for the router's timers. It is called after
// Drain, or when the shard's state is discarded.
func (r *Router) Close() { r.closeOnce.Do(func() { close(r.closed) }) }

// Stats is a snapshot of a router's queues and slots.
type Stats struct {
	queued    map[policy.Class]int
	usedSlots int
	freeSlots int
	ejected   int
	retries   int64
}

// Queued returns the number of waiting requests of a class.
func (s Stats) Queued(c policy.Class) int { return s.queued[c] }

// UsedSlots returns the number of slots in use, including those in their penalty.
func (s Stats) UsedSlots() int { return s.usedSlots }

// FreeSlots returns the number of free slots of all services.
func (s Stats) FreeSlots() int { return s.freeSlots }

// Ejected returns the number of instances that are excluded after failures.
func (s Stats) Ejected() int { return s.ejected }

// Retries returns the number of retries since the router was created.
func (s Stats) Retries() int64 { return s.retries }

// Stats returns the router's queue lengths and slots.
func (r *Router) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := Stats{queued: map[policy.Class]int{}, usedSlots: len(r.leases), retries: r.retries}
	for _, s := range r.services {
		st.freeSlots += s.totals.free
		st.ejected += s.totals.ejected
		for _, q := range s.classes {
			st.queued[q.class] += q.waiting
		}
	}
	return st
}

// FreeSlots returns the number of free slots of a service.
func (r *Router) FreeSlots(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.services[service]; ok {
		return s.totals.free
	}
	return 0
}

// Waiting returns the number of waiting requests of all classes.
func (s Stats) Waiting() int {
	n := 0
	for _, q := range s.queued {
		n += q
	}
	return n
}
