package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/entry/sched"
)

const (
	// maxOrdersInFlight bounds the starts, stops and throttle orders that a worker has not answered
	// yet, and so the connections to it.
	maxOrdersInFlight = 2
	// maxShortQueue is the number of waiting orders up to which they are sent one after the other,
	// without a further connection.
	maxShortQueue = 3
	// MaxCallsPerWorker is the maximum number of calls to one worker at a time: orders and one poll.
	MaxCallsPerWorker = maxOrdersInFlight + 1

	// stopTimeout bounds a stop or throttle order, and how long one waits for earlier orders.
	stopTimeout = 500 * time.Millisecond
)

// startTimeouts bound the tries of a start order. The first is short, because a worker that
// can be reached answers within milliseconds, and the next try over another connection finds
// out whether only the reply was lost.
var startTimeouts = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}

// orderCall sends an order. It runs in a goroutine of its own and returns what the loop does with
// the outcome.
type orderCall func() (apply func())

// order is an order for a worker that waits until earlier ones are answered.
type order struct {
	// sendBy is the latest time at which the order may be sent.
	sendBy clock.Mono
	// prepare runs in the loop when the order's turn has come. It returns nil if the order must
	// not be sent any more.
	prepare func(now clock.Mono) orderCall
	// expire runs in the loop in place of prepare once sendBy has passed.
	expire func()
}

// orderQueue holds the orders for one worker. Stops and throttle orders, which free capacity, go
// before starts.
type orderQueue struct {
	inFlight      int
	stops, starts []order
}

// next removes and returns the order whose turn it is.
func (q *orderQueue) next() (order, bool) {
	list := &q.stops
	if len(q.stops) == 0 {
		list = &q.starts
	}
	if len(*list) == 0 {
		return order{}, false
	}
	o := (*list)[0]
	*list = (*list)[1:]
	return o, true
}

// isIdle reports whether no order waits or is in flight.
func (q *orderQueue) isIdle() bool { return q.inFlight == 0 && len(q.stops)+len(q.starts) == 0 }

// mayStart reports whether an order may be sent before those in flight are answered.
func (q *orderQueue) mayStart() bool {
	switch q.inFlight {
	case 0:
		return true
	case maxOrdersInFlight:
		return false
	default:
		return len(q.stops)+len(q.starts) > maxShortQueue
	}
}

// sendOrders sends the orders whose turn it is.
func (e *Engine) sendOrders(t *term, c *workerConn) {
	for c.orders.mayStart() {
		o, ok := c.orders.next()
		if !ok {
			return
		}
		now := e.clk.Now()
		if now > o.sendBy {
			o.expire()
			continue
		}
		if call := o.prepare(now); call != nil {
			e.sendOrder(t, c, call)
		}
	}
}

// sendOrder carries out a call and sends the next order when it has ended.
func (e *Engine) sendOrder(t *term, c *workerConn, call orderCall) {
	c.orders.inFlight++
	go func() {
		apply := call()
		e.post(func() {
			if e.term != t {
				return
			}
			c.orders.inFlight--
			apply()
			e.sendOrders(t, c)
		})
	}()
}

// sendStart has a worker start a run and passes the outcome to the scheduler.
func (e *Engine) sendStart(t *term, st sched.Start) {
	c := t.workers[st.Worker]
	if c == nil {
		e.answerStart(t, st, sched.OutcomeNotSent)
		return
	}
	if st.Repeated {
		e.log.Info("repeating start", zap.String("task", st.Task.String()), zap.Int("attempt", st.Attempt), zap.String("worker", st.Worker))
	}
	expiresAt := t.decidedAt.Add(maxStartDelay)
	o := order{sendBy: t.decidedAt.Add(maxStartDelay / 2), expire: func() { e.answerStart(t, st, sched.OutcomeUnreachable) }}
	again := func() { c.orders.starts = append(c.orders.starts, o) }
	o.prepare = func(now clock.Mono) orderCall { return e.prepareStart(t, c, st, now, expiresAt, again) }
	c.orders.starts = append(c.orders.starts, o)
	e.sendOrders(t, c)
}

// answerStart passes the outcome of a start to the scheduler.
func (e *Engine) answerStart(t *term, st sched.Start, outcome sched.StartOutcome) {
	t.state.SetNow(e.clk.Now(), e.clk.Wall().UnixMilli())
	t.state.StartAnswered(st.Task, st.Attempt, st.Worker, outcome)
	t.dirty = true
}

// prepareStart returns the call for a start that the worker may execute until expiresAt. again queues
// the start once more if a later order overtook it.
func (e *Engine) prepareStart(t *term, c *workerConn, st sched.Start, now, expiresAt clock.Mono, again func()) orderCall {
	// While the order waited, the run may have been given up or stopped. Its task may run elsewhere.
	if c.clockMS == 0 || c.failures > 0 || !t.state.MayExtendLease(st.Worker) || !t.state.AwaitsStart(st.Task, st.Attempt, st.Worker) {
		e.answerStart(t, st, sched.OutcomeNotSent)
		return nil
	}
	order := StartOrder{
		Addr: c.addr, Instance: c.id, Task: st.Task.String(), Attempt: st.Attempt, Spec: st.Spec, Checkpoint: st.Checkpoint,
		Ticket: st.Ticket, Token: t.tokenOf(c.id), LeastClockMS: c.leastClock(now), ExpiresMS: c.workerClock(now) + expiresAt.Sub(now).Milliseconds(),
	}
	c.leaseExtendedAt = now
	t.state.LeaseExtended(c.id, now, now.Add(e.maxLeaseOnWorker()))
	return func() func() {
		outcome := e.tryStart(t, order)
		e.cfg.Metrics.CountStart(string(outcome))
		return func() {
			switch {
			case outcome == sched.OutcomeStarted, outcome == sched.OutcomeStartedOnRetry:
				c.seenToken = max(c.seenToken, order.Token)
			case outcome == sched.OutcomeStartedByLater:
				e.log.Info("start reached a later incarnation", zap.String("task", order.Task), zap.Int("attempt", order.Attempt),
					zap.String("worker", order.Instance))
			case outcome == sched.OutcomeFenced && order.Token < t.tokenOf(c.id):
				again()
				return
			default:
				e.log.Info("run not started", zap.String("task", order.Task), zap.Int("attempt", order.Attempt),
					zap.String("worker", order.Instance), zap.String("outcome", string(outcome)))
			}
			e.answerStart(t, st, outcome)
			e.sendHeldPoll(t, c)
		}
	}
}

