// Package accept is the callers' side of a VM where one VM decides for all
// workers: it checks a call against the configuration in force, stores accepted
// and cancelled jobs, and reads their states.
//
// # Usage
//
//	d := accept.New(accept.Config{...}, clk, log)
//	code := d.Submit(ctx, accept.Call{Host: host, Path: path, Key: key}, func(id string) (*graph.Job, error) { ... })
//	state, code := d.State(ctx, call)
//
// A job is accepted once its record is stored. The record's key holds the job's
// id and is only ever created, so the same job sent again stays one job.
package accept

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/engine"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

// Owner answers for the VM that decides.
type Owner interface {
	Job(ctx context.Context, id string) (engine.Answer, error)
	Hello(ctx context.Context, g engine.Greeting) (engine.Welcome, error)
}

// Remote reaches other VMs.
type Remote interface {
	Job(ctx context.Context, addr, id string) (engine.Answer, error)
	Hello(ctx context.Context, addr string, g engine.Greeting) (engine.Welcome, error)
	Create(ctx context.Context, addr, key string, value []byte) rcode.Code
}

// Config are the settings of a Desk.
type Config struct {
	Self    lead.Holder
	Store   store.Store
	Keeper  *lead.Keeper
	Local   Owner
	Remote  Remote
	Metrics *stats.Metrics
	// CPUMilli is this VM's processor share in thousandths of a core.
	CPUMilli int64
	// StoreAge returns the time since the store answered this VM last.
	StoreAge func() time.Duration
}

// Call is one call of a client.
type Call struct {
	Host, Path, Key string
}

// Desk serves callers. It is safe for concurrent use.
type Desk struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	set     atomic.Pointer[rules.Set]
	welcome atomic.Pointer[welcome]
	// known are addresses of other VMs, kept when the owner is out of reach; hint is
	// the owner by another VM's word.
	mu    sync.Mutex
	known []string
	hint  lead.Holder
	// answered and failed are when the store last answered and last did not.
	answered, failed atomic.Int64
}

// welcome is what the owner said last.
type welcome struct {
	engine.Welcome
	at clock.Mono
}

// New returns a desk that refuses everything before SetRules.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Desk {
	return &Desk{cfg: cfg, clk: clk, log: log}
}

// SetRules puts a version of the configuration in force.
func (d *Desk) SetRules(set *rules.Set) {
	d.set.Store(set)
	d.cfg.Metrics.SetNames(set.Names())
}

// Rules returns the configuration in force, or nil.
func (d *Desk) Rules() *rules.Set { return d.set.Load() }

// admit finds the queue and account of a call.
func (d *Desk) admit(c Call) (*rules.Queue, string, rcode.Code) {
	set := d.set.Load()
	if set == nil {
		return nil, "", rcode.NoPolicy
	}
	q, ok := set.Match(c.Host, c.Path)
	if !ok {
		return nil, "", rcode.QueueUnknown
	}
	team, known := set.TeamOf(c.Key)
	if !known && !q.Public {
		return q, "", rcode.KeyMissing
	}
	return q, team, rcode.OK
}

// note counts a response and, where it is a refusal, writes why.
func (d *Desk) note(call string, q *rules.Queue, team string, c Call, code rcode.Code, began clock.Mono) {
	name := ""
	if q != nil {
		name = q.Name
	}
	took := d.clk.Now().Sub(began)
	d.cfg.Metrics.Call(call, name, team, code, took)
	if code == rcode.OK || code == rcode.JobUnknown {
		return
	}
	version := int64(0)
	if set := d.set.Load(); set != nil {
		version = set.Version()
	}
	d.log.Info("call refused", zap.String("call", call), zap.String("path", c.Path), zap.String("queue", name), zap.String("team", team),
		zap.String("code", string(code)), zap.Int64("rules", version), zap.Int64("took_ms", took.Milliseconds()),
		zap.Int64("store_age_ms", d.cfg.StoreAge().Milliseconds()))
}

