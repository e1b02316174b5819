package engine

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

// storedState is the state that a new owner reads from the store.
type storedState struct {
	jobs       []*graph.Job
	cancels    []string
	inboxRev   int64
	segments   []events.Segment
	workers    []store.KV
	workersRev int64
	// workersReadAt is when the list of workers was requested.
	workersReadAt clock.Mono
	waves         []store.KV
}

const (
	loadRetryDelay  = 100 * time.Millisecond
	watchRetryDelay = 100 * time.Millisecond
	// maxWorkerListAge is the age of the list of workers from which a new owner reads it
	// again before it decides. Loading a large state takes seconds, in which workers may
	// have reported their shutdown.
	maxWorkerListAge = 500 * time.Millisecond
)

// beginTerm starts a term and loads its state. Until the state is loaded the owner
// makes no decisions.
func (e *Engine) beginTerm(lt lead.Term) {
	ctx, cancel := context.WithCancel(e.ctx)
	t := &term{
		Term: lt, begunAt: e.clk.Now(), ctx: ctx, cancel: cancel, workers: make(map[string]*workerConn),
		raisedTokens: make(map[string]int64), unstoredJobs: make(map[string]int64), endWaits: make(map[string]chan struct{}), compactor: newCompactor(),
		writer: events.NewWriter(e.cfg.Store, lead.TermKey, lt.Epoch(), lt.Token(), e.clk, e.log),
	}
	t.state = sched.New(sched.Config{
		StartTTL:        maxStartDelay,
		ReserveAdviser:  e.reserveAdviser,
		MaxStopDuration: e.cfg.MaxStopTime,
		PastUseHalfLife: e.cfg.PastUseHalfLife,

		AvoidSlowWorkers: e.cfg.AvoidSlowWorkers,
		FormerLeaseTTL:   e.formerLeaseTTL(lt),
		MaxLease:         e.maxLeaseOnWorker(),
		LeaseCap:         e.leaseCap(),
	})
	e.term = t
	e.greetMembers(t)
	e.readPastUse(t)
	loadStarted := e.clk.Now()
	go func() {
		for ctx.Err() == nil {
			var loaded storedState
			err := e.guarded("load", func() (err error) {
				loaded, err = e.load(ctx)
				return err
			})
			if err != nil {
				e.log.Warn("failed to load state, retrying", logs.Err(err)...)
				<-e.clk.After(loadRetryDelay)
				continue
			}
			e.post(func() { e.applyLoaded(t, loaded, e.clk.Now().Sub(loadStarted)) })
			return
		}
	}()
}

// formerLeaseTTL returns how long after the takeover leases that former owners extended may last. If
// these have ended, only orders that were under way then extend leases.
func (e *Engine) formerLeaseTTL(lt lead.Term) time.Duration {
	if lt.FormersEnded() {
		return max(e.maxLeaseOnWorker(), sched.MaxOrderTime+e.leaseCap())
	}
	return max(lead.LeaseAuthorityDuration+e.maxLeaseOnWorker(), sched.FenceTTL+e.leaseCap())
}

// maxLeaseOnWorker returns how long a lease may last, measured on this VM's clock, if
// the worker's clock runs slow.
func (e *Engine) maxLeaseOnWorker() time.Duration {
	return time.Duration(float64(e.cfg.Lease)*(1+maxClockDrift)) + messageDelaySlack
}

// leaseCap returns how long a lease may last, measured on this VM's clock, if an order asks for
// longer than the platform allows.
func (e *Engine) leaseCap() time.Duration {
	return time.Duration(float64(e.cfg.LeaseCap) * (1 + maxClockDrift))
}

// load reads the state from the store. It lists the prefixes concurrently, because a
// new owner makes no decisions before it has all of them.
func (e *Engine) load(ctx context.Context) (storedState, error) {
	var loaded storedState
	group, ctx := errgroup.WithContext(ctx)
	read := func(f func() error) { group.Go(func() error { return e.guarded("load", f) }) }
	loaded.workersReadAt = e.clk.Now()
	read(func() (err error) {
		loaded.workers, loaded.workersRev, err = e.cfg.Store.List(ctx, e.cfg.WorkerPrefix)
		return rcode.Wrap(err, rcode.Of(err), "engine.load workers")
	})
	read(func() (err error) {
		loaded.segments, err = events.Load(ctx, e.cfg.Store)
		return rcode.Wrap(err, rcode.Of(err), "engine.load")
	})
	read(func() error { return e.loadJobs(ctx, &loaded) })
	if e.cfg.Fleet != nil {
		read(func() (err error) {
			loaded.waves, _, err = e.cfg.Store.List(ctx, WavePrefix)
			return rcode.Wrap(err, rcode.Of(err), "engine.load waves")
		})
	}
	return loaded, group.Wait()
}

