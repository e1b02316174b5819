package owner

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// tickInterval is the time between two checks of the deadlines. It delays a
// promise request or a takeover by at most this time.
const tickInterval = 100 * time.Millisecond

// Config names the shard of an Elector and the VM that it runs on.
type Config struct {
	// DataCentre and Shard name the shard.
	DataCentre string
	Shard      int
	// Incarnation is unique to this process. Addr is its address for peers.
	Incarnation string
	Addr        string
	// Remote is set when this VM is in another data centre than the shard.
	Remote bool
}

// Check returns an error if a required setting is missing or invalid.
func (c Config) Check() error {
	if c.DataCentre == "" || c.Incarnation == "" || c.Addr == "" || c.Shard < 0 {
		return rcode.New(rcode.SettingInvalid, "owner.Config: data centre, incarnation, address and shard are required")
	}
	return nil
}

// Deps holds the dependencies of an Elector. Rand must not be shared with other
// goroutines.
type Deps struct {
	Store      store.Store
	Clock      clock.Clock
	Log        *zap.Logger
	Peers      Peers
	Membership Membership
	Rand       *rand.Rand
}

// Elector takes part, for one VM, in the election of one shard's owner: it renews
// the record as the owner, makes promises as the standby, and takes the shard
// over when it may. Its methods are safe for concurrent use.
type Elector struct {
	cfg       Config
	deps      Deps
	log       *zap.Logger
	shardName string

	storeCalls atomic.Int64
	authority  atomic.Pointer[Authority]
	fence      atomic.Int64

	mu            sync.Mutex
	machine       *stateMachine
	started       bool // whether Serve was ever called
	eventQueue    []Event
	handoverDone  chan error      // receives the result of the handover in progress
	ctx           context.Context // parent of the calls' contexts, nil unless Serve runs
	callsInFlight sync.WaitGroup

	wake   chan struct{} // tells Serve that eventQueue has grown
	events chan Event
}

// New returns an Elector that is idle until Serve runs.
func New(cfg Config, deps Deps) (*Elector, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	e := &Elector{
		cfg: cfg, deps: deps, shardName: shardName(cfg.DataCentre, cfg.Shard),
		wake: make(chan struct{}, 1), events: make(chan Event),
	}
	e.log = deps.Log.With(zap.String("shard", e.shardName))
	self := NewCandidate(cfg.Incarnation, cfg.Addr, false, cfg.Remote)
	e.machine = newStateMachine(self, cfg.DataCentre, cfg.Shard, deps.Rand, deps.Clock.Now())
	e.authority.Store(&Authority{mode: ModeNone})
	return e, nil
}

// Serve runs the election until ctx ends. When it is called again after a
// failure, it first gives up the ownership, because the shard's runtime lost its
// memory.
func (e *Elector) Serve(ctx context.Context) error {
	e.start(ctx)
	defer e.stop()
	e.tick()
	timer := e.deps.Clock.After(tickInterval)
	for {
		head, out := e.nextEvent()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer:
			e.tick()
			timer = e.deps.Clock.After(tickInterval)
		case <-e.wake:
		case out <- head:
			e.dropDeliveredEvent()
		}
	}
}

func (e *Elector) start(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	if e.started {
		e.step(runtimeRestarted{})
	}
	e.started = true
}

// stop waits for the calls in flight, whose contexts have ended too.
func (e *Elector) stop() {
	e.mu.Lock()
	e.ctx = nil
	e.mu.Unlock()
	e.callsInFlight.Wait()
}

// nextEvent returns the oldest undelivered event and the channel to send it on,
// or a nil channel.
func (e *Elector) nextEvent() (Event, chan<- Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.eventQueue) == 0 {
		return nil, nil
	}
	return e.eventQueue[0], e.events
}

func (e *Elector) dropDeliveredEvent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventQueue = e.eventQueue[1:]
}

func (e *Elector) tick() {
	// The membership is read before step reads the clock; see the type tick.
	in := tick{wall: e.deps.Clock.Wall(), candidates: e.deps.Membership.Candidates()}
	if rec, ok := e.Record(); ok {
		for _, i := range []string{rec.owner, rec.standby} {
			if i != "" && e.deps.Membership.Gone(i) {
				in.gone = append(in.gone, i)
			}
		}
	}
	e.apply(in)
}

func (e *Elector) apply(in input) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step(in)
}

// step passes an input to the state machine and performs the returned actions.
// The caller holds mu.
func (e *Elector) step(in input) {
	actions := e.machine.step(e.deps.Clock.Now(), in)
	a := e.machine.authority()
	e.authority.Store(&a)
	e.fence.Store(e.machine.fence())
	for _, act := range actions {
		e.perform(act)
	}
}

