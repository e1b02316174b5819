package serve

import (
	"context"
	"encoding/hex"
	"encoding/json"
	mrand "math/rand"
	"sync/atomic"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/cell"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/peer"
	"limpethitch.example/entry/roll"
	"limpethitch.example/entry/route"
)

const (
	// maxShardAttempts bounds the shards that a repeatable request is sent to after
	// attempts whose outcome is unknown. Requests that are not repeatable are sent again
	// only after an error that rules out that they ran.
	maxShardAttempts = 4
	// ownerRetryDelay is the delay before a shard without an owner is tried again.
	ownerRetryDelay = 100 * time.Millisecond
	// replyMargin is how long after a request's deadline the reply of another VM may
	// still arrive.
	replyMargin = 200 * time.Millisecond
)

// FreshPolicy implements front.VM.
func (v *VM) FreshPolicy(open bool) (*policy.Bundle, error) { return v.policies.FreshBundle(open) }

// LatestPolicy implements front.VM.
func (v *VM) LatestPolicy() *policy.Bundle { return v.policies.Current() }

// Policies implements front.VM.
func (v *VM) Policies() *roll.Manager { return v.policies }

// Ready implements front.VM.
func (v *VM) Ready() error {
	switch {
	case v.draining.Load():
		return rcode.New(rcode.Draining, "this VM is shutting down")
	case v.policies.Current() == nil:
		return rcode.New(rcode.NoPolicy, "this VM has no policy bundle yet")
	case v.layouts.get() == nil:
		return rcode.New(rcode.NoOwner, "the shard layout is not known yet")
	}
	return nil
}

// homeShard returns the shard that detects duplicates of an id.
func (v *VM) homeShard(team, id string) (string, error) {
	l := v.layouts.get()
	if l == nil {
		return "", rcode.New(rcode.NoOwner, "the shard layout is not known yet")
	}
	return l.homeShard(team + "/" + id), nil
}

// Route implements front.VM. A request that has a caller's id and is not repeatable goes
// to the home shard of its id; all others go to any shard.
func (v *VM) Route(ctx context.Context, req route.Request) (route.Response, error) {
	if !req.HasCallerID() || req.Repeatable() {
		return v.Dispatch(ctx, req)
	}
	home, err := v.homeShard(req.Grant().Team(), req.ID())
	if err != nil {
		return route.Response{}, err
	}
	for {
		resp, err := v.routeToShard(ctx, home, req)
		if !isOwnerUnavailable(err) || !v.waitBeforeRetry(ctx) {
			return resp, err
		}
	}
}

// isOwnerUnavailable reports whether an error only means that the shard has no
// reachable owner at the moment.
func isOwnerUnavailable(err error) bool {
	switch rcode.Of(err) {
	case rcode.NotOwner, rcode.NoOwner, rcode.PeerUnreachable, rcode.Draining:
		return true
	}
	return false
}

// waitBeforeRetry returns false if ctx ends before ownerRetryDelay has passed.
func (v *VM) waitBeforeRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-v.clk.After(ownerRetryDelay):
		return true
	}
}

// routeToShard runs a request on the given shard, here or on another VM.
func (v *VM) routeToShard(ctx context.Context, shard string, req route.Request) (route.Response, error) {
	if c := v.ownedCell(shard); c != nil {
		return c.Do(ctx, req)
	}
	owner, ok := v.members.Owner(shard)
	if !ok {
		return route.Response{}, rcode.New(rcode.NoOwner, "shard %s has no known owner", shard)
	}
	return v.routeToVM(ctx, owner.Addr(), shard, req)
}

// routeToVM sends a request to the VM that owns the shard.
func (v *VM) routeToVM(ctx context.Context, addr, shard string, req route.Request) (route.Response, error) {
	if !req.Deadline().After(v.clk.Wall()) {
		return route.Response{}, rcode.New(rcode.DeadlinePassed, "the deadline passed before the request was sent")
	}
	callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline().Add(replyMargin))
	defer cancel()
	reply, err := v.peerClient.Serve(callCtx, addr, &peer.ServeRequest{
		Shard: shard, Id: req.ID(), CallerId: req.HasCallerID(), Team: req.Grant().Team(), Key: req.Grant().Key(),
		Queue: req.Queue().Name(), DeadlineUnixMs: req.Deadline().UnixMilli(), Repeatable: req.Repeatable(),
		Method: req.Method(), Path: req.Path(), ContentType: req.ContentType(), Body: req.Body(),
	})
	if err != nil {
		return route.Response{}, err
	}
	if err := replyError(reply.GetCode(), reply.GetMessage()); err != nil {
		return route.Response{}, err
	}
	return route.NewResponse(req.ID(), int(reply.GetStatus()), reply.GetContentType(), reply.GetBody()), nil
}

