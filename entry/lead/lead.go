// Package lead elects the owner, the one VM that schedules tasks on all workers of a
// platform.
//
// # Usage
//
//	e := lead.New(lead.Config{Store: st, Self: lead.Holder{VM: "vm1", Name: "vm1-7f3a", Addr: "10.1.0.17:7420"}}, clk, log)
//	go e.Run(ctx)
//	if term, ok := e.Authority(); ok { ... }
//
// The store holds one ownership record, which is changed only by compare-and-swap on
// its revision. The owner renews it several times a second. Another VM takes over
// after it has read the same revision for TakeoverAfter, measured on its own clock and
// while the store answered it without a break. So an outage of the store for all VMs
// does not change the owner. A VM takes over sooner if the record is released, if the
// owner asks it to take over, if another incarnation answers at the owner's address, or
// if nothing listens there and a renewal is overdue.
//
// Safety does not depend on these times: the fencing token and the conditions on
// TermKey keep a former owner from acting. The owner's authority ends
// AuthorityDuration after it sent its last successful renewal, which is before another
// VM takes over without evidence from a probe or a request of the owner. Clocks in this
// package include the time during which a VM is suspended.
package lead

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
)

const (
	// RecordKey is the key of the ownership record.
	RecordKey = "owner/record"
	// TermKey changes only at a takeover. Writes that only the owner may make are
	// conditional on its revision, which is the term's token.
	TermKey = "owner/term"
)

const (
	// AuthorityDuration is how long after a renewal the owner may make decisions.
	AuthorityDuration = 1300 * time.Millisecond
	// LeaseAuthorityDuration is how long after a renewal the owner may extend the leases
	// of workers. This keeps runs alive but starts none.
	LeaseAuthorityDuration = 8 * time.Second
	// TakeoverAfter is how long the record must be unchanged before another VM takes
	// over: AuthorityDuration, 2% for clock drift and a margin for messages in flight.
	TakeoverAfter = 1500 * time.Millisecond

	// refusedTakeoverAfter replaces TakeoverAfter if nothing listens at the owner's
	// address: the time of one missed renewal.
	refusedTakeoverAfter = 500 * time.Millisecond
	// outageTakeoverAfter is how long after an outage of the store an owner that does
	// not answer has time to renew, if its authority ended during the outage.
	outageTakeoverAfter = 700 * time.Millisecond
	probeTimeout        = 300 * time.Millisecond

	// formersEndTime is how long after a takeover every former owner's lease authority has ended:
	// LeaseAuthorityDuration and 3% for clock drift.
	formersEndTime = LeaseAuthorityDuration * 103 / 100

	renewInterval = 400 * time.Millisecond
	// renewRetryDelay is the pause after a renewal that failed.
	renewRetryDelay = 50 * time.Millisecond
	// reachableReadInterval replaces readInterval, the time between two reads of the
	// record, while the owner answers this VM.
	reachableReadInterval = 900 * time.Millisecond
	readInterval          = 300 * time.Millisecond
	// standbyReadInterval is the time between two reads of a standby, which measures the
	// age of the record from its first sight of it.
	standbyReadInterval = 200 * time.Millisecond
	// maxContactGap is the longest time between two answers of the store that still
	// counts as unbroken contact.
	maxContactGap = 1600 * time.Millisecond
	// minCallTimeout is the timeout of a call to the store. It doubles with each call
	// that times out, up to maxCallTimeout, so that a slow store does not change the
	// owner.
	minCallTimeout = 400 * time.Millisecond
	maxCallTimeout = 1200 * time.Millisecond
	// resignBackoff is how long a VM that resigned does not take over again.
	resignBackoff = 3 * time.Second
	// releaseRetryDelay is the pause after a release that was not stored.
	releaseRetryDelay = 100 * time.Millisecond
)

