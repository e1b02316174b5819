package accept

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/engine"
	"limpethitch.example/entry/lead"
)

// peerAddrs returns up to maxCreatePeers addresses of other VMs that may reach the
// store: the owner first, then others in random order.
func (s *Service) peerAddrs() []string {
	owner, _ := s.cfg.Elector.Owner()
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := make([]string, 0, maxCreatePeers)
	for _, a := range []string{s.ownerHint.Addr, owner.Addr} {
		if a != "" && a != s.cfg.Self.Addr && !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	for _, i := range rand.Perm(len(s.members)) {
		if a := s.members[i]; a != s.cfg.Self.Addr && !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	return addrs[:min(len(addrs), maxCreatePeers)]
}

// maxMembers bounds the number of addresses kept, some of which may belong to VMs
// that no longer exist.
const maxMembers = 64

// AddMembers adds addresses of other VMs and drops those that were added longest
// ago beyond maxMembers.
func (s *Service) AddMembers(addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addrs {
		if i := slices.Index(s.members, a); i >= 0 {
			s.members = slices.Delete(s.members, i, i+1)
		}
		s.members = append(s.members, a)
	}
	s.members = slices.Delete(s.members, 0, max(0, len(s.members)-maxMembers))
}

// TakeoverDelay returns how long this VM waits before it tries to take over from a
// lost owner, so that VMs with more CPU go first. The owner lists members by CPU,
// those with the most first.
func (s *Service) TakeoverDelay() time.Duration {
	reply := s.ownerReply.Load()
	if reply == nil {
		if s.cfg.CPUMilli < lowCPUMilli {
			return unlistedDelay
		}
		return 0
	}
	switch i := slices.Index(reply.Members, s.cfg.Self.Addr); {
	case i < 0 || i >= reply.Candidates:
		return slowVMDelay
	case i >= firstCandidates:
		return candidateDelay
	default:
		return 0
	}
}

// MemberAddrs returns the addresses of the VMs that the owner listed last.
func (s *Service) MemberAddrs() []string {
	if reply := s.ownerReply.Load(); reply != nil {
		return reply.Members
	}
	return nil
}

// Standby reports whether this VM is among the standbys: the first VMs in the owner's list
// other than the owner itself.
func (s *Service) Standby() bool {
	reply := s.ownerReply.Load()
	if reply == nil {
		return false
	}
	owner, _ := s.cfg.Elector.Owner()
	return isStandby(reply.Members, owner.Addr, s.cfg.Self.Addr)
}

// isStandby reports whether self is among the first members other than the owner.
func isStandby(members []string, owner, self string) bool {
	others := slices.DeleteFunc(slices.Clone(members), func(a string) bool { return a == owner })
	return slices.Contains(others[:min(len(others), standbys)], self)
}

// ownerReplyTTL is how long after sending a hello that was answered the owner counts
// as reachable. While it does, the ownership record is read less often.
const ownerReplyTTL = 2 * helloInterval

// OwnerReachable reports whether the owner recently answered this VM.
func (s *Service) OwnerReachable() bool {
	reply := s.ownerReply.Load()
	return reply != nil && s.clk.Now().Sub(reply.sentAt) < ownerReplyTTL
}

// OwnerDecides reports whether an owner recently answered this VM that may decide. Jobs can
// then be stored and started, if need be through other VMs.
func (s *Service) OwnerDecides() bool {
	return s.OwnerReachable() && !s.ownerReply.Load().WithoutAuthority
}

const (
	// firstCandidates is the number of VMs that take over without a delay: those with
	// the most CPU.
	firstCandidates = 6
	// standbys is the number of VMs that watch the record closely. More than one, because
	// the first may be lost together with the owner.
	standbys = 2
	// candidateDelay is how long other VMs with enough CPU wait.
	candidateDelay = 500 * time.Millisecond
	// slowVMDelay is how long all others wait. A VM without enough CPU cannot carry the
	// load, so it takes over only if the VMs with more CPU would have done so long before,
	// whenever each of them last read the record.
	slowVMDelay = 2500 * time.Millisecond
	// unlistedDelay is how long a slow VM waits that has no list of members yet, for example
	// after all VMs were restarted.
	unlistedDelay = time.Second
	// lowCPUMilli is the CPU share below which a VM that has no list of members yet
	// assumes that others have more.
	lowCPUMilli = 300
)

// ownerTimeout bounds one call to the owner.
const ownerTimeout = 400 * time.Millisecond

// jobAtOwner returns a job's state from the owner. It retries until ctx ends, also
// across a change of the owner.
func (s *Service) jobAtOwner(ctx context.Context, id string) (engine.JobStatus, error) {
	err := error(rcode.New(rcode.NoOwner, "owner unknown"))
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		var status engine.JobStatus
		if _, self := s.cfg.Elector.Authority(); self {
			status, err = s.cfg.Local.Job(callCtx, id)
		} else if owner, ok := s.owner(); ok {
			status, err = s.cfg.Peers.Job(callCtx, owner.Addr, id)
		}
		cancel()
		if err == nil {
			return status, nil
		}
		select {
		case <-s.clk.After(retryDelay):
		case <-ctx.Done():
		}
	}
	return engine.JobStatus{}, err
}

// hintMinStoreAge is how long the store must not have answered this VM before the
// owner reported by another VM takes precedence over the record that was read last.
const hintMinStoreAge = time.Second

// owner returns the owner if it is another VM: as the ownership record names it, or
// as another VM reported it while this VM cannot read the record.
func (s *Service) owner() (lead.Holder, bool) {
	s.mu.Lock()
	hint := s.ownerHint
	s.mu.Unlock()
	if hint.Addr != "" && hint.Addr != s.cfg.Self.Addr && s.cfg.StoreAge() > hintMinStoreAge {
		return hint, true
	}
	holder, ok := s.cfg.Elector.Owner()
	return holder, ok && holder.Addr != s.cfg.Self.Addr
}

// helloInterval is the time between two hellos to the owner.
const helloInterval = 300 * time.Millisecond

// Run sends hellos to the owner until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.hello(ctx)
		select {
		case <-s.clk.After(helloInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// hello reports this VM to the owner and stores the owner's reply. If the owner
// does not answer, it looks for the current one.
func (s *Service) hello(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	start := s.clk.Now()
	req := s.helloRequest()
	var reply engine.HelloReply
	var err error
	owner, known := s.owner()
	switch _, self := s.cfg.Elector.Authority(); {
	case self:
		s.setOwnerHint(lead.Holder{})
		reply, err = s.cfg.Local.Hello(ctx, req)
	case known:
		reply, err = s.cfg.Peers.Hello(ctx, owner.Addr, req)
	default:
		err = rcode.New(rcode.NoOwner, "owner unknown")
	}
	if err != nil {
		s.cfg.Elector.CheckNow()
		s.findOwner(reply.Owner, req)
		return
	}
	s.ownerReply.Store(&ownerReply{HelloReply: reply, sentAt: start})
	s.updateLoad(reply, start)
	s.AddMembers(reply.Members)
	if reply.TransferOwnership {
		s.cfg.Elector.TransferRequested(owner)
	}
}

// helloRequest returns the hello of this VM.
func (s *Service) helloRequest() engine.HelloRequest {
	return engine.HelloRequest{From: s.cfg.Self, StoreAge: s.cfg.StoreAge(), CPUMilli: s.cfg.CPUMilli, ChecksRefusals: true}
}

// setOwnerHint sets the owner as reported by another VM; an empty holder clears it.
func (s *Service) setOwnerHint(h lead.Holder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Addr != s.ownerHint.Addr && h.Addr != "" {
		s.log.Info("owner reported by another VM", zap.String("owner", h.Name), zap.String("addr", h.Addr))
	}
	s.ownerHint = h
}

// findOwner looks for the owner after a hello that the owner did not answer. reported
// is the owner that the called VM named, if any; without it, one other VM is asked.
func (s *Service) findOwner(reported lead.Holder, req engine.HelloRequest) {
	s.setOwnerHint(lead.Holder{})
	if reported.Addr != "" && reported.Addr != s.cfg.Self.Addr {
		s.setOwnerHint(reported)
		return
	}
	peerAddrs := s.peerAddrs()
	if len(peerAddrs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	// The recorded owner comes first; the last address is another VM if one is known.
	addr := peerAddrs[len(peerAddrs)-1]
	reply, err := s.cfg.Peers.Hello(ctx, addr, req)
	switch {
	case err == nil:
		s.setOwnerHint(lead.Holder{Addr: addr})
	case reply.Owner.Addr != "":
		s.setOwnerHint(reply.Owner)
	}
}

// notifyOwner sends the owner a key that was just created. A lost message only costs
// time, because the owner also watches the store.
func (s *Service) notifyOwner(key string, raw []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	if _, self := s.cfg.Elector.Authority(); self {
		_ = s.cfg.Local.Deliver(ctx, key, raw) // an owner that is still loading reads the key from the store
		return
	}
	owner, ok := s.owner()
	if !ok {
		return
	}
	if err := s.cfg.Peers.Deliver(ctx, owner.Addr, key, raw); err != nil {
		s.log.Debug("failed to notify the owner", append(logs.Err(err), zap.String("key", key))...)
	}
}
