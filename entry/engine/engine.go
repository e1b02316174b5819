// Package engine is the runtime of the VM that decides for all workers: it loads
// the state from the store, feeds package sched, stores its events before its
// starts are sent, and keeps in touch with the workers.
//
// # Usage
//
//	e := engine.New(engine.Config{...}, clk, log)
//	go e.Run(ctx)
//	state, err := e.Job(ctx, id)
//
// All state belongs to one goroutine, the loop. Calls to the store, to workers
// and to other VMs run in goroutines of their own and post their results to it.
package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

// Keys in the store.
const (
	// JobPrefix holds accepted jobs, CancelPrefix their cancellations, both below
	// InPrefix, which the owner watches.
	InPrefix     = "in/"
	JobPrefix    = InPrefix + "j/"
	CancelPrefix = InPrefix + "c/"
)

// Config are the settings of an Engine.
type Config struct {
	Self lead.Holder
	// CPUMilli is this VM's processor share in thousandths of a core.
	CPUMilli int64
	Store    store.Store
	Keeper   *lead.Keeper
	Workers  Workers
	Adviser  Adviser
	Helper   Helper
	// WorkerPrefix is where the platform lists workers; ParseWorker reads an entry.
	WorkerPrefix string
	ParseWorker  ParseWorker
	// Lease is how long a worker runs on without word from the owner, at most what
	// the platform allows.
	Lease   time.Duration
	Metrics *stats.Metrics
	// StoreAge returns the time since the store answered this VM last.
	StoreAge func() time.Duration
	// StatusFor is how long the state of a finished job must stay readable.
	StatusFor time.Duration
	// StopWithin is how long a stop may take on a worker.
	StopWithin time.Duration
}

const (
	// startWithin is how long after its decision a start may take effect.
	startWithin = 2 * time.Second
	// driftShare is how much slower a worker's clock may run, as a part.
	driftShare = 0.03
	// lapseSlack covers the way of a message.
	lapseSlack = 300 * time.Millisecond
	// roundEvery is the shortest time between two rounds of decisions.
	roundEvery = 10 * time.Millisecond
	// tickEvery is the time between rounds when nothing happens.
	tickEvery = 100 * time.Millisecond
	// queueLength bounds results that wait for the loop.
	queueLength = 4096
)

// Engine decides while this VM is the owner. Its methods are safe for concurrent
// use.
type Engine struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	posts chan func()
	ended chan struct{}
	ctx   context.Context // that of Run; belongs to the loop

	// The fields below belong to the loop.
	set  *rules.Set
	out  map[string]bool
	term *term
	helpers
}

// term is the state of one time of ownership.
type term struct {
	lead.Term
	ctx     context.Context
	cancel  context.CancelFunc
	state   *sched.State
	writer  *events.Writer
	ready   bool
	workers map[string]*contact
	folder  folder
	// sweeping counts the looks under way that do not wait for an end.
	sweeping int

	writing   bool
	stored    int64 // rounds whose events are stored
	round     int64 // the round being written, or the last one
	decidedAt clock.Mono
	dirty     bool
	unstored  map[string]int64 // finished jobs by the round that stores it
	pending   map[string]int
	pendingAt clock.Mono
	begunAt   clock.Mono // when the state was loaded
	loadAt    clock.Mono // when the load was logged last
	offeredAt clock.Mono // when another VM was asked to take over
}

// New returns an engine that does nothing before Run.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Engine {
	e := &Engine{cfg: cfg, clk: clk, log: log, posts: make(chan func(), queueLength), ended: make(chan struct{}), out: make(map[string]bool)}
	e.members = make(map[string]*member)
	return e
}

// post runs f in the loop, unless the loop has ended.
func (e *Engine) post(f func()) {
	select {
	case e.posts <- f:
	case <-e.ended:
	}
}

// Run decides whenever this VM is the owner, until ctx ends. It is called once.
func (e *Engine) Run(ctx context.Context) error {
	defer close(e.ended)
	e.ctx = ctx
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	pace := time.NewTimer(0)
	defer pace.Stop()
	for {
		select {
		case <-ctx.Done():
			e.leave()
			return ctx.Err()
		case f := <-e.posts:
			f()
			e.drain()
		case <-e.cfg.Keeper.Changed():
			e.follow()
		case <-pace.C:
		case <-tick.C:
			e.tick()
		}
		if wait, again := e.pump(); again {
			pace.Reset(wait)
		}
	}
}

