package serve

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/member"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/peer"
)

// shardMembership implements owner.Membership for one shard.
type shardMembership struct {
	vm          *VM
	dc          string
	shardNumber int
}

// Gone implements owner.Membership. An incarnation is gone when its VM was on the
// platform's VM list and no longer is, or when another process reports under the VM's
// name: a VM runs only one entry process, which holds its address.
func (sm *shardMembership) Gone(incarnation string) bool {
	name, number, _ := strings.Cut(incarnation, "#")
	if name == sm.vm.cfg.Name {
		return incarnation != sm.vm.incarnation()
	}
	for _, m := range sm.vm.members.All() {
		if m.Name() == name && strconv.FormatUint(m.Incarnation(), 36) != number {
			return true
		}
	}
	return sm.vm.endedByPlatform(name)
}

// Candidates implements owner.Membership.
func (sm *shardMembership) Candidates() []owner.Candidate {
	byName := map[string]member.VM{}
	var local, remote []string
	add := func(name, dc string) {
		if dc == sm.dc {
			local = append(local, name)
		} else {
			remote = append(remote, name)
		}
	}
	add(sm.vm.cfg.Name, sm.vm.cfg.DataCentre)
	for _, m := range sm.vm.members.Live() {
		byName[m.Name()] = m
		add(m.Name(), m.DataCentre())
	}
	order := append(owner.PreferenceOrder(sm.dc, sm.shardNumber, local), owner.PreferenceOrder(sm.dc, sm.shardNumber, remote)...)
	out := make([]owner.Candidate, 0, len(order))
	for _, name := range order {
		if name == sm.vm.cfg.Name {
			out = append(out, owner.NewCandidate(sm.vm.incarnation(), sm.vm.cfg.Peer, sm.vm.draining.Load(), sm.vm.cfg.DataCentre != sm.dc))
			continue
		}
		m := byName[name]
		incarnation := name + "#" + strconv.FormatUint(m.Incarnation(), 36)
		out = append(out, owner.NewCandidate(incarnation, m.Addr(), m.Leaving(), m.DataCentre() != sm.dc))
	}
	return out
}

// mostPreferred returns the most preferred live VM that is not leaving. VMs of the
// shard's own data centre come first.
func (sm *shardMembership) mostPreferred() (owner.Candidate, bool) {
	for _, c := range sm.Candidates() {
		if !c.Leaving() {
			return c, true
		}
	}
	return owner.Candidate{}, false
}

// Kinds of ownership messages.
const (
	kindPromise = "promise"
	kindRelease = "release"
	kindConsent = "consent"
)

// ownerPeers sends the ownership messages of one shard.
type ownerPeers struct {
	vm    *VM
	shard *shard
}

// callOwner sends an ownership message. A promise request also carries the shard's
// allotments, which the standby needs if it has to act.
func callOwner[Q, R any](ctx context.Context, p *ownerPeers, addr, kind, shard string, req Q) (R, error) {
	var out R
	body, err := json.Marshal(req)
	if err != nil {
		return out, rcode.Wrap(err, rcode.Internal, "cannot encode the ownership message")
	}
	msg := &peer.OwnRequest{Kind: kind, Shard: shard, Body: body}
	if c := p.shard.cell.Load(); c != nil && kind == kindPromise {
		if msg.Allotments, err = json.Marshal(c.Allotments()); err != nil {
			return out, rcode.Wrap(err, rcode.Internal, "cannot encode the allotments")
		}
	}
	reply, err := p.vm.peerClient.Own(ctx, addr, msg)
	if err != nil {
		return out, err
	}
	if code := rcode.Code(reply.GetCode()); code != rcode.OK {
		return out, rcode.New(code, "%s", reply.GetMessage())
	}
	if err := json.Unmarshal(reply.GetBody(), &out); err != nil {
		return out, rcode.Wrap(err, rcode.OutcomeUnknown, "cannot decode the reply to an ownership message")
	}
	return out, nil
}

// Promise implements owner.Peers.
func (p *ownerPeers) Promise(ctx context.Context, addr, shard string, req owner.PromiseRequest) (owner.PromiseReply, error) {
	return callOwner[owner.PromiseRequest, owner.PromiseReply](ctx, p, addr, kindPromise, shard, req)
}

// Release implements owner.Peers.
func (p *ownerPeers) Release(ctx context.Context, addr, shard string, req owner.ReleaseRequest) (owner.ReleaseReply, error) {
	return callOwner[owner.ReleaseRequest, owner.ReleaseReply](ctx, p, addr, kindRelease, shard, req)
}

// Consent implements owner.Peers.
func (p *ownerPeers) Consent(ctx context.Context, addr, shard string, req owner.ConsentRequest) (owner.ConsentReply, error) {
	return callOwner[owner.ConsentRequest, owner.ConsentReply](ctx, p, addr, kindConsent, shard, req)
}

// quotaPeers implements quota.Peers: it asks other shards for unused allotment.
type quotaPeers struct {
	vm   *VM
	from string
}

// Yield implements quota.Peers.
func (p *quotaPeers) Yield(ctx context.Context, shard, team string, want amount.Vec) error {
	if c := p.vm.ownedCell(shard); c != nil {
		return c.Yield(ctx, p.from, team, want)
	}
	to, ok := p.vm.members.Owner(shard)
	if !ok {
		return rcode.New(rcode.NoOwner, "shard %s has no known owner", shard)
	}
	reply, err := p.vm.peerClient.Yield(ctx, to.Addr(), &peer.YieldRequest{
		Shard: shard, From: p.from, Team: team, Want: member.AmountToProto(want),
	})
	if err != nil {
		return err
	}
	return replyError(reply.GetCode(), reply.GetMessage())
}

// replyError returns the error that a reply carries, or nil.
func replyError(code, message string) error {
	if c := rcode.Code(code); c != rcode.OK {
		return rcode.New(c, "%s", message)
	}
	return nil
}
