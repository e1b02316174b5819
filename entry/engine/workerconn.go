package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/sched"
)

// workerConn is the state of the owner's calls to one worker.
type workerConn struct {
	id, addr string
	listed   bool
	// bootUnixMS distinguishes the incarnations of a worker under the same id.
	bootUnixMS int64
	// clockMS is the worker's clock as of clockAt; 0 means unknown.
	clockMS int64
	clockAt clock.Mono
	// leaseExpiresMS is the latest lease expiry sent, on the worker's clock.
	leaseExpiresMS int64
	// leaseExtendedAt is when the last order that extends the lease was sent; 0 is none in this
	// term.
	leaseExtendedAt clock.Mono
	polling         bool // a poll is in flight
	pollEndedAt     clock.Mono
	// forgottenAt is when the list last showed another incarnation or address.
	forgottenAt clock.Mono
	failures    int // failed polls in a row
	// ackedEnd is the number of the last ended run that polls acknowledge. ackableEnd is
	// the last one reported; it may be acknowledged once round ackableRound is stored.
	ackedEnd, ackableEnd int64
	ackableRound         int64
	// seenToken is the highest fencing token that the incarnation is known to have seen.
	seenToken int64
	// pollHeldUntil is until when a poll is held back whose acknowledgement the starts under way would
	// have the worker reject; 0 is none since no order was under way.
	pollHeldUntil clock.Mono
	orders        orderQueue
}

const (
	// maxPollWait is how long a worker may wait for a run to end before it replies to a
	// poll (long polling).
	maxPollWait = time.Second
	// heldPollWait replaces it for a worker that answers and whose lease may not be extended
	// yet, so that the poll that extends it is hardly delayed.
	heldPollWait = 100 * time.Millisecond
	// pollReplySlack is how much longer than the wait the reply to a poll may take that
	// follows a successful one: perhaps only a reply was lost, and the next poll over
	// another connection finds out. lossyPollReplySlack replaces it while many replies are
	// lost, slowPollReplySlack for the first poll of a worker and after several failures, so
	// that a slow worker is not taken for a lost one.
	pollReplySlack      = 350 * time.Millisecond
	lossyPollReplySlack = 120 * time.Millisecond
	slowPollReplySlack  = 900 * time.Millisecond
	// maxAckDelay is how long a poll is held back for a write to the store, so that it
	// can acknowledge the ended runs.
	maxAckDelay = 600 * time.Millisecond
	// pollRetryDelay is the pause after the second and later failures in a row.
	pollRetryDelay = 250 * time.Millisecond

	// maxImmediatePolls bounds the polls in flight that do not wait for a run to end:
	// after a takeover all workers are polled for the first time, over new connections.
	maxImmediatePolls = 40
	// immediatePollSlot is how long such a poll counts towards the bound. Workers behind
	// a network partition do not reply and must not delay the polls of the others.
	immediatePollSlot = 120 * time.Millisecond
)

// tokenOf returns the fencing token for orders to a worker.
func (t *term) tokenOf(id string) int64 { return max(t.Token(), t.raisedTokens[id]) }

// raiseToken has the next orders to a worker carry a higher token.
func (t *term) raiseToken(id string, token int64) {
	t.raisedTokens[id] = max(t.raisedTokens[id], token)
}

// isOvertaken reports whether a worker rejected an order only because it had seen a higher token of this
// owner: that of a later order, or of a start that a poll with a lower token was to keep apart from.
func (t *term) isOvertaken(id string, token int64, err error) bool {
	return rcode.Of(err) == rcode.NotOwner && token < t.tokenOf(id)
}

// forgetIncarnation forgets the clock and the ended runs of the incarnation that answered last, so
// that the next poll neither extends a lease nor acknowledges anything.
func (c *workerConn) forgetIncarnation(now clock.Mono) {
	c.ackedEnd, c.ackableEnd, c.leaseExpiresMS, c.clockMS, c.seenToken = 0, 0, 0, 0, 0
	c.forgottenAt = now
}

// workerClock returns the current time on the worker's clock.
func (c *workerConn) workerClock(now clock.Mono) int64 {
	return c.clockMS + now.Sub(c.clockAt).Milliseconds()
}