// drain takes in the results that are there already, so that one round of
// decisions answers them all.
func (e *Engine) drain() {
	for range queueLength {
		select {
		case f := <-e.posts:
			f()
		default:
			return
		}
	}
}

// follow begins or ends a term after the record changed.
func (e *Engine) follow() {
	t, owner := e.cfg.Keeper.Term()
	if e.term != nil && (!owner || t.Epoch() != e.term.Epoch()) {
		e.leave()
	}
	if owner && e.term == nil {
		e.begin(t)
	}
}

func (e *Engine) leave() {
	if e.term == nil {
		return
	}
	e.log.Info("term left", zap.Int64("epoch", e.term.Epoch()))
	e.term.cancel()
	e.term = nil
	e.cfg.Metrics.Owner(false, 0, [3]int{})
}

// SetRules puts a version of the configuration in force.
func (e *Engine) SetRules(set *rules.Set) {
	e.post(func() {
		e.set = set
		if e.term != nil {
			e.term.state.SetRules(set)
			e.term.dirty = true
		}
	})
}

// SetOut says which data centres get nothing new.
func (e *Engine) SetOut(out map[string]bool) {
	e.post(func() {
		e.out = out
		if e.term != nil {
			e.term.state.SetOut(out)
			e.term.dirty = true
		}
	})
}

// tick does what depends on time alone.
func (e *Engine) tick() {
	if e.term == nil || !e.term.ready {
		return
	}
	e.term.dirty = true
	e.lookIdle()
	e.fold(e.term)
	e.logLoad(e.term)
	e.resign(e.term)
}

// loadEvery is the time between two lines about the load.
const loadEvery = time.Second

func (e *Engine) logLoad(t *term) {
	now := e.clk.Now()
	if now.Sub(t.loadAt) < loadEvery {
		return
	}
	t.loadAt = now
	l := t.state.Load()
	e.cfg.Metrics.Owner(true, l.Runs, l.Waiting)
	e.log.Info("load", zap.Int64("epoch", t.Epoch()), zap.Int("waiting_0", l.Waiting[0]), zap.Int("waiting_1", l.Waiting[1]),
		zap.Int("waiting_2", l.Waiting[2]), zap.Int("missed", l.Missed), zap.Int("asking", l.Asking), zap.Int("unasked", l.Unasked),
		zap.Int("runs", l.Runs), zap.Int("workers", l.Workers), zap.Int64("used_cpu", l.UsedCPU), zap.Int64("cpu", l.CPU),
		zap.Bool("writing", t.writing), zap.Int("members", len(e.members)))
}

// pump decides and hands the decisions out. It returns when to be called again.
func (e *Engine) pump() (time.Duration, bool) {
	t := e.term
	if t == nil || !t.ready {
		return 0, false
	}
	e.carryOut(t, t.state.TakeDecisions(), nil)
	if t.writing || !t.dirty {
		return 0, false
	}
	now := e.clk.Now()
	if wait := t.decidedAt.Add(roundEvery).Sub(now); wait > 0 {
		return wait, true
	}
	if _, ok := e.cfg.Keeper.Authority(); !ok {
		return tickEvery, true
	}
	t.dirty = false
	t.decidedAt = now
	t.state.SetNow(now, e.clk.Wall().UnixMilli())
	decisions := t.state.Decide(now)
	list := t.state.TakeEvents()
	starts := e.carryOut(t, decisions, nil)
	e.finishRound(t, list, starts)
	return 0, false
}

