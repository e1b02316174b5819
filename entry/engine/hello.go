package engine

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/lead"
)

// HelloRequest is the message that a VM sends to the owner regularly.
type HelloRequest struct {
	From lead.Holder
	// StoreAge is the time since the store last answered the VM.
	StoreAge time.Duration
	// CPUMilli is the VM's share of the CPU in thousandths of a core.
	CPUMilli int64
	// ChecksRefusals is whether the VM stores a job only if it was not refused since the
	// request came. A VM of an earlier build does not.
	ChecksRefusals bool
}

// CreateRequest asks a VM to create a key in the store for a VM that cannot reach it.
type CreateRequest struct {
	Key   string
	Value []byte
	// Host, Path and APIKey are those of the caller's request, and RulesVersion is the
	// version of the configuration that it was checked against, or 0 from a VM of an earlier
	// build. A VM that cannot reach the store may have missed a later version.
	Host, Path, APIKey string
	RulesVersion       int64
	// RefusalRevision is the revision of the job's refusal that the request came after, or
	// 0: the key is created only if the job was not refused since.
	RefusalRevision int64
}

// HelloReply is the reply to a HelloRequest.
type HelloReply struct {
	// Name is the name of the incarnation that replied, owner or not.
	Name string
	// Owner is the owner as known to a VM that is not the owner itself. It comes with an
	// error of code rcode.NotOwner; the owner leaves it empty.
	Owner lead.Holder
	// Waiting is the number of jobs that wait for their first start, by queue.
	Waiting map[string]int
	// Members are the addresses of the VMs that the owner knows, those with the most CPU
	// first and at most maxListedMembers. The first Candidates of them have enough CPU to
	// be the owner.
	Members    []string
	Candidates int
	// WithoutAuthority says that the owner may not decide at present, because it has not
	// renewed its record. That may be an outage of the store, or a partition that both VMs
	// are in.
	WithoutAuthority bool
	// TransferOwnership asks the other VM to take over, because the store answers that
	// VM but not the owner.
	TransferOwnership bool
	// Load describes the load of overloaded services; nil if none is, or if a VM does not
	// check refusals.
	Load *admit.Figures
}

const (
	// transferAfter is how long the store must have been unreachable from the owner
	// before the owner transfers ownership. recentStoreContact is how recently it must
	// have answered the VM that takes over.
	transferAfter      = 600 * time.Millisecond
	recentStoreContact = 500 * time.Millisecond
	// minStreak is how long the store must have answered other VMs without a break.
	// After an outage for all VMs it answers the owner as soon as the others, except
	// that a call which the owner sent during the outage may first have to time out.
	minStreak = 1300 * time.Millisecond
	// maxStreakGap is the longest time between two hellos of a streak.
	maxStreakGap = 700 * time.Millisecond
	// transferRetryDelay is how long a VM that was asked to take over has time to do so
	// before the owner asks again.
	transferRetryDelay = 800 * time.Millisecond
)

// contactStreak is an unbroken period in which other VMs report that the store answers
// them.
type contactStreak struct{ since, last clock.Mono }

// observe records a hello of a VM that the store answered storeAge ago.
func (s *contactStreak) observe(now clock.Mono, storeAge time.Duration) {
	if storeAge >= recentStoreContact {
		return
	}
	if s.since == 0 || now.Sub(s.last) > maxStreakGap {
		s.since = now
	}
	s.last = now
}

// sustained reports whether the streak has lasted for minStreak.
func (s *contactStreak) sustained(now clock.Mono) bool {
	return s.since != 0 && now.Sub(s.last) <= maxStreakGap && now.Sub(s.since) >= minStreak
}

// maxListedMembers bounds the reply to a hello, which each VM receives several times a
// second.
const maxListedMembers = 32

// Hello records that another VM is reachable and replies with what the owner knows. An
// owner that is still loading its state only records the VM.
func (e *Engine) Hello(ctx context.Context, req HelloRequest) (HelloReply, error) {
	var reply HelloReply
	err := e.callTerm(ctx, func(t *term) bool {
		e.updateMember(req.From, req.CPUMilli)
		e.members[req.From.Name].checksRefusals = req.ChecksRefusals
		if !t.ready {
			return false
		}
		reply.Waiting = t.countWaitingJobs(e.clk.Now())
		reply.Members, reply.Candidates = e.listMembers()
		reply.TransferOwnership = e.shouldTransferTo(t, req)
		_, authority := e.cfg.Elector.Authority()
		reply.WithoutAuthority = !authority
		if authority {
			reply.Load = e.loadFigures(t)
		}
		return true
	})
	if err != nil {
		return HelloReply{}, err // the loop may still write reply
	}
	return reply, nil
}