// retryBudget limits the retries of requests whose outcome at another VM is unknown to
// a share of all requests.
type retryBudget struct{ attempts, retries atomic.Int64 }

const (
	// attemptsPerRetry is how many first attempts allow one retry.
	attemptsPerRetry = 10
	// minRetries are allowed regardless of the number of attempts, for low load.
	minRetries = 16
)

// allow reports whether a retry is within the budget, and counts it.
func (b *retryBudget) allow() bool {
	if b.retries.Load()*attemptsPerRetry > b.attempts.Load()+minRetries*attemptsPerRetry {
		return false
	}
	b.retries.Add(1)
	return true
}

// Dispatch runs a request on any shard: at most once, unless the request is
// repeatable.
func (v *VM) Dispatch(ctx context.Context, req route.Request) (route.Response, error) {
	v.retryBudget.attempts.Add(1)
	attempted := map[string]bool{}
	last := rcode.New(rcode.NoOwner, "no shard in service has a known owner")
	for {
		shard, ok := v.chooseShard(attempted)
		if !ok {
			clear(attempted)
			if !v.waitBeforeRetry(ctx) {
				return route.Response{}, last
			}
			continue
		}
		attempted[shard] = true
		resp, err := v.routeToShard(ctx, shard, req)
		if err == nil {
			return resp, nil
		}
		if last = worse(last, err); !v.canReroute(req, err, len(attempted)) {
			return resp, last
		}
	}
}

// worse returns the error to report after a further attempt. Once the work may have
// run, a later error of the kind "not run" must not replace that outcome.
func worse(before, now error) error {
	if c := rcode.Of(before); c.NotRun() {
		return now
	}
	if rcode.Of(now).NotRun() {
		return before
	}
	return now
}

// canReroute reports whether a failed request may be sent to another shard.
func (v *VM) canReroute(req route.Request, err error, attempted int) bool {
	code := rcode.Of(err)
	if !req.Deadline().After(v.clk.Wall()) {
		return false
	}
	switch code {
	case rcode.NotOwner, rcode.NoOwner, rcode.PeerUnreachable, rcode.Draining, rcode.DataCentreOutOfService, rcode.OverLimit:
		return true
	case rcode.QueueFull, rcode.DeadlineUnmet, rcode.NoCapacity, rcode.BackendRefused:
		return attempted < 2
	case rcode.OutcomeUnknown, rcode.AnswerIncomplete, rcode.AnswerMismatched:
		return req.Repeatable() && attempted < maxShardAttempts && v.retryBudget.allow()
	}
	return false
}

// Ranks of the shards for a request, best first. Shards with free slots come before
// those without; within both groups this VM's come first, then those of its data
// centre.
const (
	rankLocalFree = iota
	rankSameDCFree
	rankRemoteFree
	rankLocal
	rankSameDC
	rankRemote
)

// chooseShard returns the shard of the best rank for a request. Among shards of one
// rank it prefers free slots and short queues, and decides ties at random.
func (v *VM) chooseShard(attempted map[string]bool) (string, bool) {
	b := v.policies.Current()
	if b == nil {
		return "", false
	}
	best, bestRank, bestScore := "", rankRemote+1, 0
	consider := func(name string, local bool, slots, waiting int) {
		dc, _ := splitShard(name)
		if attempted[name] || !b.InService(dc) {
			return
		}
		rank := rankRemote
		switch {
		case local:
			rank = rankLocal
		case dc == v.cfg.DataCentre:
			rank = rankSameDC
		}
		score := slots*8 - waiting
		if slots > 0 {
			rank -= rankLocal - rankLocalFree
		}
		if rank < bestRank || (rank == bestRank && (score > bestScore || (score == bestScore && mrand.Intn(2) == 0))) {
			best, bestRank, bestScore = name, rank, score
		}
	}
	local := map[string]bool{}
	for _, s := range v.ownedShards() {
		if c := v.ownedCell(s.name); c != nil {
			sum := c.RequestLoad()
			local[s.name] = true
			consider(s.name, true, sum.Slots(), sum.Waiting())
		}
	}
	for _, s := range v.members.Shards() {
		if !local[s.Name()] {
			consider(s.Name(), false, s.FreeSlots(), s.Waiting())
		}
	}
	return best, best != ""
}