// finishRound stores a round's events and then sends its starts.
func (e *Engine) finishRound(t *term, list []events.Event, starts []sched.Start) {
	t.round++
	round := t.round
	for _, ev := range list {
		e.cfg.Metrics.Event(ev.Kind.Name(), ev.How.Name())
		e.log.Info("event", zap.String("kind", ev.Kind.Name()), zap.String("task", ev.Task), zap.Int("attempt", ev.Attempt),
			zap.String("worker", ev.Worker), zap.String("how", ev.How.Name()), zap.Int64("epoch", t.Epoch()), zap.Int64("round", round))
	}
	e.noteFinished(t, round)
	if len(list) == 0 {
		e.storedRound(t, round, starts)
		return
	}
	t.writing = true
	go func() {
		key, err := t.writer.Append(t.ctx, list)
		e.post(func() {
			t.writing = false
			if err != nil {
				// Nothing that follows from these events may happen, and no end that they
				// record may be acknowledged: the term is over.
				e.log.Warn("events not stored", logs.Err(err)...)
				e.cfg.Keeper.Deposed(t.Epoch())
				if e.term == t {
					e.leave()
				}
				return
			}
			t.folder.add(key, list, t.state.Folded)
			e.storedRound(t, round, starts)
		})
	}()
}

// noteFinished keeps the jobs whose last state the round stores.
func (e *Engine) noteFinished(t *term, round int64) {
	for _, f := range t.state.TakeFinished() {
		t.unstored[f.ID] = round
		e.cfg.Metrics.Job(f.Queue, f.Team, string(f.State), f.Took, f.FirstStart)
		e.log.Info("job finished", zap.String("id", f.ID), zap.String("queue", f.Queue), zap.String("team", f.Team),
			zap.String("state", string(f.State)), zap.Int64("took_ms", f.Took.Milliseconds()),
			zap.Int64("objective_ms", f.Objective.Milliseconds()), zap.Int64("first_start_ms", f.FirstStart.Milliseconds()),
			zap.Int64("epoch", t.Epoch()), zap.Int64("round", round))
	}
}

func (e *Engine) storedRound(t *term, round int64, starts []sched.Start) {
	if e.term != t {
		return
	}
	t.stored = round
	for id, r := range t.unstored {
		if r <= round {
			delete(t.unstored, id)
		}
	}
	now := e.clk.Now()
	_, ok := e.cfg.Keeper.Authority()
	for _, st := range starts {
		if !ok || now.Sub(t.decidedAt) > startWithin/2 {
			t.state.Started(st.Task, st.Attempt, st.Worker, sched.OutcomeWithdrawn)
			t.dirty = true
			continue
		}
		e.start(t, st)
	}
	e.lookAcked(t)
}

// carryOut hands out the decisions that need nothing stored and returns the starts.
func (e *Engine) carryOut(t *term, list []sched.Decision, starts []sched.Start) []sched.Start {
	for _, d := range list {
		switch d := d.(type) {
		case sched.Start:
			starts = append(starts, d)
		case sched.Stop:
			e.stop(t, d)
		case sched.Ask:
			e.ask(t, d)
		case sched.Pace:
			e.pace(t, d)
		}
	}
	return starts
}

// Answer is what the owner says of a job.
type Answer struct {
	State sched.JobState
	Known bool
}

// Owner returns the owner as far as this VM knows.
func (e *Engine) Owner() lead.Holder {
	h, _ := e.cfg.Keeper.Owner()
	return h
}

// call runs f in the loop of a ready owner and waits for it.
func (e *Engine) call(ctx context.Context, f func(t *term)) error {
	done := make(chan bool, 1)
	e.post(func() {
		if e.term == nil || !e.term.ready {
			done <- false
			return
		}
		f(e.term)
		done <- true
	})
	select {
	case ok := <-done:
		if !ok {
			return rcode.New(rcode.NotOwner, "this VM is not the owner")
		}
		return nil
	case <-ctx.Done():
		return rcode.Wrap(ctx.Err(), rcode.NoOwner, "engine.call")
	}
}

// Job returns the state of a job as far as it is stored.
func (e *Engine) Job(ctx context.Context, id string) (Answer, error) {
	var a Answer
	err := e.call(ctx, func(t *term) {
		e.noteFinished(t, t.round+1)
		a.State, a.Known = t.state.Job(id)
		if _, wait := t.unstored[id]; wait {
			a.State = sched.JobRunning
		}
	})
	return a, err
}