const (
	storeTimeout = 700 * time.Millisecond
	retryPause   = 50 * time.Millisecond
	// avoidFor is how long after a failure this VM's own way to the store is not
	// tried first.
	avoidFor = 400 * time.Millisecond
	// uncertainFor is how long a write that may have taken effect is tried again.
	uncertainFor = time.Second
	// existsTries bounds the reads that tell whether a job is stored.
	existsTries = 2
	// createTries bounds the VMs that are asked to write for this one.
	createTries = 2
	peerTimeout = 600 * time.Millisecond
)

// Submit accepts a job. build makes the job for the id in the call's path.
func (d *Desk) Submit(ctx context.Context, c Call, build func(id string) (*graph.Job, error)) (code rcode.Code) {
	began := d.clk.Now()
	q, team, code := d.admit(c)
	defer func() { d.note("submit", q, team, c, code, began) }()
	if code != rcode.OK {
		return code
	}
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return rcode.QueueUnknown
	}
	job, err := build(id)
	if err != nil {
		return rcode.BadRequest
	}
	job.ID, job.Team, job.Queue, job.AcceptedUnixMS = id, team, q.Name, d.clk.Wall().UnixMilli()
	if err := job.Check(); err != nil {
		d.log.Info("job rejected", zap.String("id", id), zap.String("queue", q.Name), zap.String("error", err.Error()))
		return rcode.BadRequest
	}
	raw, err := job.Encode()
	if err != nil {
		return rcode.Internal
	}
	code = d.create(ctx, engine.JobPrefix+id, raw, rcode.AcceptUnknown)
	d.log.Info("job submitted", zap.String("id", id), zap.String("queue", q.Name), zap.String("team", team),
		zap.Int64("rules", d.set.Load().Version()), zap.String("code", string(code)),
		zap.Int64("took_ms", d.clk.Now().Sub(began).Milliseconds()))
	return code
}