// Holder identifies an incarnation of a VM and the address at which other VMs reach it.
type Holder struct {
	VM   string `json:"vm"`
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// record is the stored ownership record.
type record struct {
	Holder Holder `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Renewals rises with each renewal, so that a renewal whose reply was lost can be
	// recognised when the record is read.
	Renewals int64 `json:"beat"`
	// Released is set if the holder gave up ownership; another VM may take over
	// immediately.
	Released bool `json:"released,omitempty"`
	// LeaseNotesSince is the value of Term.LeaseNotesSince. Builds that do not keep to lease
	// notes write records without it.
	LeaseNotesSince int64 `json:"lease_notes_since,omitempty"`
	// FormersEnded is set once no owner before the holder extends leases any more. Builds that
	// do not know of it write records without it.
	FormersEnded bool `json:"formers_ended,omitempty"`
}

// Term is one uninterrupted period of ownership.
type Term struct {
	epoch int64
	token int64

	leaseNotesSince int64
	formersEnded    bool
}

// Epoch returns the number of the term, which rises with each takeover.
func (t Term) Epoch() int64 { return t.epoch }

// Token is the fencing token: the store's revision of the takeover, which is also
// the revision of TermKey.
func (t Term) Token() int64 { return t.token }

// LeaseNotesSince returns the first epoch of the unbroken sequence of terms, up to this
// one, whose owners keep to the lease notes in the journal. Notes of earlier terms do not
// count, because an owner in between may have extended any lease.
func (t Term) LeaseNotesSince() int64 { return t.leaseNotesSince }

// FormersEnded reports whether no former owner can have sent an order since this term's takeover.
// Otherwise one that cannot reach the store may extend leases for LeaseAuthorityDuration.
func (t Term) FormersEnded() bool { return t.formersEnded }

// ProbeResult is the result of a probe of the owner's address.
type ProbeResult string

// Results of a probe.
const (
	// ProbeInconclusive means that nothing is known, for example after a timeout.
	ProbeInconclusive ProbeResult = "none"
	// ProbeAlive means that the holder of the record answered.
	ProbeAlive ProbeResult = "alive"
	// ProbeReplaced means that another incarnation answered.
	ProbeReplaced ProbeResult = "replaced"
	// ProbeRefused means that the connection was refused.
	ProbeRefused ProbeResult = "refused"
)

// Prober probes the address of the record's holder.
type Prober interface {
	Probe(ctx context.Context, holder, self Holder) ProbeResult
}

// Config holds the settings of an Elector.
type Config struct {
	Store store.Store
	Self  Holder
	// Prober probes the owner when a renewal is overdue. It may be nil.
	Prober Prober
	// OwnerReachable reports whether the owner has recently answered this VM; the record
	// is then read less often. Nil means that it has not.
	OwnerReachable func() bool
	// TakeoverDelay returns how much longer than the other VMs this VM waits before it
	// takes over, unless the owner asks it to. Nil means no delay.
	TakeoverDelay func() time.Duration
	// Standby reports whether this VM is among the first to take over, so that it reads the
	// record often. Nil means that it is not.
	Standby func() bool
	// Eligible reports whether this VM may take over now. Nil means that it may.
	Eligible func() bool
}

// Elector holds or watches the ownership record. It is safe for concurrent use.
type Elector struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	mu  sync.Mutex
	rec record
	rev int64
	// unchangedSince is from when on rev has been unchanged without a break in contact
	// with the store.
	unchangedSince clock.Mono
	// revSeenAt is when rev was first read, whether or not contact broke since then.
	revSeenAt     clock.Mono
	lastContactAt clock.Mono // last answer of the store
	term          Term
	isOwner       bool
	renewedAt     clock.Mono // just before the last successful renewal was sent
	takenOverAt   clock.Mono // just before this VM's last takeover was sent
	released      bool       // this VM gave up ownership for good
	// transferFrom is the address of the holder that asked this VM to take over.
	transferFrom string
	// callTimeout is the timeout of the next call to the store; used only by Run.
	callTimeout time.Duration
	writeFailed bool // the last write of the record failed; used only by Run
	changed     chan struct{}
	checkNow    chan struct{}
	// A value in releaseRequests has Run write the release, after which it closes
	// releaseDone.
	releaseRequests, releaseDone chan struct{}
	releaseDoneOnce              sync.Once
	releasing                    bool // the release is not stored yet; used only by Run
	// takeoverBlockedUntil is when a VM that resigned may take over again.
	takeoverBlockedUntil clock.Mono
}

// New returns an Elector. It does nothing until Run is called.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Elector {
	return &Elector{
		callTimeout: minCallTimeout, cfg: cfg, clk: clk, log: log, changed: make(chan struct{}, 1), checkNow: make(chan struct{}, 1),
		releaseRequests: make(chan struct{}, 1), releaseDone: make(chan struct{}),
	}
}

// Changed returns a channel that receives a value after this VM has gained or lost
// ownership or has read of another owner.
func (e *Elector) Changed() <-chan struct{} { return e.changed }

// Authority returns the term and whether this VM may make decisions as its owner.
func (e *Elector) Authority() (Term, bool) { return e.renewedWithin(AuthorityDuration) }

// LeaseAuthority returns the term and whether this VM may extend the leases of workers.
func (e *Elector) LeaseAuthority() (Term, bool) { return e.renewedWithin(LeaseAuthorityDuration) }

// RenewalOverdue reports whether this VM is the owner and sent its last successful
// renewal more than d ago.
func (e *Elector) RenewalOverdue(d time.Duration) bool {
	_, recent := e.renewedWithin(d)
	_, owner := e.Term()
	return owner && !recent
}

// renewedWithin returns the term and whether this VM is the owner and sent its last
// successful renewal less than d ago.
func (e *Elector) renewedWithin(d time.Duration) (Term, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.isOwner && e.clk.Now() < e.renewedAt.Add(d)
}

// Term returns the term and whether this VM is its owner as far as it knows. The owner
// need not have authority at the moment.
func (e *Elector) Term() (Term, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.isOwner
}

// Owner returns the holder in the record as last read, and whether there is an owner.
func (e *Elector) Owner() (Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rec.Holder, e.rev != 0 && !e.rec.Released
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := e.step(ctx)
		select {
		case <-ctx.Done():
		case <-e.checkNow:
		case <-e.releaseRequests:
			e.releasing = true
		case <-e.clk.After(pause):
		}
	}
	return ctx.Err()
}

// step renews the record or, on a VM that is not the owner, reads it and takes over if
// allowed. It returns the pause before the next step.
func (e *Elector) step(ctx context.Context) time.Duration {
	if e.releasing {
		if e.releasing = !e.writeRelease(ctx); e.releasing {
			return releaseRetryDelay
		}
	}
	if _, ok := e.Term(); ok {
		if !e.renew(ctx) {
			return renewRetryDelay
		}
		return renewInterval
	}
	start := e.clk.Now()
	e.refresh(ctx)
	if ok, holderEnded := e.mayTakeOver(ctx); ok {
		e.takeOver(ctx, holderEnded)
	}
	if _, ok := e.Term(); ok {
		return renewInterval
	}
	if e.cfg.Standby != nil && e.cfg.Standby() {
		// A probe of an owner that is gone may have taken all of the interval.
		return max(renewRetryDelay, standbyReadInterval-e.clk.Now().Sub(start))
	}
	if e.cfg.OwnerReachable != nil && e.cfg.OwnerReachable() {
		return reachableReadInterval
	}
	return readInterval
}

// mayTakeOver reports whether this VM may take over now, and whether the holder of the record
// certainly sends no more orders: it released the record, or another process has its address. It may
// probe the owner. A refused connection is no such evidence, as a network may refuse as well.
func (e *Elector) mayTakeOver(ctx context.Context) (ok, holderEnded bool) {
	if e.cfg.Eligible != nil && !e.cfg.Eligible() {
		return false, false
	}
	e.mu.Lock()
	now := e.clk.Now()
	holder, unchangedFor, sinceRevSeen := e.rec.Holder, now.Sub(e.unchangedSince), now.Sub(e.revSeenAt)
	allowed := !e.released && !e.isOwner && now >= e.takeoverBlockedUntil && e.lastContactAt != 0 && now.Sub(e.lastContactAt) <= maxContactGap
	free := e.rev == 0 || e.rec.Released
	transferRequested := e.transferFrom != "" && e.transferFrom == holder.Addr
	e.transferFrom = ""
	e.mu.Unlock()
	// This VM sends no more orders of a term that it lost, or that it never began because the reply
	// to its takeover was lost. An earlier process on this VM has ended, or this one could not
	// listen at its address.
	ended := free || holder == e.cfg.Self || holder.VM == e.cfg.Self.VM && holder.Addr == e.cfg.Self.Addr
	switch {
	case !allowed:
		return false, false
	case transferRequested, free && unchangedFor >= e.takeoverDelay(), unchangedFor >= TakeoverAfter+e.takeoverDelay():
		return true, ended
	case holder == e.cfg.Self:
		return true, ended
	case holder.VM == e.cfg.Self.VM && unchangedFor >= e.takeoverDelay():
		return true, ended
	case unchangedFor < renewInterval || e.cfg.Prober == nil:
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch e.cfg.Prober.Probe(ctx, holder, e.cfg.Self) {
	case ProbeReplaced:
		e.log.Info("owner replaced by another incarnation", zap.String("owner", holder.Name))
		return unchangedFor >= e.takeoverDelay(), true
	case ProbeRefused:
		return unchangedFor >= refusedTakeoverAfter+e.takeoverDelay(), ended
	case ProbeInconclusive:
		return sinceRevSeen >= TakeoverAfter && unchangedFor >= outageTakeoverAfter+e.takeoverDelay(), ended
	case ProbeAlive:
		return false, false
	default:
		return false, false
	}
}

func (e *Elector) takeoverDelay() time.Duration {
	if e.cfg.TakeoverDelay == nil {
		return 0
	}
	return e.cfg.TakeoverDelay()
}

// takeOver tries to make this VM the owner. holderEnded is whether the record's holder certainly
// sends no more orders.
func (e *Elector) takeOver(ctx context.Context, holderEnded bool) {
	e.mu.Lock()
	next := record{
		Holder: e.cfg.Self, Epoch: e.rec.Epoch + 1, LeaseNotesSince: e.rec.LeaseNotesSince,
		FormersEnded: e.rev == 0 || holderEnded && e.rec.FormersEnded,
	}
	if next.LeaseNotesSince == 0 {
		next.LeaseNotesSince = next.Epoch
	}
	rev := e.rev
	e.mu.Unlock()
	sent := e.clk.Now()
	newRev, ok := e.compareAndSwap(ctx, rev, next, true)
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec, e.rev, e.isOwner, e.renewedAt, e.takenOverAt = next, newRev, true, sent, sent
	e.term = Term{epoch: next.Epoch, token: newRev, leaseNotesSince: next.LeaseNotesSince, formersEnded: next.FormersEnded}
	e.log.Info("took over ownership", zap.Int64("epoch", next.Epoch), zap.Int64("token", newRev), zap.Bool("formers_ended", next.FormersEnded))
	e.notifyChanged()
}