// pendingFor is how long the number of jobs that wait is used again.
const pendingFor = 300 * time.Millisecond

func (t *term) pendingNow(now clock.Mono) map[string]int {
	if t.pending == nil || now.Sub(t.pendingAt) > pendingFor {
		t.pending, t.pendingAt = t.state.Pending(), now
	}
	return t.pending
}

// Greeting is a VM's word to the owner.
type Greeting struct {
	From lead.Holder
	// StoreAge is how long ago the store answered the VM.
	StoreAge time.Duration
	// CPUMilli is its processor share in thousandths of a core.
	CPUMilli int64
}

// Welcome is the owner's word to another VM.
type Welcome struct {
	// Owner is who decides, where the VM that answers does not.
	Owner lead.Holder
	// Waiting is, for each queue, how many jobs wait for their first start.
	Waiting map[string]int
	// Members are the addresses of all VMs that the owner heard of, those with the
	// most processor first.
	Members []string
	// Yield asks the other VM to take over, since the store answers it and not the
	// owner.
	Yield bool
}

const (
	// yieldAfter is how long the store has answered the owner nothing when the owner
	// looks for a VM that reaches the store, yieldFresh how recently the store
	// answered that VM.
	yieldAfter = 600 * time.Millisecond
	yieldFresh = 500 * time.Millisecond
	// offerAgain is how long the VM that ownership was offered to has time to take it.
	offerAgain = 800 * time.Millisecond
)

// Hello notes that another VM is there.
func (e *Engine) Hello(ctx context.Context, g Greeting) (Welcome, error) {
	var out Welcome
	err := e.call(ctx, func(t *term) {
		e.greet(g.From, g.CPUMilli)
		out.Waiting = t.pendingNow(e.clk.Now())
		for _, m := range e.byCPU() {
			out.Members = append(out.Members, m.Addr)
		}
		out.Yield = e.offers(t, g)
	})
	return out, err
}

const (
	// strongerBy is how much more processor a VM must have for ownership to move to
	// it when nothing else calls for that.
	strongerBy = 1.5
	// strongShare is the part of the most processor of any VM that a strong one has.
	strongShare = 0.75
	// yieldAny is after how long an owner without the store offers ownership to a
	// weak VM too.
	yieldAny = 2500 * time.Millisecond
	// settledAfter is how long a term has lasted by then.
	settledAfter = 2 * time.Second
)

// strong reports whether a VM is among those with the most processor.
func (e *Engine) strong(cpuMilli int64) bool {
	most := e.cfg.CPUMilli
	for _, m := range e.members {
		most = max(most, m.cpuMilli)
	}
	return float64(cpuMilli) >= strongShare*float64(most)
}

// offers reports whether the VM that greets is asked to take over, because the store
// answers it and not the owner.
func (e *Engine) offers(t *term, g Greeting) bool {
	now := e.clk.Now()
	if g.From.Name == e.cfg.Self.Name || g.StoreAge >= yieldFresh || now.Sub(t.offeredAt) < offerAgain {
		return false
	}
	if e.cfg.StoreAge() <= yieldAfter || !e.cfg.Keeper.Overdue(yieldAfter) ||
		!e.strong(g.CPUMilli) && !e.cfg.Keeper.Overdue(yieldAny) {
		return false
	}
	t.offeredAt = now
	e.log.Warn("ownership offered", zap.String("vm", g.From.Name), zap.Int64("store_age_ms", e.cfg.StoreAge().Milliseconds()))
	return true
}

// resign gives ownership up when another VM has far more processor. The offer to
// one VM would not do: a VM that does not keep up answers too late for it.
func (e *Engine) resign(t *term) {
	if e.clk.Now().Sub(t.begunAt) < settledAfter {
		return
	}
	for _, m := range e.members {
		if float64(m.cpuMilli) >= strongerBy*float64(e.cfg.CPUMilli) && e.clk.Now().Sub(m.heard) < memberFor {
			e.log.Info("ownership left to a VM with more processor", zap.String("vm", m.Name), zap.Int64("cpu_milli", m.cpuMilli))
			e.cfg.Keeper.Resign()
			return
		}
	}
}