// leastClock returns the earliest that the worker's clock can be now.
func (c *workerConn) leastClock(now clock.Mono) int64 {
	return c.clockMS + int64(float64(now.Sub(c.clockAt).Milliseconds())*(1-maxClockDrift))
}

// estimatedClock is workerClock for log lines; it returns 0 if the worker's clock is unknown.
func (c *workerConn) estimatedClock(now clock.Mono) int64 {
	if c.clockMS == 0 {
		return 0
	}
	return c.workerClock(now)
}

// replySlack returns how much longer than its wait the next poll may take.
func (c *workerConn) replySlack(loss replyLoss) time.Duration {
	switch {
	case c.clockMS == 0, c.failures > 1:
		return slowPollReplySlack
	case loss.isHigh():
		return lossyPollReplySlack
	default:
		return pollReplySlack
	}
}

// pollIdleWorkers polls the workers that have no poll in flight and drops those that
// are neither listed nor known to the scheduler.
func (e *Engine) pollIdleWorkers() {
	t := e.term
	for id, c := range t.workers {
		if !c.listed && !t.state.HasWorker(id) {
			delete(t.workers, id)
			e.cfg.Workers.Release(c.addr)
			continue
		}
		e.poll(t, c)
	}
}

// pollAckableWorkers polls the workers whose ended runs can now be acknowledged.
func (e *Engine) pollAckableWorkers(t *term) {
	for _, c := range t.workers {
		if c.ackableEnd > c.ackedEnd && c.ackableRound <= t.storedThrough {
			e.poll(t, c)
		}
	}
}

// poll polls a worker, unless a poll is in flight or it is too early for one. A poll
// acknowledges the ended runs whose events are stored and returns what runs and what
// ended. It also extends the worker's lease, unless the last poll failed or the lease may not be
// extended: after a failure the worker may have restarted, and an expiry on the former
// incarnation's clock would give it the longest lease.
func (e *Engine) poll(t *term, c *workerConn) {
	if c.polling || c.addr == "" || !t.ready {
		return
	}
	now := e.clk.Now()
	wait := t.replyLoss.pollWait(len(t.workers), e.cfg.CPUMilli)
	if c.ackableEnd > c.ackedEnd {
		if c.ackableRound <= t.storedThrough {
			c.ackedEnd = c.ackableEnd
		} else if now.Sub(c.pollEndedAt) < maxAckDelay {
			return
		} else {
			wait = 0
		}
	}
	if c.failures > 0 {
		wait = 0
		if c.failures > 1 && now.Sub(c.pollEndedAt) < pollRetryDelay {
			return
		}
		// The worker may have restarted under the same id, which restarts the numbering
		// of its ended runs: the old number would acknowledge some that this VM never
		// received.
		c.ackedEnd = 0
	}
	order := PollOrder{Addr: c.addr, Instance: c.id, Token: t.tokenOf(c.id), AckThrough: c.ackedEnd}
	if !t.limitAck(c, &order, now) {
		return
	}
	if _, ok := e.cfg.Elector.LeaseAuthority(); !ok {
		return
	}
	fencing, raised := t.state.FencePending(c.id)
	switch {
	case fencing && !raised && now.Sub(c.pollEndedAt) < maxAckDelay:
		return // until the raised token is stored
	case fencing, c.clockMS == 0:
		wait = 0
	case c.failures > 0:
	case t.state.MayExtendLease(c.id):
		c.leaseExpiresMS, c.leaseExtendedAt = c.workerClock(now)+e.cfg.Lease.Milliseconds(), now
		order.ExpiresMS = c.leaseExpiresMS
		t.state.LeaseExtended(c.id, now, now.Add(e.maxLeaseOnWorker()))
	default:
		// No poll is to be in flight when the lease may be extended, and polls must not be
		// more frequent than usual until then.
		if now.Sub(c.pollEndedAt) < wait {
			return
		}
		wait = min(wait, heldPollWait)
	}
	if wait == 0 && t.immediatePolls >= maxImmediatePolls {
		return
	}
	order.Wait = wait
	c.polling = true
	release := e.trackImmediatePoll(t, wait == 0)
	timeout := wait + c.replySlack(t.replyLoss)
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		var reply PollReply
		err := e.guarded("poll", func() (err error) {
			reply, err = e.cfg.Workers.Poll(ctx, order)
			return err
		})
		e.post(func() {
			release()
			e.handlePollReply(t, c, now, order, reply, err)
		})
	}()
}

