// Package engine runs the owner, the one VM that schedules tasks on all workers.
// It loads the state from the store, feeds package sched, stores the events of a
// round before it sends the starts that depend on them, and polls the workers.
//
// # Usage
//
//	e := engine.New(engine.Config{...}, clk, log)
//	go e.Run(ctx)
//	state, err := e.Job(ctx, id)
//
// All state belongs to one goroutine, the loop. Calls to the store, to workers
// and to other VMs run in their own goroutines and post their results to the loop.
package engine

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/guard"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
	"limpethitch.example/entry/upkeep"
)

// Key prefixes in the store.
const (
	// InboxPrefix is watched by the owner. JobPrefix, for accepted jobs, and
	// CancelPrefix, for their cancellations, are both below it.
	InboxPrefix  = "in/"
	JobPrefix    = InboxPrefix + "j/"
	CancelPrefix = InboxPrefix + "c/"
	// RefusalPrefix is for jobs that were refused because of the load. The key of a
	// refusal has the job's ID. It is not watched.
	RefusalPrefix = "refused/"
)

// InboxID returns the id of the job that a key of a job or of a cancellation belongs to, and
// false for any other key.
func InboxID(key string) (string, bool) {
	id, ok := strings.CutPrefix(key, JobPrefix)
	if !ok {
		id, ok = strings.CutPrefix(key, CancelPrefix)
	}
	return id, ok && graph.ValidID(id)
}

// Config holds the settings of an Engine.
type Config struct {
	Self lead.Holder
	// CPUMilli is this VM's share of the CPU in thousandths of a core.
	CPUMilli      int64
	Store         store.Store
	Elector       *lead.Elector
	Workers       Workers
	Adviser       Adviser
	RemoteAdviser RemoteAdviser
	// MemberAddrs returns the addresses of the VMs that the former owner knew. Greet sends a
	// hello to one of them and returns the incarnation that replied.
	MemberAddrs func() []string
	Greet       func(ctx context.Context, addr string) (lead.Holder, error)
	// WorkerPrefix is the key prefix under which the platform lists workers;
	// ParseWorker decodes an entry.
	WorkerPrefix string
	ParseWorker  ParseWorker
	// Lease is how long a worker keeps its runs alive without a message from the
	// owner. LeaseCap is the longest lease that the platform allows: a worker shortens a
	// longer one to it.
	Lease, LeaseCap time.Duration
	Metrics         *stats.Metrics
	// StoreAge returns the time since the store last answered this VM.
	StoreAge func() time.Duration
	// RulesCurrent reports whether the configuration was read since this process was last
	// paused. Nothing is decided until then. Nil means that it was.
	RulesCurrent func() bool
	// StatusRetention is how long the state of a finished job must stay readable.
	StatusRetention time.Duration
	// AvoidSlowWorkers is whether slow workers come last and runs are moved from them.
	AvoidSlowWorkers bool
	// PastUseHalfLife is the time after which past use counts half in the order of waiting
	// work; 0 leaves it out, and it is neither read nor written.
	PastUseHalfLife time.Duration
	// MaxStopTime is how long a worker may take to stop a run.
	MaxStopTime time.Duration
	// Fleet takes the VMs of workers down for maintenance; it is nil on a platform
	// without maintenance waves. MaintenanceDuration is how long a VM is down.
	// HolderLease is how long after one owner's last order the next owner must wait
	// before its first.
	Fleet                            Fleet
	MaintenanceDuration, HolderLease time.Duration
}

const (
	// maxStartDelay is how long after the decision a worker may still start the run.
	maxStartDelay = 2 * time.Second
	// maxClockDrift is the fraction by which a worker's clock may run slow.
	maxClockDrift = 0.03
	// messageDelaySlack covers the network delay of a message.
	messageDelaySlack = 300 * time.Millisecond
	// minRoundInterval is the shortest time between two scheduling rounds.
	minRoundInterval = 10 * time.Millisecond
	// tickInterval is the time between rounds when no event triggers one.
	tickInterval = 100 * time.Millisecond
	// maxPosts bounds the queue of functions that wait for the loop.
	maxPosts = 4096
)

