// Package cell runs one shard on the VM that owns it. It connects the
// ownership, the job records, placement, limits, the workers and the request
// path.
//
// # Usage
//
//	c, err := cell.New(cfg, deps, epoch, cause)
//	go c.Serve(ctx) // until the ownership is lost
//	rec, err := c.Submit(ctx, record)
//	resp, err := c.Do(ctx, request)
//
// A Cell exists for the duration of one ownership. It is discarded when the
// ownership is lost. The next owner creates a new Cell, which recovers its
// state from the store and from the workers' task lists.
package cell

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/agent"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/meter"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/place"
	"limpethitch.example/entry/quota"
	"limpethitch.example/entry/route"
)

const (
	// TaskLease is how long a task may run after the last renewal of its lease.
	// It is longer than a takeover of the shard, so that tasks run on through
	// one.
	TaskLease = 20 * time.Second
	// MaxClockSkew is the largest assumed difference between the wall clocks of
	// two VMs.
	MaxClockSkew = 500 * time.Millisecond
	// renewInterval is the time between two lease renewals of a worker.
	renewInterval = 2 * time.Second
	// startTimeout limits one call that starts or stops a task.
	startTimeout = time.Second
	// decideInterval is the longest time between two rounds of placement
	// decisions. It limits the delay of work for which there is no wakeup.
	decideInterval = 50 * time.Millisecond
	// maxDecisionBatch limits the decisions made while the lock is held, so
	// that it is held for milliseconds only.
	maxDecisionBatch = 256
	// maintenanceInterval is the time between two checks of limits, deadlines
	// and finished jobs.
	maintenanceInterval = 500 * time.Millisecond
	// remotePollInterval is the time between two polls of delegated jobs.
	remotePollInterval = time.Second
)

// RemoteShards is the interface to other shards.
type RemoteShards interface {
	// Pick returns a shard other than exclude that has free capacity for a job.
	Pick(size amount.Vec, members int, gang bool, exclude string) (string, bool)
	// Offer offers members of a job to a shard. An error with a NotRun code
	// means that the shard certainly did not accept them.
	Offer(ctx context.Context, shard, home string, rec *jobs.Record, members []int, startBy time.Time) error
	// Poll returns the states of a job's members on a shard. stop and ack are
	// explained at Cell.PollMembers.
	Poll(ctx context.Context, shard, home, job string, members []int, stop, ack bool) (map[int]MemberState, error)
	// Dispatch sends a request once to any shard with a free slot.
	Dispatch(ctx context.Context, req route.Request) (route.Response, error)
}

// Deps are the dependencies of a Cell.
type Deps struct {
	Clock        clock.Clock
	Log          *zap.Logger
	Store        store.Store
	Worker       agent.Worker
	Backend      route.Backend
	Metrics      *meter.Metrics
	RemoteShards RemoteShards
	Quota        quota.Peers
	// Policy returns the bundle that is in force, or an error if it is too old
	// for new work to start. open is set for requests to an open queue.
	Policy func(open bool) (*policy.Bundle, error)
	// LatestPolicy returns the newest known bundle, or nil.
	LatestPolicy func() *policy.Bundle
	// Authority returns the current authority of this VM over the shard.
	Authority func() owner.Authority
	// Fence returns the revision of the shard's epoch key. It is 0 while this
	// VM is not the recorded owner.
	Fence func() int64
	// MaxTasksPerShard returns how many tasks of a size the largest shard can
	// run when it is empty.
	MaxTasksPerShard func(size amount.Vec) int
	// Seed initializes the cell's random number generators.
	Seed uint64
}

// Config identifies the shard and holds its settings.
type Config struct {
	// Shard is the name of the shard, in the form DATACENTRE/NUMBER.
	Shard      string
	DataCentre string
	EpochKey   string
	// ShardCount is the number of shards, from which the initial allotments are
	// computed.
	ShardCount int
	// Source identifies this process to the next owner of the shard.
	Source string
	// GroupDelay is the time for which job records are collected before they
	// are written in one group.
	GroupDelay time.Duration
}

