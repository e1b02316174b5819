package serve

import (
	"context"
	"encoding/json"
	mrand "math/rand"
	"strconv"
	"strings"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/cell"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/peer"
	"limpethitch.example/entry/route"
)

const (
	// recordsInterval is the minimum time between two regular reads of a data centre's
	// ownership records. One store call reads them all.
	recordsInterval = time.Second
	// abandonedAfter is how long a data centre must be without a live VM before VMs of
	// other data centres take part in electing the owners of its shards.
	abandonedAfter = 30 * time.Second
	// cellRestartDelay prevents a busy loop if a cell fails right after its start.
	cellRestartDelay = time.Second
	// rebalanceDelay is how long a more preferred VM must be live before a shard is
	// handed over to it, so that a VM that restarts often causes no handovers. It is
	// also the minimum time between two attempts to move a shard.
	rebalanceDelay = 30 * time.Second
)

// incarnation returns the name of this VM and the number of this process.
func (v *VM) incarnation() string {
	return v.cfg.Name + "#" + strconv.FormatUint(v.incarnationNumber, 36)
}

// watchShards creates the shards once the layout is known, passes the ownership records
// to their electors and moves shards to more preferred VMs.
func (v *VM) watchShards(ctx context.Context) error {
	noLiveVMSince := map[string]clock.Mono{}
	liveSince := map[string]clock.Mono{}
	for {
		v.ensureLayout(ctx)
		if l := v.layouts.get(); l != nil {
			for dc, n := range l.Shards {
				if dc == v.cfg.DataCentre || v.isAbandoned(dc, noLiveVMSince) {
					v.addShards(dc, n)
					v.refreshRecords(ctx, dc)
				}
			}
			v.rebalance(ctx, liveSince)
		}
		delay := recordsInterval + time.Duration(mrand.Int63n(int64(recordsInterval)/5))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.clk.After(delay):
		}
	}
}

// ensureLayout makes sure that the layout is known and contains all data centres of the
// current bundle.
func (v *VM) ensureLayout(ctx context.Context) {
	b := v.policies.Current()
	if b == nil {
		return
	}
	lctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := v.layouts.ensure(lctx, b); err != nil {
		v.log.Warn("cannot update the shard layout", logs.Err(err)...)
	}
}

// isAbandoned reports whether another data centre has had no live VM for longer than
// abandonedAfter. It is true only on relays, to limit the number of store calls.
func (v *VM) isAbandoned(dc string, noLiveVMSince map[string]clock.Mono) bool {
	now := v.clk.Now()
	for _, m := range v.members.Live() {
		if m.DataCentre() == dc {
			delete(noLiveVMSince, dc)
			return false
		}
	}
	if _, ok := noLiveVMSince[dc]; !ok {
		noLiveVMSince[dc] = now
	}
	return v.members.IsRelay() && now.Sub(noLiveVMSince[dc]) > abandonedAfter
}

// addShards starts an elector and a cell runner for each new shard of a data centre.
func (v *VM) addShards(dc string, n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i := range n {
		name := shardName(dc, i)
		if v.shards[name] != nil {
			continue
		}
		s := &shard{name: name, dc: dc}
		elector, err := owner.New(owner.Config{
			DataCentre: dc, Shard: i, Incarnation: v.incarnation(), Addr: v.cfg.Peer, Remote: dc != v.cfg.DataCentre,
		}, owner.Deps{
			Store: v.store, Clock: v.clk, Log: v.log, Peers: &ownerPeers{vm: v, shard: s}, Membership: &shardMembership{vm: v, dc: dc, shardNumber: i},
			Rand: mrand.New(mrand.NewSource(mrand.Int63())),
		})
		if err != nil {
			v.log.Error("cannot create the elector of a shard", append(logs.Err(err), zap.String("shard", name))...)
			continue
		}
		s.elector = elector
		v.shards[name] = s
		sub := suture.New("shard "+name, suture.Spec{EventHook: v.logSupervisorEvent, Timeout: 5 * time.Second})
		sub.Add(service("keeper "+name, elector.Serve))
		sub.Add(service("runner "+name, func(ctx context.Context) error { return v.runShard(ctx, s) }))
		v.root.Add(sub)
	}
}

