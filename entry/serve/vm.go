// Package serve runs an entry VM. It connects the services of the process and runs
// them in a supervisor tree.
//
// # Usage
//
//	vm, err := serve.New(cfg, clock.New(), log)
//	err = vm.Run(ctx) // until ctx ends, then a graceful shutdown
//
// The root supervisor runs the heartbeats, the server for peers, the policy, the VM
// list, the shards, the renewal of orphaned leases and the metrics. Each shard has a
// supervisor of its own, which runs the shard's elector and cell. The HTTP API runs
// outside the tree, so that a shutdown can stop it before the services that it uses.
package serve

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/agent"
	"limpethitch.example/entry/cell"
	"limpethitch.example/entry/front"
	"limpethitch.example/entry/member"
	"limpethitch.example/entry/meter"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/peer"
	"limpethitch.example/entry/roll"
	"limpethitch.example/entry/route"
)

// VM is an entry VM.
type VM struct {
	cfg               Config
	clk               clock.Clock
	log               *zap.Logger
	incarnationNumber uint64
	store             store.Store
	fleet             *fleet.Source
	metrics           *meter.Metrics
	members           *member.Members
	peerClient        *peer.Client
	policies          *roll.Manager
	layouts           *layouts
	worker            agent.Worker
	backend           route.Backend
	front             *front.Server
	retryBudget       retryBudget

	httpLis, peerLis net.Listener
	startedAt        clock.Mono
	draining         atomic.Bool
	// peerRequests counts the requests of other VMs in flight.
	peerRequests atomic.Int64
	root         *suture.Supervisor

	// mu guards the fields below.
	mu           sync.Mutex
	shards       map[string]*shard
	fleetList    fleet.List
	everListed   map[string]bool
	workerCounts map[string]*workerCount
}

// shard is what this VM runs for one shard: always an elector, and a cell while the VM
// owns the shard.
type shard struct {
	name    string
	dc      string
	elector *owner.Elector
	cell    atomic.Pointer[cell.Cell]
	// promisedAllotments are the allotments in the owner's last promise request.
	// handoverState is the state that the former owner sent with a handover. Both are
	// still encoded.
	promisedAllotments atomic.Pointer[[]byte]
	handoverState      atomic.Pointer[[]byte]
	nextMoveAt         clock.Mono
}

// New returns a VM whose addresses are already open, so that an address in use is
// reported before the VM starts.
func New(cfg Config, clk clock.Clock, log *zap.Logger) (*VM, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	secret, err := peer.NewSecret(cfg.Secret)
	if err != nil {
		return nil, err
	}
	approvers, err := policy.NewApprovers(cfg.Approvers, cfg.Approvals)
	if err != nil {
		return nil, err
	}
	client, err := store.New(store.Config{URL: cfg.Store}, clk)
	if err != nil {
		return nil, err
	}
	metrics := meter.New()
	v := &VM{
		cfg: cfg, clk: clk, log: log.With(zap.String("vm", cfg.Name)), incarnationNumber: newIncarnationNumber(), store: metrics.InstrumentStore(client),
		fleet: fleet.New(cfg.VMs), metrics: metrics, peerClient: peer.NewClient(secret), worker: agent.New(agent.Config{}),
		shards: map[string]*shard{}, everListed: map[string]bool{}, startedAt: clk.Now(),
	}
	v.layouts = &layouts{store: v.store, shards: cfg.Shards}
	v.backend = route.NewHTTPBackend(route.HTTPConfig{}, clk)
	v.members = member.New(member.Config{
		Name: cfg.Name, Incarnation: v.incarnationNumber, DataCentre: cfg.DataCentre, Addr: cfg.Peer,
	}, clk, secret, cfg.seeds(), v.selfReport, func(addr string, version int64) { v.policies.NotifyNewer(addr, version) })
	v.policies = roll.New(roll.Deps{
		Clock: clk, Store: v.store, Log: v.log, Members: v.members, Client: v.peerClient, Approvers: approvers,
		VM: cfg.Name, DataCentre: cfg.DataCentre, OnAdopt: v.onPolicy, OnLayout: v.layouts.adopt, Layout: v.layouts.marshal,
	})
	v.front = front.New(front.Config{
		Listen: cfg.Listen, OperatorToken: cfg.Token, CertFile: cfg.Cert, KeyFile: cfg.Key,
	}, v, metrics, clk, v.log)
	return v, v.open(secret)
}

// open opens the addresses and builds the supervisor tree.
func (v *VM) open(secret peer.Secret) error {
	lis, err := net.Listen("tcp", v.cfg.Peer)
	if err != nil {
		return rcode.Wrap(err, rcode.PortInUse, "cannot listen for peers on %s", v.cfg.Peer)
	}
	v.peerLis = lis
	if v.httpLis, err = v.front.Listen(); err != nil {
		_ = lis.Close()
		return err
	}
	srv, err := peer.NewServer(&peerServer{vm: v}, secret, v.log)
	if err != nil {
		return err
	}
	v.root = suture.New("entry", suture.Spec{EventHook: v.logSupervisorEvent, Timeout: 5 * time.Second})
	v.root.Add(service("heartbeats", member.NewService(v.members, v.log).Serve))
	v.root.Add(service("peer", func(ctx context.Context) error { return srv.Serve(ctx, v.peerLis) }))
	v.root.Add(service("policy", v.policies.Serve))
	v.root.Add(service("fleet", v.watchFleet))
	v.root.Add(service("shards", v.watchShards))
	v.root.Add(service("leases", v.renewOrphans))
	v.root.Add(service("metrics", v.updateMetrics))
	return nil
}