// tryStart sends a start order. It repeats the same order after an error or an unknown
// outcome. The result is OutcomeUnknown if any try may still take effect.
func (e *Engine) tryStart(t *term, order StartOrder) sched.StartOutcome {
	mayHaveStarted := false
	for _, timeout := range startTimeouts {
		if _, ok := e.cfg.Elector.Authority(); !ok {
			break
		}
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		var outcome sched.StartOutcome
		err := e.guarded("start", func() (err error) {
			outcome, err = e.cfg.Workers.Start(ctx, order)
			return err
		})
		cancel()
		if err == nil && outcome != sched.OutcomeUnknown {
			switch {
			case !mayHaveStarted:
				return outcome
			case outcome == sched.OutcomeStarted:
				return sched.OutcomeStartedOnRetry
			default:
				return sched.OutcomeUnknown // the worker may still execute an earlier try
			}
		}
		mayHaveStarted = true
	}
	if !mayHaveStarted {
		return sched.OutcomeNotSent
	}
	return sched.OutcomeUnknown
}

// sendStop has a worker stop a run. A lost order is not repeated here: the scheduler
// decides on the stop again.
func (e *Engine) sendStop(t *term, d sched.Stop) {
	c := t.workers[d.Worker]
	if c == nil {
		return
	}
	e.log.Info("stopping run", zap.String("task", d.Task.String()), zap.Int("attempt", d.Attempt), zap.String("worker", d.Worker),
		zap.String("reason", string(d.Reason)))
	o := order{sendBy: e.clk.Now().Add(stopTimeout), expire: func() {}}
	again := func() { c.orders.stops = append(c.orders.stops, o) }
	o.prepare = func(clock.Mono) orderCall { return e.prepareStop(t, c, d, again) }
	c.orders.stops = append(c.orders.stops, o)
	e.sendOrders(t, c)
}

// prepareStop returns the call for a stop. again queues it once more if a later order overtook it.
func (e *Engine) prepareStop(t *term, c *workerConn, d sched.Stop, again func()) orderCall {
	if _, ok := e.cfg.Elector.Authority(); !ok {
		return nil
	}
	order := StopOrder{Addr: c.addr, Instance: c.id, Task: d.Task.String(), Attempt: d.Attempt, Token: t.tokenOf(c.id)}
	return func() func() {
		ctx, cancel := context.WithTimeout(t.ctx, stopTimeout)
		defer cancel()
		if err := e.guarded("stop", func() error { return e.cfg.Workers.Stop(ctx, order) }); err != nil {
			return func() {
				if t.isOvertaken(c.id, order.Token, err) {
					again()
				}
			}
		}
		return func() {
			t.state.SetNow(e.clk.Now(), e.clk.Wall().UnixMilli())
			t.state.StopAccepted(d.Task, d.Attempt, d.Worker)
		}
	}
}

// sendThrottle sets the share of its speed that a filler may use. A lost order is not repeated here:
// the scheduler makes up for it after the worker's next report.
func (e *Engine) sendThrottle(t *term, d sched.Throttle) {
	failed := func() { t.state.ThrottleFailed(d.Task, d.Attempt, d.Worker) }
	c := t.workers[d.Worker]
	if c == nil {
		failed()
		return
	}
	c.orders.stops = append(c.orders.stops, order{
		sendBy:  e.clk.Now().Add(stopTimeout),
		prepare: func(clock.Mono) orderCall { return e.prepareThrottle(t, c, d, failed) },
		expire:  failed,
	})
	e.sendOrders(t, c)
}

// prepareThrottle returns the call for a throttle order.
func (e *Engine) prepareThrottle(t *term, c *workerConn, d sched.Throttle, failed func()) orderCall {
	if _, ok := e.cfg.Elector.Authority(); !ok {
		failed()
		return nil
	}
	order := ThrottleOrder{Addr: c.addr, Instance: c.id, Task: d.Task.String(), Attempt: d.Attempt, Percent: d.Percent, Token: t.tokenOf(c.id)}
	e.log.Info("throttling run", zap.String("task", order.Task), zap.Int("attempt", d.Attempt),
		zap.String("worker", d.Worker), zap.Int("percent", d.Percent))
	return func() func() {
		ctx, cancel := context.WithTimeout(t.ctx, stopTimeout)
		defer cancel()
		if err := e.guarded("throttle", func() error { return e.cfg.Workers.Throttle(ctx, order) }); err != nil {
			e.log.Warn("failed to throttle run", append(logs.Err(err), zap.String("task", order.Task), zap.String("worker", order.Instance))...)
			return failed
		}
		return func() {}
	}
}