// loadJobs reads accepted jobs and their cancellations.
func (e *Engine) loadJobs(ctx context.Context, loaded *storedState) error {
	kvs, rev, err := e.cfg.Store.List(ctx, InboxPrefix)
	if err != nil {
		return rcode.Wrap(err, rcode.Of(err), "engine.load jobs")
	}
	loaded.inboxRev = rev
	for _, kv := range kvs {
		if id, ok := strings.CutPrefix(kv.Key(), CancelPrefix); ok {
			loaded.cancels = append(loaded.cancels, id)
			continue
		}
		job, err := graph.Decode(kv.Value())
		if err != nil {
			e.log.Error("failed to decode stored job", append(logs.Err(err), zap.String("key", kv.Key()))...)
			continue
		}
		loaded.jobs = append(loaded.jobs, job)
	}
	return nil
}

// applyLoaded builds the scheduler's state from the stored state and starts the
// watches.
func (e *Engine) applyLoaded(t *term, loaded storedState, took time.Duration) {
	if e.term != t {
		return
	}
	now := e.clk.Now()
	t.state.SetNow(now, e.clk.Wall().UnixMilli())
	t.state.SetOutOfService(e.outOfService)
	if e.ruleSet != nil {
		t.state.SetRules(e.ruleSet)
	}
	t.state.RestoreJobs(loaded.jobs)
	var list []events.Event
	for _, seg := range loaded.segments {
		list = append(list, seg.Events...)
	}
	t.state.Replay(list)
	for _, seg := range loaded.segments {
		t.compactor.addSegment(seg.Key, seg.Events, t.state.Compacted)
	}
	for _, j := range loaded.jobs {
		if j.FinalState != "" {
			t.compactor.expiring = append(t.compactor.expiring, expiringJob{id: j.ID, at: now.Add(e.cfg.StatusRetention + retentionSlack)})
		}
	}
	t.state.RestoreLeases(sched.LatestLeaseNote(loaded.segments, t.LeaseNotesSince(), t.Epoch()))
	t.state.FinishRecovery(t.begunAt)
	for _, id := range loaded.cancels {
		t.state.Cancel(id)
	}
	t.ready, t.dirty = true, true
	e.initMaintenance(t, loaded.waves)
	e.applyWorkerList(t, loaded.workers)
	e.pollIdleWorkers()
	e.log.Info("term started", zap.Int64("epoch", t.Epoch()), zap.Int("jobs", len(loaded.jobs)), zap.Int("segments", len(loaded.segments)),
		zap.Int("events", len(list)), zap.Int("runs", t.state.Running()), zap.Int("workers", len(loaded.workers)), zap.Int("noted", t.state.HeldLeases()),
		zap.Int64("took_ms", took.Milliseconds()))
	go e.watch(t, InboxPrefix, loaded.inboxRev, e.applyJobChange, func(kvs []store.KV) {
		for _, kv := range kvs {
			e.applyJobChange(t, store.NewChange(kv, false))
		}
	})
	if e.clk.Now().Sub(loaded.workersReadAt) <= maxWorkerListAge {
		e.watchWorkers(t, loaded.workersRev)
		return
	}
	t.workersOutdated = true
	go e.readWorkersAgain(t)
}

// watchWorkers watches the list of workers from after a revision.
func (e *Engine) watchWorkers(t *term, rev int64) {
	go e.watch(t, e.cfg.WorkerPrefix, rev, e.applyWorkerChange, func(kvs []store.KV) { e.applyWorkerList(t, kvs) })
}

// readWorkersAgain replaces the list of workers by a new one, from which it is watched.
func (e *Engine) readWorkersAgain(t *term) {
	for t.ctx.Err() == nil {
		var kvs []store.KV
		var rev int64
		err := e.guarded("load", func() (err error) {
			kvs, rev, err = e.cfg.Store.List(t.ctx, e.cfg.WorkerPrefix)
			return err
		})
		if err != nil {
			e.log.Warn("failed to list workers again, retrying", logs.Err(err)...)
			<-e.clk.After(loadRetryDelay)
			continue
		}
		e.post(func() {
			if e.term != t {
				return
			}
			e.applyWorkerList(t, kvs)
			t.workersOutdated, t.dirty = false, true
			e.watchWorkers(t, rev)
		})
		return
	}
}