// Submit implements front.VM. It retries until acceptBy while the home shard has no
// owner. After a lost reply it submits the same id again, which finds a job that was
// already accepted.
func (v *VM) Submit(ctx context.Context, rec *jobs.Record, acceptBy time.Time) (*jobs.Record, error) {
	if v.draining.Load() {
		return nil, rcode.New(rcode.Draining, "this VM is shutting down")
	}
	if rec.ID == "" {
		if err := v.assignID(rec); err != nil {
			return nil, err
		}
	}
	home, err := v.homeShard("", rec.ID)
	if err != nil {
		return nil, err
	}
	mayBeAccepted := false
	for {
		accepted, err := v.submitToShard(ctx, home, rec, acceptBy)
		if err == nil {
			return accepted, nil
		}
		code := rcode.Of(err)
		mayBeAccepted = mayBeAccepted || code == rcode.OutcomeUnknown || code == rcode.AcceptUnknown
		retry := isOwnerUnavailable(err) || code == rcode.OutcomeUnknown
		if retry && v.clk.Wall().Before(acceptBy) && v.waitBeforeRetry(ctx) {
			continue
		}
		if mayBeAccepted {
			return nil, rcode.Wrap(err, rcode.AcceptUnknown, "job %s", rec.ID)
		}
		return nil, err
	}
}

// assignID draws random ids until the home shard is one of this VM's or, if it owns
// none that accepts jobs, one with a known owner.
func (v *VM) assignID(rec *jobs.Record) error {
	candidates := map[string]bool{}
	for _, s := range v.ownedShards() {
		if c := v.ownedCell(s.name); c != nil && c.AcceptsJobs() {
			candidates[s.name] = true
		}
	}
	if len(candidates) == 0 {
		for _, s := range v.members.Shards() {
			candidates[s.Name()] = true
		}
	}
	if len(candidates) == 0 {
		return rcode.New(rcode.NoOwner, "no shard has a known owner")
	}
	for range 4096 {
		var b [15]byte
		for i := range b {
			b[i] = byte(mrand.Intn(256))
		}
		id := "s" + hex.EncodeToString(b[:])
		if home, err := v.homeShard("", id); err != nil || candidates[home] {
			rec.ID = id
			return err
		}
	}
	return rcode.New(rcode.NoOwner, "no home shard has a known owner")
}

func (v *VM) submitToShard(ctx context.Context, home string, rec *jobs.Record, acceptBy time.Time) (*jobs.Record, error) {
	callCtx, cancel := context.WithTimeout(ctx, acceptBy.Sub(v.clk.Wall()))
	defer cancel()
	if c := v.ownedCell(home); c != nil {
		return c.Submit(callCtx, rec.Clone())
	}
	owner, ok := v.members.Owner(home)
	if !ok {
		return nil, rcode.New(rcode.NoOwner, "shard %s has no known owner", home)
	}
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "cannot encode the job")
	}
	replyCtx, stop := context.WithTimeout(ctx, acceptBy.Sub(v.clk.Wall())+replyMargin)
	defer stop()
	reply, err := v.peerClient.Submit(replyCtx, owner.Addr(), &peer.SubmitRequest{Shard: home, Job: body, AcceptUnixMs: acceptBy.UnixMilli()})
	return decodeJobReply(reply, err)
}

func decodeJobReply(reply *peer.JobReply, err error) (*jobs.Record, error) {
	if err != nil {
		return nil, err
	}
	if err := replyError(reply.GetCode(), reply.GetMessage()); err != nil {
		return nil, err
	}
	var rec jobs.Record
	if err := json.Unmarshal(reply.GetJob(), &rec); err != nil {
		return nil, rcode.Wrap(err, rcode.OutcomeUnknown, "cannot decode the job")
	}
	return &rec, nil
}

// Job implements front.VM.
func (v *VM) Job(ctx context.Context, id, team string, cancel bool, waitUntil time.Time) (*jobs.Record, error) {
	home, err := v.homeShard("", id)
	if err != nil {
		return nil, err
	}
	retryUntil := v.clk.Now().Add(10 * time.Second)
	for {
		rec, err := v.jobFromShard(ctx, home, id, team, cancel, waitUntil)
		if !isOwnerUnavailable(err) || v.clk.Now() > retryUntil || !v.waitBeforeRetry(ctx) {
			return rec, err
		}
	}
}