// limitAck has a poll acknowledge ends only as far as no start that may still be executed depends on
// it: with a lower token than the start's, or not at all. It returns false if the poll is to wait for
// the answer to a start, which comes within milliseconds as a rule.
func (t *term) limitAck(c *workerConn, order *PollOrder, now clock.Mono) bool {
	if order.AckThrough == 0 {
		return true
	}
	token, ok := t.state.AckToken(c.id, order.Token, c.seenToken)
	if token < order.Token && c.holdPoll(now) {
		return false
	}
	if ok {
		order.Token = token
	} else {
		order.AckThrough = 0
	}
	return true
}

// holdPoll holds a poll back for the answers to the orders under way, and reports whether it does: for as
// long as a start's first try is awaited, once for all orders that follow each other.
func (c *workerConn) holdPoll(now clock.Mono) bool {
	if c.orders.isIdle() {
		c.pollHeldUntil = 0
		return false
	}
	if c.pollHeldUntil == 0 {
		c.pollHeldUntil = now.Add(startTimeouts[0])
	}
	return now < c.pollHeldUntil
}

// sendHeldPoll sends the poll that was held back once no order is under way any more.
func (e *Engine) sendHeldPoll(t *term, c *workerConn) {
	if c.pollHeldUntil != 0 && c.orders.isIdle() {
		c.pollHeldUntil = 0
		e.poll(t, c)
	}
}

// trackImmediatePoll counts a poll that does not wait for a run to end towards
// maxImmediatePolls. It counts until release is called or immediatePollSlot has
// passed.
func (e *Engine) trackImmediatePoll(t *term, immediate bool) (release func()) {
	if !immediate {
		return func() {}
	}
	t.immediatePolls++
	released := false
	release = func() {
		if released || e.term != t {
			return
		}
		released = true
		t.immediatePolls--
		e.pollIdleWorkers()
	}
	time.AfterFunc(immediatePollSlot, func() { e.post(release) })
	return release
}

// handlePollReply handles the result of a poll that was sent at sent. A reply to a poll that was sent
// before the list showed another incarnation or address may come from the former one.
func (e *Engine) handlePollReply(t *term, c *workerConn, sent clock.Mono, order PollOrder, reply PollReply, err error) {
	if e.term != t || t.workers[c.id] != c {
		return
	}
	now := e.clk.Now()
	c.polling, c.pollEndedAt = false, now
	t.dirty = true
	if sent <= c.forgottenAt {
		e.poll(t, c)
		return
	}
	if t.isOvertaken(c.id, order.Token, err) {
		e.log.Debug("poll overtaken by a later order", zap.String("worker", c.id), zap.Int64("token", order.Token), zap.Int64("acknowledged", order.AckThrough))
		c.seenToken = max(c.seenToken, order.Token+1)
		e.poll(t, c)
		return
	}
	if c.failures == 0 && c.clockMS != 0 {
		t.replyLoss.observe(err != nil)
	}
	if err != nil {
		e.handlePollFailure(t, c, err)
		if c.failures == 1 {
			e.poll(t, c)
		}
		return
	}
	if c.failures > 0 {
		e.log.Info("worker responds again", zap.String("worker", c.id), zap.Int("failures", c.failures))
	}
	if c.bootUnixMS != 0 && reply.BootUnixMS != 0 && reply.BootUnixMS != c.bootUnixMS {
		e.reportRestart(t, c, reply, now)
	}
	clockKnown := c.clockMS != 0
	c.failures, c.clockMS, c.clockAt = 0, reply.ClockMS, now
	if reply.BootUnixMS != c.bootUnixMS {
		// Each incarnation numbers its ended runs from the beginning.
		c.bootUnixMS, c.ackedEnd, c.ackableEnd, c.leaseExpiresMS, c.seenToken = reply.BootUnixMS, 0, 0, 0, 0
	}
	c.seenToken = max(c.seenToken, order.Token)
	t.state.SetNow(now, e.clk.Wall().UnixMilli())
	lastEnd := t.state.Observe(sched.Report{
		Worker: c.id, BootUnixMS: reply.BootUnixMS, Token: order.Token, PolledAt: sent, Running: reply.Running, Ended: reply.Ended,
		MoreEnds: reply.MoreEnds,
	})
	e.reportOutlivedRuns(t, reply.ClockMS, now)
	if lastEnd > c.ackableEnd {
		c.ackableEnd, c.ackableRound = lastEnd, t.round+1
		return
	}
	if !clockKnown || len(reply.Ended) == 0 {
		e.poll(t, c)
	}
}