// create stores a key unless it exists already: over this VM's own way to the
// store, or by another VM when the store does not answer this one. When nothing can
// have been written it does not wait for the store to come back: the caller is told
// at once, and may go elsewhere. When a write may have taken effect it tries for
// uncertainFor to find out, since "not accepted" would be untrue; an outcome that
// stays unknown is answered with the code given.
func (d *Desk) create(ctx context.Context, key string, raw []byte, unknown rcode.Code) rcode.Code {
	maybe := false
	end := d.clk.Now().Add(uncertainFor)
	for {
		code := d.createAnywhere(ctx, key, raw)
		maybe = maybe || code == rcode.OutcomeUnknown
		switch {
		case code == rcode.OK:
			return rcode.OK
		case !maybe:
			return rcode.StoreUnavailable
		case ctx.Err() != nil || d.clk.Now() >= end:
			return unknown
		}
		select {
		case <-d.clk.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// createAnywhere tries each way to the store once.
func (d *Desk) createAnywhere(ctx context.Context, key string, raw []byte) rcode.Code {
	worst := rcode.StoreUnavailable
	if !d.avoiding() {
		switch d.Create(ctx, key, raw) {
		case rcode.OK:
			return rcode.OK
		case rcode.OutcomeUnknown:
			worst = rcode.OutcomeUnknown
		default:
		}
	}
	for _, addr := range d.others() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		code := d.cfg.Remote.Create(call, addr, key, raw)
		cancel()
		switch code {
		case rcode.OK:
			return rcode.OK
		case rcode.OutcomeUnknown:
			worst = rcode.OutcomeUnknown
		default:
		}
	}
	return worst
}

// Create stores a key unless it exists already, over this VM's own way to the
// store. It returns rcode.OutcomeUnknown when the write may still take effect.
func (d *Desk) Create(ctx context.Context, key string, raw []byte) rcode.Code {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := d.cfg.Store.Commit(call, store.NewTxn().If(key, 0).Put(key, raw))
	switch {
	case err == nil:
		d.answered.Store(int64(d.clk.Now()))
		return rcode.OK
	case rcode.Of(err) == rcode.StoreUnavailable:
		d.failed.Store(int64(d.clk.Now()))
		return rcode.StoreUnavailable
	default:
		d.failed.Store(int64(d.clk.Now()))
		return rcode.OutcomeUnknown
	}
}

// avoiding reports whether the store did not answer this VM a moment ago.
func (d *Desk) avoiding() bool {
	failed := d.failed.Load()
	return failed > d.answered.Load() && d.clk.Now().Sub(clock.Mono(failed)) < avoidFor
}

// others returns addresses of VMs that may reach the store, the owner first.
func (d *Desk) others() []string {
	owner, _ := d.cfg.Keeper.Owner()
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, createTries)
	for _, a := range []string{d.hint.Addr, owner.Addr} {
		if a != "" && a != d.cfg.Self.Addr && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, i := range rand.Perm(len(d.known)) {
		if a := d.known[i]; a != d.cfg.Self.Addr && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out[:min(len(out), createTries)]
}

// knownMost bounds the addresses kept of VMs that may be gone.
const knownMost = 64

// Learn keeps the addresses of other VMs.
func (d *Desk) Learn(addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range addrs {
		if i := slices.Index(d.known, a); i >= 0 {
			d.known = slices.Delete(d.known, i, i+1)
		}
		d.known = append(d.known, a)
	}
	d.known = slices.Delete(d.known, 0, max(0, len(d.known)-knownMost))
}

// Delay returns how long this VM lets VMs with more processor go first when the
// owner is lost.
func (d *Desk) Delay() time.Duration {
	w := d.welcome.Load()
	if w == nil {
		if d.cfg.CPUMilli < weakMilli {
			return candidateDelay
		}
		return 0
	}
	if i := slices.Index(w.Members, d.cfg.Self.Addr); i >= firstCandidates {
		return candidateDelay
	}
	return 0
}

const (
	firstCandidates = 6
	candidateDelay  = 500 * time.Millisecond
	// weakMilli is the processor share under which a VM that knows of no others yet
	// takes them to be stronger.
	weakMilli = 300
)

// exists reports whether a job is stored.
func (d *Desk) exists(ctx context.Context, id string) (bool, rcode.Code) {
	for range existsTries {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := d.cfg.Store.Get(call, engine.JobPrefix+id)
		cancel()
		switch {
		case err == nil:
			return true, rcode.OK
		case rcode.Of(err) == rcode.NotFound:
			return false, rcode.OK
		}
		select {
		case <-d.clk.After(retryPause):
		case <-ctx.Done():
			return false, rcode.StoreUnavailable
		}
	}
	return false, rcode.StoreUnavailable
}

// knows reports whether there is a job, by the owner's word or by the store's.
func (d *Desk) knows(ctx context.Context, id string) (bool, rcode.Code) {
	call, cancel := context.WithTimeout(ctx, ownerPatience)
	a, err := d.askOwner(call, id)
	cancel()
	if err == nil && a.Known {
		return true, rcode.OK
	}
	return d.exists(ctx, id)
}

// Cancel cancels a job. A job that is complete stays so.
func (d *Desk) Cancel(ctx context.Context, c Call) (code rcode.Code) {
	began := d.clk.Now()
	q, team, code := d.admit(c)
	defer func() { d.note("cancel", q, team, c, code, began) }()
	if code != rcode.OK {
		return code
	}
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return rcode.JobUnknown
	}
	ok, code := d.knows(ctx, id)
	if code != rcode.OK {
		return code
	}
	if !ok {
		return rcode.JobUnknown
	}
	code = d.create(ctx, engine.CancelPrefix+id, []byte("{}"), rcode.OutcomeUnknown)
	d.log.Info("job cancelled", zap.String("id", id), zap.String("code", string(code)))
	return code
}

// ownerPatience is how long one call to the owner may take.
const ownerPatience = 400 * time.Millisecond

// State returns a job's state.
func (d *Desk) State(ctx context.Context, c Call) (state sched.JobState, code rcode.Code) {
	began := d.clk.Now()
	q, team, code := d.admit(c)
	defer func() { d.note("state", q, team, c, code, began) }()
	if code != rcode.OK {
		return "", code
	}
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return "", rcode.JobUnknown
	}
	a, err := d.askOwner(ctx, id)
	if err == nil && a.Known {
		return a.State, rcode.OK
	}
	ok, code := d.exists(ctx, id)
	switch {
	case code != rcode.OK:
		return "", code
	case !ok:
		return "", rcode.JobUnknown
	case err == nil:
		return sched.JobQueued, rcode.OK
	default:
		return "", rcode.NoOwner
	}
}

// askOwner asks the owner, wherever it is now.
func (d *Desk) askOwner(ctx context.Context, id string) (engine.Answer, error) {
	err := error(rcode.New(rcode.NoOwner, "no owner is known"))
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, ownerPatience)
		var a engine.Answer
		if _, self := d.cfg.Keeper.Authority(); self {
			a, err = d.cfg.Local.Job(call, id)
		} else if owner, ok := d.owner(); ok {
			a, err = d.cfg.Remote.Job(call, owner.Addr, id)
		}
		cancel()
		if err == nil {
			return a, nil
		}
		select {
		case <-d.clk.After(retryPause):
		case <-ctx.Done():
		}
	}
	return engine.Answer{}, err
}