// refreshRecords reads all ownership records of a data centre in one store call and
// passes them to the electors.
func (v *VM) refreshRecords(ctx context.Context, dc string) {
	rctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	kvs, _, err := v.store.List(rctx, "shard/"+dc+"/")
	if err != nil {
		v.log.Debug("cannot read the ownership records", logs.Err(err)...)
		return
	}
	for _, kv := range kvs {
		if s := v.shard(strings.TrimPrefix(kv.Key(), "shard/")); s != nil {
			s.elector.Observe(kv)
		}
	}
}

// runShard runs a cell while this VM owns the shard. If the cell ends while the shard
// is still owned, a new one starts and recovers as after a takeover.
func (v *VM) runShard(ctx context.Context, s *shard) error {
	var cancel context.CancelFunc
	var ended chan error
	stop := func() {
		if cancel != nil {
			cancel()
			s.cell.Store(nil)
			<-ended
			cancel, ended = nil, nil
		}
	}
	defer stop()
	var acquired owner.Acquired
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-s.elector.Events():
			stop()
			switch e := e.(type) {
			case owner.Acquired:
				v.log.Info("shard acquired", zap.String("shard", s.name), zap.Int64("epoch", e.Epoch()), zap.String("how", string(e.Cause())))
				acquired = e
				cancel, ended = v.startCell(ctx, s, e)
			case owner.Lost:
				v.log.Info("shard lost", zap.String("shard", s.name))
			}
		case err := <-ended:
			cancel()
			cancel, ended = nil, nil
			s.cell.Store(nil)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			v.log.Error("cell ended unexpectedly, restarting it", append(logs.Err(err), zap.String("shard", s.name))...)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-v.clk.After(cellRestartDelay):
			}
			cancel, ended = v.startCell(ctx, s, owner.NewAcquired(acquired.Epoch(), owner.CauseTakeover))
		}
	}
}

// startCell starts a cell and returns the function that stops it and the channel that
// receives the cell's error when it ends.
func (v *VM) startCell(ctx context.Context, s *shard, e owner.Acquired) (context.CancelFunc, chan error) {
	ended := make(chan error, 1)
	dc, n := splitShard(s.name)
	shards := 1
	if l := v.layouts.get(); l != nil {
		shards = l.shardCount()
	}
	c, err := cell.New(cell.Config{
		Shard: s.name, DataCentre: dc, EpochKey: owner.EpochKey(dc, n), ShardCount: shards, GroupDelay: v.cfg.groupDelay(), Source: v.incarnation(),
	}, cell.Deps{
		Clock: v.clk, Log: v.log, Store: v.store, Worker: v.worker, Backend: v.backend, Metrics: v.metrics,
		RemoteShards: &remoteShards{vm: v}, Quota: &quotaPeers{vm: v, from: s.name}, Policy: v.policies.FreshBundle, LatestPolicy: v.policies.Current,
		Authority: s.elector.Authority, Fence: s.elector.Fence, MaxTasksPerShard: v.maxTasksPerShard, Seed: mrand.Uint64(),
	}, e.Epoch(), e.Cause())
	if err != nil {
		ended <- err
		return func() {}, ended
	}
	if raw := s.promisedAllotments.Load(); raw != nil && e.Cause() == owner.CauseActing {
		allotments := map[string]amount.Vec{}
		if json.Unmarshal(*raw, &allotments) == nil {
			c.SetAllotments(allotments)
		}
	}
	if raw := s.handoverState.Swap(nil); raw != nil && e.Cause() == owner.CauseHandover {
		if err := c.Import(*raw); err != nil {
			v.log.Warn("cannot import the state of the former owner", append(logs.Err(err), zap.String("shard", s.name))...)
		}
	}
	cctx, cancel := context.WithCancel(ctx)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				v.log.Error("cell panicked", zap.String("shard", s.name), zap.Any("panic", p), zap.Stack("stack"))
				ended <- rcode.New(rcode.Internal, "the cell panicked")
			}
		}()
		ended <- c.Serve(cctx)
	}()
	s.cell.Store(c)
	if b := v.policies.Current(); b != nil {
		c.SetPolicy(b)
	}
	go v.initCellFleet(cctx, s, c)
	return cancel, ended
}