// run is one attempt of a task on a worker of this shard.
type run struct {
	id, job, worker string
	member          int
	class           policy.Class
	team            string
	state           runState
	// startLeaseEnd is when the lease that was sent with the start expires.
	startLeaseEnd time.Time
	// confirmedAt is when the worker confirmed that it runs the task.
	confirmedAt  clock.Mono
	checkpointMS int64
	preemption   place.Action
	// size is the amount of resources with which the task was started.
	size amount.Vec
}

// runState is the progress of a start. A start is uncertain if its reply was
// lost or does not tell whether the task runs.
type runState string

const (
	runStarting  runState = "starting"
	runUncertain runState = "uncertain"
	runConfirmed runState = "confirmed"
)

// heldJob is a job that this shard stores or runs on behalf of another shard.
type heldJob struct {
	rec *jobs.Record
	// homeShard is the shard that stores the record. It is empty if this shard
	// does.
	homeShard string
	// startBy is when an offered job is returned to its home shard if none of
	// its tasks has started.
	startBy time.Time
	// remoteMembers are the members that another shard may run.
	remoteMembers map[int]bool
	// inherited is set for jobs that a former owner may have started.
	inherited bool
	// inPlacement is set while placement knows the job.
	inPlacement bool
	// offerExpiresAt is until when an offer without a reply may be accepted. It
	// is zero once the other shard is known to have received the job.
	offerExpiresAt time.Time
	// nextOfferAt is when a job may be offered again after a rejected offer.
	nextOfferAt clock.Mono
	// opPending is set while the job's submission, recovery, offer or poll is
	// in progress. The job is neither enqueued nor offered meanwhile.
	opPending bool
	// attempts is the number of starts under this ownership, by member.
	attempts map[int]int64
	// checkpoints is the progress from which the next attempt resumes, by member.
	checkpoints map[int]int64
	// done is closed when the job ends.
	done chan struct{}
}

// workerState is the state of one worker of this shard.
type workerState struct {
	vm fleet.VM
	// taskListRead is set while the worker's task list is known, that is, after
	// it was read under this ownership and until the worker's leases expire.
	taskListRead   bool
	lastResponseAt clock.Mono
	// maxLeaseEnd is the latest lease expiry that was sent to the worker, in
	// wall time.
	maxLeaseEnd time.Time
	// pendingAcks are the ended tasks that the worker may delete from its list
	// once their jobs are stored, with the job of each.
	pendingAcks map[string]string
	// stop ends the renewals.
	stop context.CancelFunc
}

// authority is the subset of owner.Authority that a Cell uses.
type authority interface {
	Valid(now clock.Mono) bool
	Until() clock.Mono
	Mode() owner.Mode
}

// Cell runs one shard for the duration of one ownership. It is safe for
// concurrent use.
type Cell struct {
	cfg        Config
	deps       Deps
	cause      owner.Cause
	auth       func() authority
	journal    *jobs.Journal
	limiter    *limiter
	rebalancer *quota.Rebalancer
	// idRouter deduplicates, by their callers' ids, requests that may not be
	// repeated. slotRouter sends requests to the shard's backend servers.
	idRouter   *route.Router
	slotRouter *route.Router

	startedAt clock.Mono
	epoch     int64
	// recovered is set once it is known which tasks run on the workers. No task
	// is started before.
	recovered atomic.Bool
	// jobsLoaded is set once the job records were read from the store.
	jobsLoaded atomic.Bool
	// frozen is set during a handover. Starts, requests and submissions are
	// rejected meanwhile.
	frozen  atomic.Bool
	summary atomic.Pointer[Summary]
	wakeup  chan struct{}
	wg      sync.WaitGroup

	mu        sync.Mutex
	placement *place.State
	jobs      map[string]*heldJob
	// runs are the known runs by task id. They are indexed by worker, so that a
	// renewal visits only the runs of its worker, and counted by job, so that
	// the count needs no scan.
	runs            map[string]*run
	runsByWorker    map[string]map[string]*run
	runCountByJob   map[string]int
	workers         map[string]*workerState
	endedRemoteJobs map[string]*endedRemoteJob
	// ctx is the context of Serve. It is nil until Serve is called.
	ctx           context.Context
	policyVersion int64
	// outOfService is set after placement was told that nothing may start.
	outOfService bool
	// importedSlots is the former owner's table of busy slots, until it is
	// imported into slotRouter.
	importedSlots []byte
	// importedCheckpoints are the checkpoints received from the former owner,
	// by task id, until the job records are loaded.
	importedCheckpoints map[string]int64
	// pendingStartsUntil is when the leases of the former owner's unconfirmed
	// starts have expired.
	pendingStartsUntil time.Time
}