func (e *Elector) perform(act action) {
	switch act := act.(type) {
	case commitRecord:
		e.storeCall(func(ctx context.Context) { e.apply(e.executeCommit(ctx, act)) })
	case readRecord:
		e.storeCall(func(ctx context.Context) { e.apply(e.executeRead(ctx, act)) })
	case sendPromiseRequest:
		e.goWithTimeout(func(ctx context.Context) {
			r, err := e.deps.Peers.Promise(ctx, act.addr, e.shardName, act.req)
			e.apply(promiseResult{seq: act.req.Seq, reply: r, ok: err == nil, mayBeDelivered: !rcode.Of(err).NotRun()})
		})
	case sendReleaseRequest:
		e.goWithTimeout(func(ctx context.Context) {
			r, err := e.deps.Peers.Release(ctx, act.addr, e.shardName, act.req)
			if act.req.Yield {
				e.apply(yieldResult{seq: act.req.Seq, reply: r, ok: err == nil})
				return
			}
			e.apply(releaseResult{seq: act.req.Seq, reply: r, ok: err == nil})
		})
	case sendConsentRequest:
		e.goWithTimeout(func(ctx context.Context) {
			r, err := e.deps.Peers.Consent(ctx, act.addr, e.shardName, act.req)
			e.apply(consentResult{rev: act.req.Revision, reply: r, ok: err == nil})
		})
	case emitEvent:
		e.eventQueue = append(e.eventQueue, act.event)
		select {
		case e.wake <- struct{}{}:
		default:
		}
	case handoverEnded:
		if e.handoverDone != nil {
			e.handoverDone <- act.err
			e.handoverDone = nil
		}
	case logLine:
		e.log.Info(act.text, zap.Int64("epoch", act.rec.epoch), zap.String("owner", act.rec.owner),
			zap.String("standby", act.rec.standby))
	}
}

// goWithTimeout runs fn in a goroutine with a deadline. The caller holds mu, so
// Serve cannot end between the check of ctx and the start.
func (e *Elector) goWithTimeout(fn func(context.Context)) {
	if e.ctx == nil {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, CallTimeout)
	e.callsInFlight.Add(1)
	go func() {
		defer e.callsInFlight.Done()
		defer cancel()
		fn(ctx)
	}()
}

func (e *Elector) storeCall(fn func(context.Context)) {
	if e.ctx != nil {
		e.storeCalls.Add(1)
	}
	e.goWithTimeout(fn)
}

func (e *Elector) executeCommit(ctx context.Context, act commitRecord) input {
	res, err := e.deps.Store.Commit(ctx, act.txn)
	in := writeResult{id: act.id, rev: res.Revision(), outcome: outcomeRefused}
	switch {
	case err != nil && rcode.Of(err).NotRun():
		in.outcome = outcomeUnsent
	case err != nil:
		in.outcome = outcomeUnknown
	case res.Succeeded():
		in.outcome = outcomeDone
	}
	if err != nil {
		e.log.Warn("failed to write ownership record", logs.Err(err)...)
	}
	return in
}

func (e *Elector) executeRead(ctx context.Context, act readRecord) input {
	kv, err := e.deps.Store.Get(ctx, RecordKey(e.cfg.DataCentre, e.cfg.Shard))
	if rcode.Is(err, rcode.NotFound) {
		return readResult{id: act.id, ok: true}
	}
	if err != nil {
		e.log.Warn("failed to read ownership record", logs.Err(err)...)
		return readResult{id: act.id}
	}
	rec, err := ParseRecord(kv)
	if err != nil {
		e.log.Error("failed to decode ownership record", logs.Err(err)...)
		return readResult{id: act.id}
	}
	return readResult{id: act.id, ok: true, found: true, rec: rec, rev: kv.ModRevision()}
}

// Authority returns the current right to start work. It takes no lock.
func (e *Elector) Authority() Authority { return *e.authority.Load() }

// Fence returns the revision of the epoch key, which writes of jobs must compare,
// or 0 while this VM is not the recorded owner.
func (e *Elector) Fence() int64 { return e.fence.Load() }

// StoreCalls returns the number of store calls made so far.
func (e *Elector) StoreCalls() int64 { return e.storeCalls.Load() }

// Events returns the channel of ownership changes, which are sent in order while
// Serve runs.
func (e *Elector) Events() <-chan Event { return e.events }

// Record returns the latest known record, or false if none is known.
func (e *Elector) Record() (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.rec, e.machine.rev > 0
}

// Observe processes a record received from the watch of all shards.
func (e *Elector) Observe(kv store.KV) {
	rec, err := ParseRecord(kv)
	if err != nil {
		e.log.Error("failed to decode ownership record", logs.Err(err)...)
		return
	}
	e.apply(recordObserved{rec: rec, rev: kv.ModRevision()})
}

// Promise handles an owner's promise request.
func (e *Elector) Promise(req PromiseRequest) PromiseReply {
	var r PromiseReply
	e.apply(promiseReceived{req: req, reply: &r})
	return r
}

// Release handles an owner's release or an acting standby's request to yield.
func (e *Elector) Release(req ReleaseRequest) ReleaseReply {
	var r ReleaseReply
	e.apply(releaseReceived{req: req, reply: &r})
	return r
}

// Consent handles the request of a VM that wants to take the shard over.
func (e *Elector) Consent(req ConsentRequest) ConsentReply {
	var r ConsentReply
	e.apply(consentReceived{req: req, reply: &r})
	return r
}

// Handover hands the shard over to a candidate. This VM's authority ends when the
// write is sent, so the caller must have no start in flight between its check of
// the authority and the worker's confirmation: the worker would execute it after
// the new owner's first start. If ctx ends after the write was sent, the outcome
// is unknown and shows in the events.
func (e *Elector) Handover(ctx context.Context, to Candidate) error {
	done := make(chan error, 1)
	e.mu.Lock()
	if e.handoverDone != nil {
		e.mu.Unlock()
		return rcode.New(rcode.Conflict, "owner.Handover: another handover is in progress")
	}
	e.handoverDone = done
	e.step(startHandover{to: to})
	e.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.step(cancelHandover{})
	if e.handoverDone == done {
		e.handoverDone = nil
	}
	return rcode.Wrap(ctx.Err(), rcode.OutcomeUnknown, "owner.Handover")
}