// watch passes on the changes below a prefix after a revision until the term ends. If the store
// has compacted the revisions from which the watch would go on, it lists the prefix again.
func (e *Engine) watch(t *term, prefix string, rev int64, onChange func(*term, store.Change), onList func([]store.KV)) {
	next := rev + 1
	for t.ctx.Err() == nil {
		err := e.guarded("watch", func() (err error) {
			next, err = e.cfg.Store.Watch(t.ctx, prefix, next, func(c store.Change) {
				e.post(func() {
					if e.term == t {
						onChange(t, c)
					}
				})
			})
			return err
		})
		if t.ctx.Err() != nil {
			return
		}
		if rcode.Of(err) != rcode.NotFound {
			<-e.clk.After(watchRetryDelay)
			continue
		}
		e.log.Warn("watch history compacted, listing again", zap.String("prefix", prefix), zap.Int64("from", next))
		kvs, rev, err := e.cfg.Store.List(t.ctx, prefix)
		if err != nil {
			<-e.clk.After(watchRetryDelay)
			continue
		}
		next = rev + 1
		e.post(func() {
			if e.term == t {
				onList(kvs)
				t.dirty = true
			}
		})
	}
}

// Deliver applies a job or cancellation that another VM has stored, before the store's
// watch reports it. It fails with rcode.NotOwner if this VM is not the owner, and with
// rcode.BadRequest if the key is that of neither.
func (e *Engine) Deliver(ctx context.Context, key string, value []byte) error {
	if _, ok := InboxID(key); !ok {
		return rcode.New(rcode.BadRequest, "engine.Deliver: the key is that of neither a job nor a cancellation")
	}
	return e.call(ctx, func(t *term) { e.applyJobChange(t, store.NewChange(store.NewKV(key, value, 0), false)) })
}

// applyJobChange applies an accepted job or a cancellation.
func (e *Engine) applyJobChange(t *term, c store.Change) {
	if c.Deleted() {
		return
	}
	key := c.KV().Key()
	t.state.SetNow(e.clk.Now(), e.clk.Wall().UnixMilli())
	if id, ok := strings.CutPrefix(key, CancelPrefix); ok {
		t.state.Cancel(id)
		t.dirty = true
		return
	}
	job, err := graph.Decode(c.KV().Value())
	if err != nil {
		e.log.Error("failed to decode stored job", append(logs.Err(err), zap.String("key", key))...)
		return
	}
	t.state.AddJob(job)
	t.dirty = true
}

// applyWorkerChange applies a change of an entry in the platform's list of workers.
func (e *Engine) applyWorkerChange(t *term, c store.Change) {
	id := strings.TrimPrefix(c.KV().Key(), e.cfg.WorkerPrefix)
	if c.Deleted() {
		e.dropWorker(t, id)
		return
	}
	e.putWorker(t, id, c.KV().Value())
}

// putWorker adds or updates a listed worker and polls it.
func (e *Engine) putWorker(t *term, id string, value []byte) {
	spec, ok := e.parseWorker(id, value)
	if !ok {
		e.log.Warn("invalid worker entry", zap.String("worker", id))
		e.dropWorker(t, id)
		return
	}
	t.state.PutWorker(spec)
	c := t.workers[id]
	if c == nil {
		c = &workerConn{id: id}
		t.workers[id] = c
		e.log.Info("worker listed", zap.String("worker", id), zap.String("addr", spec.Addr), zap.Bool("draining", spec.Draining))
	}
	if c.addr != spec.Addr || spec.BootUnixMS != 0 && c.bootUnixMS != 0 && spec.BootUnixMS != c.bootUnixMS {
		c.addr = spec.Addr
		c.forgetIncarnation(e.clk.Now())
	}
	c.listed = true
	t.dirty = true
	e.poll(t, c)
}

// parseWorker decodes a worker's entry. An entry that causes a panic describes no worker.
func (e *Engine) parseWorker(id string, value []byte) (spec sched.WorkerSpec, ok bool) {
	err := e.guarded("worker entry", func() error {
		spec, ok = e.cfg.ParseWorker(id, value, e.clk.Now())
		return nil
	})
	return spec, ok && err == nil
}

// dropWorker handles the removal of a worker from the list. Its connection state stays
// until the scheduler forgets the worker.
func (e *Engine) dropWorker(t *term, id string) {
	if c := t.workers[id]; c != nil && c.listed {
		c.listed = false
		e.log.Info("worker no longer listed", zap.String("worker", id))
	}
	t.state.SetNow(e.clk.Now(), e.clk.Wall().UnixMilli())
	t.state.DelistWorker(id)
	t.dirty = true
}

// applyWorkerList applies the complete list of workers.
func (e *Engine) applyWorkerList(t *term, kvs []store.KV) {
	listed := make(map[string]bool, len(kvs))
	for _, kv := range kvs {
		id := strings.TrimPrefix(kv.Key(), e.cfg.WorkerPrefix)
		listed[id] = true
		e.putWorker(t, id, kv.Value())
	}
	for id, c := range t.workers {
		if c.listed && !listed[id] {
			e.dropWorker(t, id)
		}
	}
}