// listMembers returns the addresses of the members with the most CPU, and how many of them
// have enough CPU to be the owner.
func (e *Engine) listMembers() (addrs []string, candidates int) {
	members := e.membersByCPU()
	for _, m := range members[:min(len(members), maxListedMembers)] {
		addrs = append(addrs, m.Addr)
		if e.hasEnoughCPU(m.cpuMilli) {
			candidates++
		}
	}
	return addrs, candidates
}

const (
	// resignCPUFactor is how many times the owner's CPU another VM must have for a
	// healthy owner to resign in its favour.
	resignCPUFactor = 1.5
	// minCPUShare is the share of the largest VM's CPU that a VM must have to be asked
	// to take over.
	minCPUShare = 0.75
	// transferToAnyAfter is how long an owner must have been without the store before it
	// also asks a VM with less CPU.
	transferToAnyAfter = 2500 * time.Millisecond
	// minTermBeforeResign is how long a term lasts at least before the owner resigns in
	// favour of a VM with more CPU.
	minTermBeforeResign = 2 * time.Second
)

// hasEnoughCPU reports whether a VM's CPU is at least minCPUShare of the largest VM's.
func (e *Engine) hasEnoughCPU(cpuMilli int64) bool {
	maxCPU := e.cfg.CPUMilli
	for _, m := range e.members {
		maxCPU = max(maxCPU, m.cpuMilli)
	}
	return float64(cpuMilli) >= minCPUShare*float64(maxCPU)
}

// shouldTransferTo reports whether to ask the VM that sent the hello to take over,
// because the store answers that VM but not the owner.
func (e *Engine) shouldTransferTo(t *term, req HelloRequest) bool {
	now := e.clk.Now()
	if req.From.Name == e.cfg.Self.Name {
		return false
	}
	t.peerStoreContact.observe(now, req.StoreAge)
	if !t.peerStoreContact.sustained(now) || req.StoreAge >= recentStoreContact || now.Sub(t.transferRequestedAt) < transferRetryDelay {
		return false
	}
	if e.cfg.StoreAge() <= transferAfter || !e.cfg.Elector.RenewalOverdue(transferAfter) ||
		!e.hasEnoughCPU(req.CPUMilli) && !e.cfg.Elector.RenewalOverdue(transferToAnyAfter) {
		return false
	}
	t.transferRequestedAt = now
	e.log.Warn("asking another VM to take over, the store is unreachable", zap.String("vm", req.From.Name),
		zap.Int64("store_age_ms", e.cfg.StoreAge().Milliseconds()))
	return true
}

// resignToFasterVM resigns if another VM has far more CPU, also while the state is still
// loading, which takes a slow VM longest. It does not ask that VM to take over in the reply to
// its hello, because an owner that is short of CPU replies too late.
func (e *Engine) resignToFasterVM(t *term) {
	if e.clk.Now().Sub(t.begunAt) < minTermBeforeResign {
		return
	}
	for _, m := range e.members {
		// A CPU share of 0 is not known.
		if m.cpuMilli > 0 && e.cfg.CPUMilli > 0 && float64(m.cpuMilli) >= resignCPUFactor*float64(e.cfg.CPUMilli) &&
			e.clk.Now().Sub(m.lastHelloAt) < memberTimeout {
			e.log.Info("resigning in favour of a VM with more CPU", zap.String("vm", m.Name), zap.Int64("cpu_milli", m.cpuMilli))
			e.cfg.Elector.Resign()
			return
		}
	}
}

// waitingJobsCacheTime is how long the counts of waiting jobs are reused.
const waitingJobsCacheTime = 300 * time.Millisecond

// countWaitingJobs returns the number of jobs that wait for their first start, by
// queue. It may be up to waitingJobsCacheTime old.
func (t *term) countWaitingJobs(now clock.Mono) map[string]int {
	if t.waitingJobs == nil || now.Sub(t.waitingJobsAt) > waitingJobsCacheTime {
		t.waitingJobs, t.waitingJobsAt = t.state.Pending(), now
	}
	return t.waitingJobs
}

// loadFigures returns the load of overloaded services, or nil if none is or if a VM does not
// check refusals. It may be up to waitingJobsCacheTime old.
func (e *Engine) loadFigures(t *term) *admit.Figures {
	now := e.clk.Now()
	if t.loadAt == 0 || now.Sub(t.loadAt) > waitingJobsCacheTime {
		t.load, t.loadAt = t.state.Backlog(), now
	}
	if t.load == nil {
		return nil
	}
	figures := *t.load
	figures.Owner = e.cfg.Self.Name
	for _, m := range e.members {
		switch {
		case now.Sub(m.lastHelloAt) > memberTimeout:
		case !m.checksRefusals && m.Name != e.cfg.Self.Name:
			return nil
		default:
			figures.VMs++
		}
	}
	return &figures
}