// rebalance hands shards over to more preferred VMs that have been live for at least
// rebalanceDelay.
func (v *VM) rebalance(ctx context.Context, liveSince map[string]clock.Mono) {
	now := v.clk.Now()
	live := map[string]bool{}
	for _, m := range v.members.Live() {
		live[m.Name()] = true
		if _, ok := liveSince[m.Name()]; !ok {
			liveSince[m.Name()] = now
		}
	}
	for name := range liveSince {
		if !live[name] {
			delete(liveSince, name)
		}
	}
	if v.draining.Load() {
		return
	}
	for _, s := range v.ownedShards() {
		a := s.elector.Authority()
		best, ok := (&shardMembership{vm: v, dc: s.dc, shardNumber: shardNumber(s.name)}).mostPreferred()
		if !ok || a.Mode() != owner.ModeStore || now < s.nextMoveAt {
			continue
		}
		name, _, _ := strings.Cut(best.Incarnation(), "#")
		if name == v.cfg.Name || now.Sub(liveSince[name]) < rebalanceDelay {
			continue
		}
		s.nextMoveAt = now.Add(rebalanceDelay)
		if err := v.handOver(ctx, s, best); err != nil {
			v.log.Warn("cannot move the shard to a more preferred VM", append(logs.Err(err), zap.String("shard", s.name))...)
		}
	}
}

func shardNumber(name string) int {
	_, n := splitShard(name)
	return n
}

// handOver moves a shard to another VM. It stops new starts, sends the in-memory state
// and then changes the ownership record. After an error the cell resumes.
func (v *VM) handOver(ctx context.Context, s *shard, to owner.Candidate) error {
	c := s.cell.Load()
	if c == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if err := c.Freeze(ctx); err != nil {
		// The next owner finds the starts and job records that are still in flight in
		// the workers' task lists and in the store.
		v.log.Warn("handing the shard over with work in flight", append(logs.Err(err), zap.String("shard", s.name))...)
	}
	state, err := c.Export()
	if err != nil {
		c.Unfreeze()
		return err
	}
	_, err = v.peerClient.Handover(ctx, to.Addr(), &peer.HandoverRequest{Shard: s.name, Epoch: c.Epoch(), State: state})
	if err != nil {
		c.Unfreeze()
		return rcode.Wrap(err, rcode.PeerUnreachable, "serve.handOver")
	}
	if err := s.elector.Handover(ctx, to); err != nil {
		c.Unfreeze()
		return err
	}
	// The next owner reads the record immediately instead of at its next interval.
	if _, err := v.peerClient.Handover(ctx, to.Addr(), &peer.HandoverRequest{Shard: s.name, Epoch: c.Epoch(), Done: true}); err != nil {
		v.log.Debug("cannot notify the next owner of a shard", append(logs.Err(err), zap.String("shard", s.name))...)
	}
	v.log.Info("shard handed over", zap.String("shard", s.name), zap.String("to", to.Incarnation()))
	return nil
}

// handOverShards hands every shard over to its most preferred other VM. Called while
// draining, when this VM counts as leaving.
func (v *VM) handOverShards() {
	for _, s := range v.ownedShards() {
		best, ok := (&shardMembership{vm: v, dc: s.dc, shardNumber: shardNumber(s.name)}).mostPreferred()
		if !ok || best.Incarnation() == v.incarnation() {
			continue
		}
		if err := v.handOver(context.Background(), s, best); err != nil {
			v.log.Warn("cannot hand the shard over", append(logs.Err(err), zap.String("shard", s.name))...)
		}
	}
}

// waitForPeerRequests waits until the requests of other VMs are answered, at most for
// route.MaxLife.
func (v *VM) waitForPeerRequests() {
	until := v.clk.Now().Add(route.MaxTimeout)
	for v.peerRequests.Load() > 0 && v.clk.Now() < until {
		<-v.clk.After(10 * time.Millisecond)
	}
}
