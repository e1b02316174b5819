package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

const (
	// modelLeaseCap is the longest lease that a worker grants, on its own clock.
	modelLeaseCap = 10 * time.Second
	// modelSlowestClock is the rate of the slowest worker's clock.
	modelSlowestClock = 0.98
	// modelClockDrift is the fraction by which the owner takes a worker's clock to be slow at most.
	modelClockDrift = 0.03
	// modelUptime is the least age of the first incarnations. It is longer than modelLeaseCap, so
	// that an expiry on the clock of one is always beyond the cap on the clock of the next.
	modelUptime = 50 * time.Second
	// modelMaxLate is how late an order is executed at most by a later incarnation than the one
	// it was meant for, from its sending. No owner can prevent that a start is executed once more
	// after its run has ended, because nothing in a later incarnation rejects it. So later
	// incarnations never execute a start whose run had ended in the former one.
	modelMaxLate = 2 * time.Second
	// modelPollTimeout is how long the owner waits for the reply to a poll, modelStartTimeout for
	// the answers to all tries of a start.
	modelPollTimeout  = 350 * time.Millisecond
	modelStartTimeout = 800 * time.Millisecond
)

type modelRun struct {
	task      graph.TaskID
	attempt   int
	cpu       int64
	endsAt    clock.Mono
	outcome   events.RunOutcome
	stopsAt   clock.Mono
	gangSize  int
	gangStart clock.Mono
}

// incarnation is one life of a worker. Nothing of it outlasts a crash.
type incarnation struct {
	bootMS int64
	// bornAt is when the incarnation began or will begin: until then the worker is down.
	bornAt clock.Mono
	// clockRate is the rate of its clock, which is 0 at bornAt.
	clockRate        float64
	token            int64
	runs             map[graph.TaskID]*modelRun
	sorted           []graph.TaskID       // keys of runs in start order
	maxBarredAttempt map[graph.TaskID]int // highest attempt stopped or ended
	ended            []RunEnd
	endedAttempts    map[graph.TaskID]int // highest attempt of which a run has ended
	lastSeq          int64
	// leaseExpiry is when the lease of all runs expires, on the incarnation's clock.
	leaseExpiry time.Duration
}

func newIncarnation(bootMS int64, bornAt clock.Mono, clockRate float64) *incarnation {
	return &incarnation{
		bootMS: bootMS, bornAt: bornAt, clockRate: clockRate,
		runs: make(map[graph.TaskID]*modelRun), maxBarredAttempt: make(map[graph.TaskID]int), endedAttempts: make(map[graph.TaskID]int),
	}
}

// clock returns the time on the incarnation's clock.
func (w *incarnation) clock(now clock.Mono) time.Duration {
	return time.Duration(float64(now.Sub(w.bornAt)) * w.clockRate)
}

// extendLease applies the expiry in an order.
func (w *incarnation) extendLease(now clock.Mono, expiry time.Duration) {
	w.leaseExpiry = max(w.leaseExpiry, min(expiry, w.clock(now)+modelLeaseCap))
}

func (w *incarnation) end(r *modelRun, outcome events.RunOutcome) {
	w.lastSeq++
	w.endedAttempts[r.task] = max(w.endedAttempts[r.task], r.attempt)
	w.maxBarredAttempt[r.task] = max(w.maxBarredAttempt[r.task], r.attempt)
	w.ended = append(w.ended, RunEnd{Seq: w.lastSeq, Task: r.task, Attempt: r.attempt, Outcome: outcome})
	delete(w.runs, r.task)
	w.sorted = slices.DeleteFunc(w.sorted, func(id graph.TaskID) bool { return id == r.task })
}

// modelWorker is an id, under which one incarnation follows another.
type modelWorker struct {
	*incarnation
	id               string
	formerBootMS     int64
	unreachableUntil clock.Mono
}

func (w *modelWorker) isDown(now clock.Mono) bool { return now < w.bornAt }

// entryBootMS is the start time in the worker's entry in the platform's list, which is written
// once the incarnation runs.
func (w *modelWorker) entryBootMS(now clock.Mono) int64 {
	if w.isDown(now) {
		return w.formerBootMS
	}
	return w.bootMS
}

