package cell

import (
	"context"

	"github.com/cockroachdb/errors"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/quota"
	"limpethitch.example/entry/route"
)

// limiter applies the shard's limits to placement and the request path.
// Reserved resources are counted as running, since tasks and requests are sent
// immediately.
type limiter struct {
	c      *Cell
	ledger *quota.Ledger
}

func newLimiter(c *Cell) *limiter { return &limiter{c: c, ledger: quota.NewLedger()} }

// maxDemandMultiple limits the demand that is raised after a failed
// reservation, as a multiple of the missing amount. Demanding several starts at
// a time avoids one transfer per start in a burst.
const maxDemandMultiple = 8

// Reserve implements place.Limiter. It fails until all workers have reported,
// since until then the running amounts are unknown.
func (l *limiter) Reserve(team string, v amount.Vec) bool {
	if !l.c.recovered.Load() {
		return false
	}
	return l.reserveAndStart(team, v)
}

func (l *limiter) reserveAndStart(team string, v amount.Vec) bool {
	if !l.ledger.Reserve(team, v) {
		l.c.rebalancer.RaiseDemand(team, l.demandFor(team, v))
		return false
	}
	l.ledger.Start(team, v)
	return true
}

// demandFor returns the demand to raise after a reservation of v failed. It
// covers several starts, up to the guaranteed minimum, but never less than v.
// The guaranteed minimum is half an even part of the limit: what one shard holds
// idle is missing on the others.
// When 8 starts were demanded with a limit of 20 requests, two shards held all
// of it and requests on the others waited until their deadlines.
func (l *limiter) demandFor(team string, v amount.Vec) amount.Vec {
	demand := v
	for range maxDemandMultiple - 1 {
		demand = demand.Add(v)
	}
	return demand.Min(l.c.rebalancer.GuaranteedMinimum(team)).Max(v)
}

// Release implements place.Limiter.
func (l *limiter) Release(team string, v amount.Vec) { l.ledger.Stop(team, v) }

var oneRequest = amount.New(0, 0, 0, 1)

// slotGate checks and counts each request sent to a backend server of the
// shard.
type slotGate struct{ c *Cell }

// Authorize implements route.Gate.
func (g *slotGate) Authorize(req route.Request) error {
	if !g.c.auth().Valid(g.c.deps.Clock.Now()) {
		return rcode.New(rcode.NotOwner, "this VM's authority over shard %s has ended", g.c.cfg.Shard)
	}
	if g.c.frozen.Load() {
		return rcode.New(rcode.Draining, "shard %s is moving to another VM", g.c.cfg.Shard)
	}
	b, err := g.c.deps.Policy(req.Queue().Open())
	if err != nil {
		return err
	}
	if !b.InService(g.c.cfg.DataCentre) {
		return rcode.New(rcode.DataCentreOutOfService, "data centre %s is out of service", g.c.cfg.DataCentre)
	}
	q, err := b.Queue(req.Queue().Name())
	if err != nil {
		return err
	}
	return b.Reauthorize(q, req.Grant())
}

// Reserve implements route.Gate.
func (g *slotGate) Reserve(team string) bool { return g.c.limiter.reserveAndStart(team, oneRequest) }

// Release implements route.Gate.
func (g *slotGate) Release(team string) { g.c.limiter.Release(team, oneRequest) }

// idGate guards the deduplication of callers' ids. It checks only the ownership
// of the shard: the request is checked against policy and counted where it is
// sent to a backend server.
type idGate struct{ c *Cell }

// Authorize implements route.Gate.
func (g *idGate) Authorize(route.Request) error {
	if !g.c.auth().Valid(g.c.deps.Clock.Now()) {
		return rcode.New(rcode.NotOwner, "this VM's authority over shard %s has ended", g.c.cfg.Shard)
	}
	if g.c.frozen.Load() {
		return rcode.New(rcode.Draining, "shard %s is moving to another VM", g.c.cfg.Shard)
	}
	return nil
}

// Reserve implements route.Gate.
func (g *idGate) Reserve(string) bool { return true }

// Release implements route.Gate.
func (g *idGate) Release(string) {}

// maxDispatches limits the concurrent requests with callers' ids.
const maxDispatches = 4096

// dispatchBackend returns the single backend of idRouter for a service. It
// represents all shards together.
func dispatchBackend(service string) fleet.VM {
	return fleet.NewBackend("any-"+service, "any", service, maxDispatches, maxDispatches)
}

// dispatcher implements route.Backend by sending a request to any shard.
type dispatcher struct{ c *Cell }

// Do implements route.Backend.
func (d *dispatcher) Do(ctx context.Context, _ string, req route.Request) (route.Response, error) {
	resp, err := d.c.deps.RemoteShards.Dispatch(ctx, req)
	if err != nil && rcode.Of(err).NotRun() {
		return resp, errors.Mark(err, route.ErrNotSent)
	}
	return resp, err
}

// Do sends a request to the shard's backend servers. A request that may not be
// repeated and has a caller's id is sent to any shard, once per id.
func (c *Cell) Do(ctx context.Context, req route.Request) (route.Response, error) {
	if req.HasCallerID() && !req.Repeatable() {
		return c.idRouter.Do(ctx, req)
	}
	team := req.Grant().Team()
	if c.limiter.ledger.Allotment(team).Requests() == 0 {
		// A wait would last until a transfer of allotment, which needs the
		// store. Another shard may have allotment left.
		c.rebalancer.RaiseDemand(team, c.limiter.demandFor(team, oneRequest))
		return route.Response{}, rcode.New(rcode.OverLimit, "shard %s has no allotment for team %s yet", c.cfg.Shard, team)
	}
	return c.slotRouter.Do(ctx, req)
}