// New returns a Cell for a shard that this VM acquired. cause is the
// cause of the change of ownership.
func New(cfg Config, d Deps, epoch int64, cause owner.Cause) (*Cell, error) {
	c := &Cell{
		cfg: cfg, deps: d, cause: cause, epoch: epoch, startedAt: d.Clock.Now(), wakeup: make(chan struct{}, 1),
		jobs: map[string]*heldJob{}, runs: map[string]*run{}, runsByWorker: map[string]map[string]*run{}, runCountByJob: map[string]int{}, workers: map[string]*workerState{},
		endedRemoteJobs: map[string]*endedRemoteJob{},
	}
	c.deps.Log = d.Log.With(zap.String("shard", cfg.Shard), zap.Int64("epoch", epoch))
	c.auth = func() authority { return d.Authority() }
	c.limiter = newLimiter(c)
	rng := rand.New(rand.NewSource(int64(d.Seed)))
	rebalancer, err := quota.New(quota.Config{Shard: cfg.Shard, EpochKey: cfg.EpochKey, Shards: cfg.ShardCount}, quota.Deps{
		Ledger: c.limiter.ledger, Store: d.Store, Clock: d.Clock, Log: c.deps.Log, Peers: d.Quota, Fence: d.Fence, Rand: rng,
	})
	if err != nil {
		return nil, err
	}
	c.rebalancer = rebalancer
	c.placement = place.New(place.Config{Limiter: c.limiter, CellCapacity: d.MaxTasksPerShard, Seed: d.Seed})
	c.slotRouter = route.New(route.Config{Source: cfg.Source}, route.Deps{
		Clock: d.Clock, Log: c.deps.Log, Gate: &slotGate{c}, Backend: d.Backend, Weight: c.weight,
	})
	c.idRouter = route.New(route.Config{Source: cfg.Source}, route.Deps{
		Clock: d.Clock, Log: c.deps.Log, Gate: &idGate{c}, Backend: &dispatcher{c}, Weight: c.weight,
	})
	if cause == owner.CauseTakeover || cause == owner.CauseActing {
		c.idRouter.MarkTakeover(d.Clock.Wall())
	}
	c.journal = jobs.New(jobs.Config{Shard: cfg.Shard, GroupDelay: cfg.GroupDelay}, d.Store, d.Clock, c.deps.Log, c.fence)
	return c, nil
}

func (c *Cell) fence() jobs.Fence { return jobs.NewFence(c.cfg.EpochKey, c.deps.Fence()) }

// weight returns the share of a team, by which requests are queued fairly.
func (c *Cell) weight(team string) int64 {
	if b := c.deps.LatestPolicy(); b != nil {
		if t, ok := b.Team(team); ok {
			return t.Share()
		}
	}
	return 1
}

// Name returns the name of the shard, in the form DATACENTRE/NUMBER.
func (c *Cell) Name() string { return c.cfg.Shard }

// Epoch returns the epoch of the ownership.
func (c *Cell) Epoch() int64 { return c.epoch }

// Serve runs the shard until ctx ends.
func (c *Cell) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer c.closeRouters()
	defer c.wg.Wait()
	defer func() {
		cancel()
		// setWorkers checks ctx under the lock before it starts goroutines.
		// Once the lock was held here, it starts no more.
		c.mu.Lock()
		defer c.mu.Unlock()
	}()
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.spawn(func() { c.logServiceEnd("limits", c.rebalancer.Serve(ctx)) })
	c.spawn(func() { c.load(ctx) })
	nextMaintenance := c.deps.Clock.Now()
	nextPoll := nextMaintenance
	for {
		c.decide(ctx)
		c.updateSummary()
		now := c.deps.Clock.Now()
		if now >= nextMaintenance {
			nextMaintenance = now.Add(maintenanceInterval)
			c.maintain(ctx)
		}
		if now >= nextPoll {
			nextPoll = now.Add(remotePollInterval)
			c.pollDelegatedJobs(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wakeup:
		case <-c.deps.Clock.After(decideInterval):
		}
	}
}