// newIncarnationNumber returns a random number other than 0 for this process.
func newIncarnationNumber() uint64 {
	var b [8]byte
	// crypto/rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>12 | 1
}

// component is a supervised service with a name for the log.
type component struct {
	name string
	run  func(context.Context) error
}

func service(name string, run func(context.Context) error) component {
	return component{name: name, run: run}
}

// Serve implements suture.Service.
func (c component) Serve(ctx context.Context) error { return c.run(ctx) }

// String returns the name that the supervisor's events carry.
func (c component) String() string { return c.name }

func (v *VM) logSupervisorEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		v.log.Error("service panicked", zap.String("part", e.ServiceName), zap.String("panic", e.PanicMsg), zap.String("stack", e.Stacktrace))
	case suture.EventServiceTerminate:
		v.log.Warn("service ended", zap.String("part", e.ServiceName), zap.String("error", fmt.Sprint(e.Err)), zap.Bool("restarting", e.Restarting))
	case suture.EventBackoff, suture.EventResume, suture.EventStopTimeout:
		v.log.Warn("supervisor event", zap.String("event", e.String()))
	}
}

const (
	// drainNoticeDelay is the time between the readiness check starting to fail and the
	// first handover. It lets the load balancer miss two checks and still notice.
	drainNoticeDelay = time.Second
	// drainLingerDelay is how long a VM without shards still accepts requests and
	// answers peers. By its end no peer considers this VM the owner of a shard because
	// of an earlier heartbeat, and responses have closed the load balancer's keep-alive
	// connections. A shorter delay cuts off requests in flight.
	drainLingerDelay = member.LivenessTimeout + time.Second
)

// Run serves until ctx ends. Then it hands the shards over and waits for the requests
// in flight.
func (v *VM) Run(ctx context.Context) error {
	tree, stopTree := context.WithCancel(context.Background())
	defer stopTree()
	treeDone := v.root.ServeBackground(tree)
	api, stopAPI := context.WithCancel(context.Background())
	defer stopAPI()
	apiDone := make(chan error, 1)
	go func() { apiDone <- v.front.Serve(api, v.httpLis) }()
	v.log.Info("entry VM started", append(logs.Build(), zap.String("data_centre", v.cfg.DataCentre), zap.String("listen", v.cfg.Listen),
		zap.String("peer", v.cfg.Peer))...)
	select {
	case err := <-apiDone:
		return err
	case err := <-treeDone:
		return err
	case <-ctx.Done():
	}
	v.log.Info("entry VM is shutting down")
	v.draining.Store(true)
	<-v.clk.After(drainNoticeDelay)
	v.handOverShards()
	<-v.clk.After(drainLingerDelay)
	stopAPI()
	err := <-apiDone
	v.waitForPeerRequests()
	stopTree()
	<-treeDone
	_ = v.peerClient.Close()
	v.log.Info("entry VM stopped")
	if err != nil && api.Err() == nil {
		return err
	}
	return nil
}

// selfReport returns what this VM reports in each heartbeat.
func (v *VM) selfReport() member.Self {
	var owned []member.Shard
	now := v.clk.Now()
	for _, s := range v.ownedShards() {
		a := s.elector.Authority()
		c := s.cell.Load()
		if c == nil || !a.Valid(now) {
			continue
		}
		sum := c.Summary()
		owned = append(owned, member.NewShard(s.name, a.Epoch(), sum.Slots(), sum.Free(), sum.Waiting(), string(a.Mode())))
	}
	return member.NewSelf(v.draining.Load(), v.policies.StoreOK(), v.policies.Version(), v.policies.AsOf(), owned)
}

// ownedShards returns the shards that have a cell on this VM.
func (v *VM) ownedShards() []*shard {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []*shard
	for _, s := range v.shards {
		if s.cell.Load() != nil {
			out = append(out, s)
		}
	}
	return out
}

func (v *VM) shard(name string) *shard {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.shards[name]
}

// ownedCell returns the cell of a shard, or nil if this VM has no valid authority over
// the shard.
func (v *VM) ownedCell(name string) *cell.Cell {
	s := v.shard(name)
	if s == nil || !s.elector.Authority().Valid(v.clk.Now()) {
		return nil
	}
	return s.cell.Load()
}

// onPolicy passes a new bundle to the metrics and the cells.
func (v *VM) onPolicy(b *policy.Bundle) {
	names := make([]string, 0, len(b.Teams()))
	for _, t := range b.Teams() {
		names = append(names, t.Name())
	}
	v.metrics.SetTeams(names)
	for _, s := range v.ownedShards() {
		if c := s.cell.Load(); c != nil {
			c.SetPolicy(b)
		}
	}
}

// updateMetrics sets the gauges of the policy, the teams and the shards every second.
func (v *VM) updateMetrics(ctx context.Context) error {
	for {
		b := v.policies.Current()
		if b != nil {
			v.metrics.SetPolicy(b.Version(), v.clk.Now().Sub(v.policies.AsOf()))
			for _, t := range b.Teams() {
				v.metrics.SetTeamUsage(t.Name(), v.teamUsage(t.Name()), t.Limit())
			}
		}
		v.updateShardMetrics()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.clk.After(time.Second):
		}
	}
}

func (v *VM) updateShardMetrics() {
	v.mu.Lock()
	all := make([]*shard, 0, len(v.shards))
	for _, s := range v.shards {
		all = append(all, s)
	}
	v.mu.Unlock()
	for _, s := range all {
		c := s.cell.Load()
		if c == nil {
			v.metrics.SetShard(s.name, "none", zeroAmount, 0)
			continue
		}
		sum := c.Summary()
		v.metrics.SetShard(s.name, c.Mode(), sum.Free(), sum.Slots())
	}
}
