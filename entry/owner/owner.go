// Package owner elects the VM that owns a shard. A state machine without I/O
// implements the rules of docs/design.md section 6; an Elector drives it with
// the store, the clock and the messages of the other entry VMs.
//
// # Usage
//
//	e, err := owner.New(cfg, owner.Deps{Store: st, Clock: clk, Log: log, Peers: peers, Membership: members, Rand: rng})
//	supervisor.Add(e)
//	// The watch of all shards reports every change of the record.
//	e.Observe(kv)
//	// Immediately before each start and each send to a backend server:
//	if a := e.Authority(); a.Valid(clk.Now()) { ... }
//	// Job writes compare owner.EpochKey(dc, n) with e.Fence().
//	for ev := range e.Events() { switch ev := ev.(type) { case owner.Acquired: ...; case owner.Lost: ... } }
//
// # Protocol
//
// The record in the store names the shard's owner, its standby and an epoch, which
// grows with each new owner. In store mode, each renewal of the record gives the
// owner authority for Term. When renewals are overdue, the owner requests promises
// from the standby instead, and each promise gives it authority for PromiseTerm.
// A standby that has granted a promise is in standby mode until the owner releases
// it or the record names another owner or standby.
//
// A standby in standby mode acts when its promise expires or the owner has ended:
// it starts work in the next epoch although the record does not name it yet. It
// takes the shard over, by a write of the record, once the owner has ended or has
// yielded. To yield is to give up the epoch because the standby has acted in it.
//
// Without standby mode, a record that stays unchanged for TakeoverWait can be taken
// over: by the standby itself, or by another VM if the standby consents. If the
// owner has ended, the takeover need not wait.
//
// # Rules beyond the design document
//
// After sending a promise request, an owner treats the standby as being in standby
// mode until it acknowledges a release with a higher sequence number, because a
// request without a reply may have been granted.
//
// A standby in standby mode neither consents to a takeover nor writes to the
// store until it acts and the owner has yielded or ended. A standby that ends
// in that state therefore cannot have let another VM take the shard over, so
// the owner may continue alone. A standby that never granted a promise gives
// no such guarantee: the owner then continues alone only if its authority did
// not end in between.
//
// A record without a standby can be taken over only when its owner has ended
// or after the hard deadline, because no VM can consent.
package owner

import (
	"time"

	"limpethitch.example/core/clock"
)

// Protocol constants. All are durations, because the wall clocks of two VMs
// are never compared.
const (
	// Term is how long the owner has authority after a renewal of the record,
	// counted from when the write was sent.
	Term = 6 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// RenewalOverdueAfter is the time since the last renewal after which the
	// owner requests promises from the standby.
	RenewalOverdueAfter = 3 * time.Second
	// PromiseTerm is how long the owner has authority after a promise of the
	// standby, counted from when the request was sent.
	PromiseTerm = 4 * time.Second
	// PromiseInterval is the time between two promise requests.
	PromiseInterval = 1300 * time.Millisecond
	// InFlightMargin covers messages still in flight when an authority ends.
	InFlightMargin = time.Second
	// MaxClockDriftPercent bounds the difference in rate between the monotonic
	// clocks of two VMs.
	MaxClockDriftPercent = 1
	// TakeoverWait is how long a record must stay unchanged before a takeover.
	TakeoverWait = Term + Term*MaxClockDriftPercent/100 + InFlightMargin
	// HardDeadline ends an owner's authority after its last store renewal.
	HardDeadline = 75 * time.Minute
	// HardTakeoverWait is how long a record must stay unchanged before a
	// takeover without the consent of the standby.
	HardTakeoverWait = HardDeadline + HardDeadline*MaxClockDriftPercent/100 + InFlightMargin
	// ActingMargin is how long before the hard deadline an acting standby
	// stops. The standby counts the deadline from its own first observation of
	// the record, which may be later than that of the VM that takes over.
	ActingMargin = 15 * time.Minute
	// CallTimeout bounds one call to the store or to a peer.
	CallTimeout = time.Second
	// TakeoverStagger is the extra wait before a takeover for each VM that is
	// more preferred.
	TakeoverStagger = 500 * time.Millisecond
	// RetryDelay is the delay before a store call, a consent request or a request to
	// yield is repeated. Failed promise and release requests are repeated after half
	// of it. Random jitter of up to the same length is added to either.
	RetryDelay = 500 * time.Millisecond

	// promiseTTL is how long a promise binds the standby, by its own clock.
	promiseTTL = PromiseTerm + PromiseTerm*MaxClockDriftPercent/100 + InFlightMargin
	// minRemainingPromise is the remaining time of a promise below which the
	// owner renews the promise before it sends a release, because an unanswered
	// release delays the next request by CallTimeout.
	minRemainingPromise = 2500 * time.Millisecond
)

// Mode is the source of an authority.
type Mode string

// Modes of authority.
const (
	ModeNone Mode = "none"
	// ModeStore is authority from renewals of the record in the store.
	ModeStore Mode = "store"
	// ModeStandby is authority from promises of the standby.
	ModeStandby Mode = "standby"
	// ModeAlone is authority up to the hard deadline, after the standby ended.
	ModeAlone Mode = "alone"
	// ModeActing is the authority of a standby that replaces the owner while the
	// record cannot be written.
	ModeActing Mode = "acting"
)

// Authority is the right to start work on a shard, limited in time.
type Authority struct {
	epoch int64
	until clock.Mono
	mode  Mode
}

// Valid reports whether work may be started at now.
func (a Authority) Valid(now clock.Mono) bool { return a.mode != ModeNone && now < a.until }

// Epoch returns the epoch of the ownership. For an acting standby it is the
// epoch that the standby will write.
func (a Authority) Epoch() int64 { return a.epoch }

// Until returns when the authority ends, on this process's monotonic clock.
func (a Authority) Until() clock.Mono { return a.until }

// Mode returns the source of the authority.
func (a Authority) Mode() Mode { return a.mode }

// Cause is what made a VM the owner of a shard.
type Cause string

// Causes of an acquisition.
const (
	// CauseFresh is the first ownership: the shard had no record.
	CauseFresh Cause = "fresh"
	// CauseTakeover is a takeover without the former owner's help.
	CauseTakeover Cause = "takeover"
	// CauseHandover is a write of the former owner that names this VM.
	CauseHandover Cause = "handover"
	// CauseActing is a standby that starts to act, or an owner that continues
	// after its standby may have acted for the same epoch.
	CauseActing Cause = "acting"
)

// Event informs the shard's runtime of a change of ownership.
type Event interface{ event() }

// Acquired reports that this VM now owns the shard. The runtime must discard
// what it holds in memory about the shard. The event may come twice for one
// epoch, with Lost in between, when a standby may have acted for that epoch.
type Acquired struct {
	epoch int64
	cause Cause
}

// Lost reports that this VM no longer owns the shard.
type Lost struct{}

func (Acquired) event() {}
func (Lost) event()     {}

// NewAcquired returns an event with which a caller starts the shard's runtime
// again while the ownership lasts.
func NewAcquired(epoch int64, cause Cause) Acquired { return Acquired{epoch: epoch, cause: cause} }

// Epoch returns the acquired epoch.
func (a Acquired) Epoch() int64 { return a.epoch }

// Cause returns what led to the acquisition.
func (a Acquired) Cause() Cause { return a.cause }