// Engine schedules tasks while this VM is the owner. Its methods are safe for
// concurrent use.
type Engine struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	posts chan func()
	done  chan struct{}
	ctx   context.Context // the context of Run; belongs to the loop

	// The fields below belong to the loop.
	ruleSet      *rules.Set
	outOfService map[string]bool
	// requestedWaves are the maintenance waves that the operators request, by number.
	requestedWaves map[int64]upkeep.Wave
	term           *term // nil unless this VM is the owner
	advicePool
}

// term is the state of one uninterrupted period of ownership.
type term struct {
	lead.Term
	ctx    context.Context
	cancel context.CancelFunc
	state  *sched.State
	writer *events.Writer
	ready  bool // the state is loaded
	// workersOutdated is whether the list of workers must be read again before anything is
	// decided.
	workersOutdated bool
	workers         map[string]*workerConn
	// raisedTokens are the fencing tokens of workers that were sent starts or that restarted, by id. A
	// worker that was removed keeps its token: it rejects a lower one if it is listed again.
	raisedTokens map[string]int64
	compactor    compactor

	maintenance maintenance
	// drainDeadlines has the workers that drain for maintenance, each with the time
	// at which its remaining runs are stopped.
	drainDeadlines map[string]clock.Mono
	// immediatePolls counts the polls towards maxImmediatePolls; see trackImmediatePoll.
	immediatePolls int
	replyLoss      replyLoss

	writing       bool             // a round's events are being written
	storedThrough int64            // the last round whose events are stored
	round         int64            // the round being written, or the last one written
	decidedAt     clock.Mono       // when the last round was decided
	advisedAt     clock.Mono       // when advice was last requested during a write
	dirty         bool             // something has changed since then
	unstoredJobs  map[string]int64 // finished jobs, with the round that stores the end
	// endWaits are the requests that wait for the end of a job.
	endWaits      map[string]chan struct{}
	waitingJobs   map[string]int // cached result of sched.State.Pending, by queue
	waitingJobsAt clock.Mono
	// begunAt is when this VM found itself the owner, which is after the takeover was stored.
	begunAt             clock.Mono
	load                *admit.Figures // cached result of sched.State.Backlog
	loadAt              clock.Mono
	refusals            refusalSweep
	loadLoggedAt        clock.Mono    // when the load was last logged
	transferRequestedAt clock.Mono    // when another VM was last asked to take over
	peerStoreContact    contactStreak // the period in which the store answers other VMs
	pastUse             pastUse
}

// New returns an engine. It does nothing until Run is called.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Engine {
	e := &Engine{cfg: cfg, clk: clk, log: log, posts: make(chan func(), maxPosts), done: make(chan struct{}), outOfService: make(map[string]bool)}
	e.members = make(map[string]*member)
	return e
}

// post queues f for the loop. It drops f if the loop has ended.
func (e *Engine) post(f func()) {
	select {
	case e.posts <- f:
	case <-e.done:
	}
}

// Run schedules tasks whenever this VM is the owner, until ctx ends. It must be
// called only once.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.done)
	e.ctx = ctx
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	roundTimer := time.NewTimer(0)
	defer roundTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			e.endTerm()
			return ctx.Err()
		case f := <-e.posts:
			e.protect(f)
			e.drainPosts()
		case <-e.cfg.Elector.Changed():
			e.protect(e.syncTerm)
		case <-roundTimer.C:
		case <-tick.C:
			e.protect(e.tick)
		}
		e.protect(func() {
			if wait, again := e.decide(); again {
				roundTimer.Reset(wait)
			}
		})
	}
}

// drainPosts runs the functions that are already queued, so that one scheduling
// round handles all their results.
func (e *Engine) drainPosts() {
	for range maxPosts {
		select {
		case f := <-e.posts:
			e.protect(f)
		default:
			return
		}
	}
}