// hintAfter is how long the store has not answered this VM when another VM's word
// on the owner counts more than the record read last.
const hintAfter = time.Second

// owner returns the VM to ask: the owner by the record, or by another VM's word
// while this VM does not see the record change.
func (d *Desk) owner() (lead.Holder, bool) {
	d.mu.Lock()
	hint := d.hint
	d.mu.Unlock()
	if hint.Addr != "" && hint.Addr != d.cfg.Self.Addr && d.cfg.StoreAge() > hintAfter {
		return hint, true
	}
	h, ok := d.cfg.Keeper.Owner()
	return h, ok && h.Addr != d.cfg.Self.Addr
}

// waitingFor is how old the owner's word on waiting jobs may be.
const waitingFor = 2 * time.Second

// Pending returns the number of a queue's jobs of which no task has started.
func (d *Desk) Pending(c Call) (int, rcode.Code) {
	q, _, code := d.admit(c)
	if code != rcode.OK {
		return 0, code
	}
	if c.Path != q.Prefix {
		return 0, rcode.QueueUnknown
	}
	w := d.welcome.Load()
	if w == nil || d.clk.Now().Sub(w.at) > waitingFor {
		return 0, rcode.NoOwner
	}
	return w.Waiting[q.Name], rcode.OK
}

// helloEvery is the time between two words to the owner.
const helloEvery = 300 * time.Millisecond

// Run tells the owner that this VM is there, until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.hello(ctx)
		select {
		case <-d.clk.After(helloEvery):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (d *Desk) hello(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownerPatience)
	defer cancel()
	sent := d.clk.Now()
	g := engine.Greeting{From: d.cfg.Self, StoreAge: d.cfg.StoreAge(), CPUMilli: d.cfg.CPUMilli}
	var w engine.Welcome
	var err error
	owner, known := d.owner()
	switch _, self := d.cfg.Keeper.Authority(); {
	case self:
		d.setHint(lead.Holder{})
		w, err = d.cfg.Local.Hello(ctx, g)
	case known:
		w, err = d.cfg.Remote.Hello(ctx, owner.Addr, g)
	default:
		err = rcode.New(rcode.NoOwner, "no owner is known")
	}
	if err != nil {
		d.seek(w.Owner, g)
		return
	}
	d.welcome.Store(&welcome{Welcome: w, at: sent})
	d.Learn(w.Members)
	if w.Yield {
		d.cfg.Keeper.Offered(owner)
	}
}

func (d *Desk) setHint(h lead.Holder) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.Addr != d.hint.Addr && h.Addr != "" {
		d.log.Info("owner known by another VM's word", zap.String("owner", h.Name), zap.String("addr", h.Addr))
	}
	d.hint = h
}

// seek asks another VM who the owner is, after the one known here did not answer
// as the owner. told is its own word on that.
func (d *Desk) seek(told lead.Holder, g engine.Greeting) {
	d.setHint(lead.Holder{})
	if told.Addr != "" && told.Addr != d.cfg.Self.Addr {
		d.setHint(told)
		return
	}
	others := d.others()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerPatience)
	defer cancel()
	addr := others[len(others)-1]
	w, err := d.cfg.Remote.Hello(ctx, addr, g)
	switch {
	case err == nil:
		d.setHint(lead.Holder{Addr: addr})
	case w.Owner.Addr != "":
		d.setHint(w.Owner)
	}
}
