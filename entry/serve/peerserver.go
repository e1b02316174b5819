package serve

import (
	"context"
	"encoding/json"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/cell"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/member"
	"limpethitch.example/entry/owner"
	"limpethitch.example/entry/peer"
	"limpethitch.example/entry/route"
)

// peerServer answers the calls of the other entry VMs.
type peerServer struct{ vm *VM }

var _ peer.DRPCPeerServer = (*peerServer)(nil)

// ownedCell returns the cell of a shard, or NotOwner if this VM does not own it.
func (p *peerServer) ownedCell(shard string) (*cell.Cell, error) {
	if c := p.vm.ownedCell(shard); c != nil {
		return c, nil
	}
	return nil, rcode.New(rcode.NotOwner, "%s does not own shard %s", p.vm.cfg.Name, shard)
}

// resultOf returns the code and message that a reply carries for err.
func resultOf(err error) (code, message string) {
	if err == nil {
		return string(rcode.OK), ""
	}
	return string(rcode.Of(err)), err.Error()
}

// Serve implements peer.DRPCPeerServer.
func (p *peerServer) Serve(ctx context.Context, in *peer.ServeRequest) (*peer.ServeReply, error) {
	p.vm.peerRequests.Add(1)
	defer p.vm.peerRequests.Add(-1)
	resp, err := p.handleServe(ctx, in)
	out := &peer.ServeReply{Status: int32(resp.Status()), ContentType: resp.ContentType(), Body: resp.Body()}
	out.Code, out.Message = resultOf(err)
	return out, nil
}

func (p *peerServer) handleServe(ctx context.Context, in *peer.ServeRequest) (route.Response, error) {
	var none route.Response
	c, err := p.ownedCell(in.GetShard())
	if err != nil {
		return none, err
	}
	b, err := p.vm.policies.FreshBundle(true)
	if err != nil {
		return none, err
	}
	q, err := b.Queue(in.GetQueue())
	if err != nil {
		return none, err
	}
	deadline := time.UnixMilli(in.GetDeadlineUnixMs())
	req := route.NewRequest(in.GetId(), policy.NewGrant(in.GetTeam(), in.GetKey()), q, deadline,
		route.WithCallerID(in.GetCallerId()), route.WithRepeatable(in.GetRepeatable()),
		route.WithPayload(in.GetMethod(), in.GetPath(), in.GetContentType(), in.GetBody()))
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return c.Do(callCtx, req)
}

// Submit implements peer.DRPCPeerServer.
func (p *peerServer) Submit(ctx context.Context, in *peer.SubmitRequest) (*peer.JobReply, error) {
	var rec jobs.Record
	if err := json.Unmarshal(in.GetJob(), &rec); err != nil {
		return jobReply(nil, rcode.Wrap(err, rcode.BadRequest, "cannot decode the job")), nil
	}
	c, err := p.ownedCell(in.GetShard())
	if err != nil {
		return jobReply(nil, err), nil
	}
	callCtx, cancel := context.WithDeadline(ctx, time.UnixMilli(in.GetAcceptUnixMs()))
	defer cancel()
	return jobReply(c.Submit(callCtx, &rec)), nil
}

func jobReply(rec *jobs.Record, err error) *peer.JobReply {
	out := &peer.JobReply{}
	out.Code, out.Message = resultOf(err)
	if err != nil {
		return out
	}
	body, err := json.Marshal(rec)
	if err != nil {
		out.Code, out.Message = resultOf(rcode.Wrap(err, rcode.Internal, "cannot encode the job"))
		return out
	}
	out.Job = body
	return out
}

// Job implements peer.DRPCPeerServer.
func (p *peerServer) Job(ctx context.Context, in *peer.JobRequest) (*peer.JobReply, error) {
	c, err := p.ownedCell(in.GetShard())
	if err != nil {
		return jobReply(nil, err), nil
	}
	var waitUntil time.Time
	if in.GetWaitUnixMs() > 0 {
		waitUntil = time.UnixMilli(in.GetWaitUnixMs())
	}
	return jobReply(c.Job(ctx, in.GetId(), in.GetTeam(), in.GetCancel(), waitUntil)), nil
}

// Offer implements peer.DRPCPeerServer.
func (p *peerServer) Offer(_ context.Context, in *peer.OfferRequest) (*peer.OfferReply, error) {
	out := &peer.OfferReply{}
	out.Code, out.Message = resultOf(p.handleOffer(in))
	return out, nil
}