func (v *VM) jobFromShard(ctx context.Context, home, id, team string, cancel bool, waitUntil time.Time) (*jobs.Record, error) {
	if c := v.ownedCell(home); c != nil {
		return c.Job(ctx, id, team, cancel, waitUntil)
	}
	owner, ok := v.members.Owner(home)
	if !ok {
		return nil, rcode.New(rcode.NoOwner, "shard %s has no known owner", home)
	}
	req := &peer.JobRequest{Shard: home, Id: id, Team: team, Cancel: cancel}
	if !waitUntil.IsZero() {
		req.WaitUnixMs = waitUntil.UnixMilli()
	}
	return decodeJobReply(v.peerClient.Job(ctx, owner.Addr(), req))
}

// remoteShards implements cell.RemoteShards.
type remoteShards struct{ vm *VM }

// Dispatch implements cell.RemoteShards.
func (r *remoteShards) Dispatch(ctx context.Context, req route.Request) (route.Response, error) {
	return r.vm.Dispatch(ctx, req.WithoutCallerID())
}

// Pick implements cell.RemoteShards. It returns the shard with the most free CPU among those
// with free capacity for all members of a gang, or for one member of another job.
func (r *remoteShards) Pick(size amount.Vec, members int, gang bool, exclude string) (string, bool) {
	b := r.vm.policies.Current()
	if b == nil {
		return "", false
	}
	required := size
	for i := 1; gang && i < members; i++ {
		required = required.Add(size)
	}
	best, maxFreeCPU := "", int64(-1)
	consider := func(name string, free amount.Vec) {
		dc, _ := splitShard(name)
		if name != exclude && b.InService(dc) && required.Fits(free) && free.CPUMilli() > maxFreeCPU {
			best, maxFreeCPU = name, free.CPUMilli()
		}
	}
	for _, s := range r.vm.ownedShards() {
		if c := r.vm.ownedCell(s.name); c != nil {
			consider(s.name, c.Summary().Free())
		}
	}
	for _, s := range r.vm.members.Shards() {
		consider(s.Name(), s.Free())
	}
	return best, best != ""
}

// Offer implements cell.RemoteShards.
func (r *remoteShards) Offer(ctx context.Context, shard, home string, rec *jobs.Record, members []int, startBy time.Time) error {
	if c := r.vm.ownedCell(shard); c != nil {
		return c.AcceptOffer(rec, home, members, startBy)
	}
	owner, ok := r.vm.members.Owner(shard)
	if !ok {
		return rcode.New(rcode.NoOwner, "shard %s has no known owner", shard)
	}
	body, err := json.Marshal(rec)
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "cannot encode the job")
	}
	reply, err := r.vm.peerClient.Offer(ctx, owner.Addr(), &peer.OfferRequest{
		Shard: shard, Home: home, Job: body, Members: toInt32s(members), StartByUnixMs: startBy.UnixMilli(),
	})
	if err != nil {
		return err
	}
	return replyError(reply.GetCode(), reply.GetMessage())
}

// Poll implements cell.RemoteShards.
func (r *remoteShards) Poll(ctx context.Context, shard, home, job string, members []int, stop, ack bool) (map[int]cell.MemberState, error) {
	if c := r.vm.ownedCell(shard); c != nil {
		return c.PollMembers(home, job, members, stop, ack)
	}
	owner, ok := r.vm.members.Owner(shard)
	if !ok {
		return nil, rcode.New(rcode.NoOwner, "shard %s has no known owner", shard)
	}
	reply, err := r.vm.peerClient.Tasks(ctx, owner.Addr(), &peer.TasksRequest{
		Shard: shard, Home: home, Job: job, Members: toInt32s(members), Stop: stop, Ack: ack,
	})
	if err != nil {
		return nil, err
	}
	if err := replyError(reply.GetCode(), reply.GetMessage()); err != nil {
		return nil, err
	}
	out := make(map[int]cell.MemberState, len(members))
	for i, s := range reply.GetStates() {
		if i < len(members) {
			out[members[i]] = cell.MemberState(s)
		}
	}
	return out, nil
}

func toInt32s(members []int) []int32 {
	out := make([]int32, len(members))
	for i, m := range members {
		out[i] = int32(m)
	}
	return out
}