// modelConn is what an owner knows of a worker. It follows the rules of package engine.
type modelConn struct {
	// bootMS is the incarnation that answered last; 0 is none.
	bootMS int64
	// workerClock is the incarnation's clock as of clockAt.
	workerClock time.Duration
	clockAt     clock.Mono
	// leaseExpiry is the latest lease expiry sent, on the incarnation's clock.
	leaseExpiry time.Duration
	// restarted is whether another incarnation than the first one has answered.
	restarted bool
	acked     int64 // the last end that polls acknowledge
	polls     int   // polls sent
	openPoll  int   // number of the poll in flight, or 0
	failures  int   // failed polls in a row
	// seenToken is a token that the incarnation has seen.
	seenToken int64
}

// clock returns the owner's estimate of the time on the worker's clock.
func (c *modelConn) clock(now clock.Mono) time.Duration { return c.workerClock + now.Sub(c.clockAt) }

// heard records an answer with the clock of an incarnation.
func (c *modelConn) heard(now clock.Mono, bootMS int64, workerClock time.Duration) {
	if bootMS != c.bootMS {
		c.restarted = c.bootMS != 0
		c.bootMS, c.acked, c.leaseExpiry, c.seenToken = bootMS, 0, 0, 0
	}
	c.failures, c.workerClock, c.clockAt = 0, workerClock, now
}

// modelOwner is an owner with its orders to workers.
type modelOwner struct {
	state *State
	token int64
	// earlierBuild is whether the owner knows no lease notes.
	earlierBuild bool
	conns        map[string]*modelConn
	// raisedTokens are the tokens that were raised for workers that restarted.
	raisedTokens map[string]int64
}

func (o *modelOwner) conn(id string) *modelConn {
	c := o.conns[id]
	if c == nil {
		c = &modelConn{}
		o.conns[id] = c
	}
	return c
}

// tokenFor returns the fencing token of the orders to a worker.
func (o *modelOwner) tokenFor(id string) int64 { return max(o.token, o.raisedTokens[id]) }

func (o *modelOwner) mayExtend(id string) bool { return o.earlierBuild || o.state.MayExtendLease(id) }

// modelPoll is a poll order.
type modelPoll struct {
	token, ack int64
	expiry     time.Duration
}

// newPoll returns the next poll of a worker and records the extension of its lease.
func (o *modelOwner) newPoll(now clock.Mono, id string) modelPoll {
	c := o.conn(id)
	if c.failures > 0 {
		c.acked = 0
	}
	order := modelPoll{token: o.tokenFor(id), ack: c.acked}
	if order.ack > 0 {
		if token, ok := o.state.AckToken(id, order.token, c.seenToken); ok {
			order.token = token
		} else {
			order.ack = 0
		}
	}
	if c.bootMS != 0 && c.failures == 0 && o.mayExtend(id) {
		c.leaseExpiry = c.clock(now) + modelLease
		order.expiry = c.leaseExpiry
		o.state.LeaseExtended(id, now, now.Add(modelMaxLease))
	}
	return order
}

// pollFailed records that a poll was not answered.
func (o *modelOwner) pollFailed(id string) {
	c := o.conn(id)
	c.openPoll = 0
	c.failures++
	if c.failures > 1 {
		o.state.WorkerUnresponsive(id)
	}
}

// modelStart is a start order.
type modelStart struct {
	token   int64
	task    graph.TaskID
	attempt int
	expiry  time.Duration
}

// sentStart is a start order that may be in flight.
type sentStart struct {
	modelStart
	worker string
	sentAt clock.Mono
	// ended is whether the run had ended when the worker crashed.
	ended bool
}

// newStart returns a start order and records the extension of the worker's lease. ok is false if
// none may be sent.
func (o *modelOwner) newStart(now, decidedAt clock.Mono, d Start) (order modelStart, ok bool) {
	c := o.conn(d.Worker)
	if c.bootMS == 0 || c.failures > 0 || now.Sub(decidedAt) > time.Second || !o.mayExtend(d.Worker) {
		return modelStart{}, false
	}
	o.state.LeaseExtended(d.Worker, now, now.Add(modelMaxLease))
	left := decidedAt.Add(modelStartTTL).Sub(now)
	return modelStart{token: o.tokenFor(d.Worker), task: d.Task, attempt: d.Attempt, expiry: c.clock(now) + left}, true
}