func (p *peerServer) handleOffer(in *peer.OfferRequest) error {
	var rec jobs.Record
	if err := json.Unmarshal(in.GetJob(), &rec); err != nil {
		return rcode.Wrap(err, rcode.BadRequest, "cannot decode the job")
	}
	c, err := p.ownedCell(in.GetShard())
	if err != nil {
		return err
	}
	return c.AcceptOffer(&rec, in.GetHome(), toInts(in.GetMembers()), time.UnixMilli(in.GetStartByUnixMs()))
}

func toInts(members []int32) []int {
	out := make([]int, len(members))
	for i, m := range members {
		out[i] = int(m)
	}
	return out
}

// Tasks implements peer.DRPCPeerServer.
func (p *peerServer) Tasks(_ context.Context, in *peer.TasksRequest) (*peer.TasksReply, error) {
	out := &peer.TasksReply{}
	c, err := p.ownedCell(in.GetShard())
	if err != nil {
		out.Code, out.Message = resultOf(err)
		return out, nil
	}
	members := toInts(in.GetMembers())
	states, err := c.PollMembers(in.GetHome(), in.GetJob(), members, in.GetStop(), in.GetAck())
	out.Code, out.Message = resultOf(err)
	for _, m := range members {
		out.States = append(out.States, string(states[m]))
	}
	return out, nil
}

// Own implements peer.DRPCPeerServer.
func (p *peerServer) Own(_ context.Context, in *peer.OwnRequest) (*peer.OwnReply, error) {
	out := &peer.OwnReply{}
	body, err := p.handleOwn(in)
	out.Body = body
	out.Code, out.Message = resultOf(err)
	return out, nil
}

func (p *peerServer) handleOwn(in *peer.OwnRequest) ([]byte, error) {
	s := p.vm.shard(in.GetShard())
	if s == nil {
		return nil, rcode.New(rcode.NotOwner, "shard %s is unknown on this VM", in.GetShard())
	}
	switch in.GetKind() {
	case kindPromise:
		out, err := handleOwnerMessage(in.GetBody(), s.elector.Promise)
		if granted := in.GetAllotments(); err == nil && len(granted) > 0 {
			s.promisedAllotments.Store(&granted)
		}
		return out, err
	case kindRelease:
		return handleOwnerMessage(in.GetBody(), s.elector.Release)
	case kindConsent:
		return handleOwnerMessage(in.GetBody(), s.elector.Consent)
	}
	return nil, rcode.New(rcode.BadRequest, "unknown kind of ownership message %q", in.GetKind())
}

// handleOwnerMessage decodes a message, passes it to handle and encodes the reply.
func handleOwnerMessage[Q, R any](body []byte, handle func(Q) R) ([]byte, error) {
	var req Q
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, rcode.Wrap(err, rcode.BadRequest, "cannot decode the ownership message")
	}
	out, err := json.Marshal(handle(req))
	return out, rcode.Wrap(err, rcode.Internal, "cannot encode the reply to an ownership message")
}

// Yield implements peer.DRPCPeerServer.
func (p *peerServer) Yield(ctx context.Context, in *peer.YieldRequest) (*peer.YieldReply, error) {
	out := &peer.YieldReply{}
	c, err := p.ownedCell(in.GetShard())
	if err == nil {
		err = c.Yield(ctx, in.GetFrom(), in.GetTeam(), member.AmountFromProto(in.GetWant()))
	}
	out.Code, out.Message = resultOf(err)
	return out, nil
}

// Bundle implements peer.DRPCPeerServer.
func (p *peerServer) Bundle(_ context.Context, in *peer.BundleMessage) (*peer.BundleMessage, error) {
	return p.vm.policies.BundleNewerThan(in.GetVersion()), nil
}

// Handover implements peer.DRPCPeerServer. The state is used only if the ownership
// record names this VM as the owner afterwards.
func (p *peerServer) Handover(ctx context.Context, in *peer.HandoverRequest) (*peer.HandoverReply, error) {
	out := &peer.HandoverReply{}
	s := p.vm.shard(in.GetShard())
	if s == nil || p.vm.draining.Load() {
		out.Code, out.Message = resultOf(rcode.New(rcode.Draining, "%s accepts no shards", p.vm.cfg.Name))
		return out, nil
	}
	out.Code, out.Message = resultOf(nil)
	if in.GetDone() {
		p.vm.refreshRecords(ctx, s.dc)
		return out, nil
	}
	state := in.GetState()
	s.handoverState.Store(&state)
	return out, nil
}

var _ owner.Peers = (*ownerPeers)(nil)