// protect runs f in the loop. After a panic the state may be half changed, so it ends the
// term: the next owner recovers from what is stored.
func (e *Engine) protect(f func()) {
	endTerm := func(err error) {
		e.logPanic("engine", err)
		if e.term != nil {
			e.cfg.Elector.Resign()
			e.endTerm()
		}
	}
	_ = guard.Run(endTerm, func() error {
		f()
		return nil
	})
}

// logPanic logs and counts a panic in a component.
func (e *Engine) logPanic(component string, err error) {
	e.log.Error("panic", append(logs.Err(err), zap.String("component", component))...)
	e.cfg.Metrics.CountPanic(component)
}

// guarded calls f, which does not change the loop's state, and returns its error or that of
// a panic.
func (e *Engine) guarded(component string, f func() error) error {
	return guard.Run(func(err error) { e.logPanic(component, err) }, f)
}

// syncTerm begins or ends a term after the ownership record changed.
func (e *Engine) syncTerm() {
	t, owner := e.cfg.Elector.Term()
	if e.term != nil && (!owner || t.Epoch() != e.term.Epoch()) {
		e.endTerm()
	}
	if owner && e.term == nil {
		e.beginTerm(t)
	}
}

func (e *Engine) endTerm() {
	if e.term == nil {
		return
	}
	e.log.Info("term ended", zap.Int64("epoch", e.term.Epoch()))
	e.storeLastPastUse(e.term)
	e.term.cancel()
	e.term.releaseEndWaits()
	// A worker accepts a limited number of connections. The next owner needs some.
	for _, c := range e.term.workers {
		e.cfg.Workers.Release(c.addr)
	}
	e.term = nil
	e.cfg.Metrics.SetOwner(false, 0, [3]int{})
	e.cfg.Metrics.SetWorkersWithoutLease(0)
	e.cfg.Metrics.SetPastUse(nil)
	e.cfg.Metrics.SetSlowWorkers(0)
}

// SetRules replaces the scheduling rules.
func (e *Engine) SetRules(set *rules.Set) {
	e.post(func() {
		e.ruleSet = set
		if e.term != nil {
			e.term.state.SetRules(set)
			e.term.dirty = true
		}
	})
}

// SetOutOfService sets the data centres in which no new runs are started.
func (e *Engine) SetOutOfService(out map[string]bool) {
	e.post(func() {
		e.outOfService = out
		if e.term != nil {
			e.term.state.SetOutOfService(out)
			e.term.dirty = true
		}
	})
}

// tick does the periodic work that depends on time alone.
func (e *Engine) tick() {
	if e.term == nil {
		return
	}
	e.resignToFasterVM(e.term)
	if !e.term.ready {
		return
	}
	e.term.dirty = true
	e.pollIdleWorkers()
	e.compact(e.term)
	e.sweepRefusals(e.term)
	e.runMaintenance(e.term)
	e.logLoad(e.term)
	e.syncPastUse(e.term)
}

// Owner returns the owner that this VM last read from the record.
func (e *Engine) Owner() lead.Holder {
	h, _ := e.cfg.Elector.Owner()
	return h
}

// call runs f in the loop and waits for it. It fails with rcode.NotOwner unless this
// VM is the owner and has loaded its state, and with rcode.NoOwner if ctx ends first.
func (e *Engine) call(ctx context.Context, f func(t *term)) error {
	return e.callTerm(ctx, func(t *term) bool {
		if t.ready {
			f(t)
		}
		return t.ready
	})
}

// callTerm is call for an f that also runs while the state is loading. f returns whether
// the owner could answer.
func (e *Engine) callTerm(ctx context.Context, f func(t *term) bool) error {
	done := make(chan bool, 1)
	e.post(func() { done <- e.term != nil && f(e.term) })
	select {
	case ok := <-done:
		if !ok {
			return rcode.New(rcode.NotOwner, "this VM is not the owner or has not loaded its state")
		}
		return nil
	case <-ctx.Done():
		return rcode.Wrap(ctx.Err(), rcode.NoOwner, "engine.call")
	}
}