// spawn runs fn in a goroutine that Serve waits for before it returns.
func (c *Cell) spawn(fn func()) { c.wg.Go(fn) }

func (c *Cell) logServiceEnd(part string, err error) {
	if c.ctx != nil && c.ctx.Err() == nil && err != nil {
		c.deps.Log.Warn("shard service failed", append(logs.Err(err), zap.String("part", part))...)
	}
}

// wake makes Serve run the next round of decisions immediately.
func (c *Cell) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// SetFleet updates the shard's workers and backend servers.
func (c *Cell) SetFleet(workers, backends []fleet.VM) {
	c.slotRouter.SetInstances(backends)
	services := map[string]bool{}
	var dispatchBackends []fleet.VM
	for _, b := range backends {
		services[b.Service()] = true
	}
	if b := c.deps.LatestPolicy(); b != nil {
		for _, q := range b.Queues() {
			services[q.Service()] = true
		}
	}
	for s := range services {
		if s != "" {
			dispatchBackends = append(dispatchBackends, dispatchBackend(s))
		}
	}
	c.idRouter.SetInstances(dispatchBackends)
	c.importSlots()
	c.setWorkers(workers)
}

func (c *Cell) setWorkers(workers []fleet.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil || c.ctx.Err() != nil {
		return
	}
	now := c.deps.Clock.Now()
	present := map[string]bool{}
	for _, vm := range workers {
		present[vm.ID()] = true
		w := c.workers[vm.ID()]
		if w != nil && w.vm.Addr() != vm.Addr() {
			c.removeWorker(w)
			w = nil
		}
		if w == nil {
			c.addWorker(vm, now)
			continue
		}
		w.vm = vm
		if vm.State() == fleet.StateLeaving {
			c.placement.RemoveWorker(vm.ID())
		}
	}
	for id, w := range c.workers {
		if !present[id] {
			c.removeWorker(w)
		}
	}
}

func (c *Cell) addWorker(vm fleet.VM, now clock.Mono) {
	ctx, w := c.registerWorker(vm, now)
	c.spawn(func() { c.renewLoop(ctx, w) })
}

func (c *Cell) registerWorker(vm fleet.VM, now clock.Mono) (context.Context, *workerState) {
	ctx, stop := context.WithCancel(c.ctx)
	w := &workerState{vm: vm, lastResponseAt: now, pendingAcks: map[string]string{}, stop: stop}
	c.workers[vm.ID()] = w
	if vm.State() == fleet.StateLive {
		c.placement.PutWorker(workerSpec(vm), now)
	}
	return ctx, w
}

// workerSpec describes a worker to placement.
func workerSpec(vm fleet.VM) place.WorkerSpec {
	return place.NewWorkerSpec(vm.ID(), vm.Rack(), amount.New(vm.CPUMilli(), vm.MemoryMiB(), vm.Accelerators(), 0))
}

// removeWorker removes a worker that is no longer in the platform's VM list.
// The VM has ended, and so have its tasks.
func (c *Cell) removeWorker(w *workerState) {
	w.stop()
	delete(c.workers, w.vm.ID())
	c.loseTasksLocked(w.vm.ID(), "worker ended")
	c.placement.RemoveWorker(w.vm.ID())
}

// Mode returns the mode of the ownership.
func (c *Cell) Mode() string { return string(c.auth().Mode()) }

// AcceptsJobs reports whether the shard accepts submissions.
func (c *Cell) AcceptsJobs() bool { return c.jobsLoaded.Load() && !c.frozen.Load() }

func (c *Cell) inService() bool {
	b := c.deps.LatestPolicy()
	return b != nil && b.InService(c.cfg.DataCentre)
}