// reportRestart logs and counts a reply of another incarnation, before the connection's state of
// the former one is replaced.
func (e *Engine) reportRestart(t *term, c *workerConn, reply PollReply, now clock.Mono) {
	e.cfg.Metrics.CountWorkerRestart()
	e.log.Info("worker restarted", zap.String("worker", c.id), zap.Int64("former_boot_ms", c.bootUnixMS), zap.Int64("boot_ms", reply.BootUnixMS),
		zap.Int64("clock_ms", reply.ClockMS), zap.Int64("former_clock_ms", c.estimatedClock(now)), zap.Int64("sent_expiry_ms", c.leaseExpiresMS),
		zap.Int("failures", c.failures), zap.Int("running", len(reply.Running)), zap.Int("unconfirmed", t.state.UnconfirmedRuns(c.id)))
}

// reportLeaseEnds logs the workers whose leases the scheduler took as ended, with what was last
// sent to them.
func (e *Engine) reportLeaseEnds(t *term) {
	now := e.clk.Now()
	for _, end := range t.state.TakeLeaseEnds() {
		c := t.workers[end.Worker]
		if c == nil {
			c = &workerConn{} // of a former owner's run, on a worker that is not listed
		}
		e.log.Info("leases over", zap.String("worker", end.Worker), zap.Int64("boot_ms", end.BootUnixMS), zap.Int("runs", end.Runs),
			zap.Int("unconfirmed", end.Unconfirmed), zap.Int64("silent_ms", millisSince(end.SilentSince, now)),
			zap.Int64("extended_ms", millisSince(c.leaseExtendedAt, now)), zap.Int64("clock_ms", c.estimatedClock(now)),
			zap.Int64("sent_expiry_ms", c.leaseExpiresMS))
	}
}

// reportOutlivedRuns logs and counts the runs that a worker's reply still lists although they were
// given up. clockMS is the worker's clock in the reply.
func (e *Engine) reportOutlivedRuns(t *term, clockMS int64, now clock.Mono) {
	for _, r := range t.state.TakeOutlivedRuns() {
		e.cfg.Metrics.CountRunOutlivedLease()
		e.log.Warn("run outlived its lease", zap.String("worker", r.Worker), zap.Int64("boot_ms", r.BootUnixMS),
			zap.Int64("former_boot_ms", r.GivenUpBootUnixMS), zap.String("task", r.Task.String()), zap.Int("attempt", r.Attempt),
			zap.Int64("given_up_ms", millisSince(r.GivenUpAt, now)), zap.Bool("confirmed", r.Confirmed), zap.Int64("clock_ms", clockMS))
	}
}

// millisSince returns the time from at to now in milliseconds, or -1 if at is 0.
func millisSince(at, now clock.Mono) int64 {
	if at == 0 {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// handlePollFailure records a failed poll. After the second failure in a row the
// scheduler takes the worker as unresponsive.
func (e *Engine) handlePollFailure(t *term, c *workerConn, err error) {
	c.failures++
	t.state.PollFailed(c.id)
	switch rcode.Of(err) {
	case rcode.NotFound:
		e.log.Info("worker replaced", zap.String("worker", c.id))
		t.state.WorkerReplaced(c.id)
		c.forgetIncarnation(e.clk.Now())
	case rcode.NotOwner:
		e.log.Warn("worker rejected this owner's token", zap.String("worker", c.id), zap.Int64("token", t.tokenOf(c.id)))
	default:
		if c.failures == 1 {
			e.log.Warn("failed to poll worker", append(logs.Err(err), zap.String("worker", c.id))...)
		}
	}
	if c.failures > 1 {
		t.state.WorkerUnresponsive(c.id)
	}
}
