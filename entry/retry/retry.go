// Package retry decides when a caller whose request was refused may send it again. It
// does no I/O and holds no clock: the caller of Decide passes the time, the cause of the
// refusal and a random number.
//
// # Usage
//
//	var outage retry.Outage // one for each kind of outage
//	since := outage.Refused(now, now.Add(-storeAge))
//	advice := retry.Decide(now, retry.StoreSilent{Since: since}, callerDeadline, rand.Float64())
//	header := strconv.Itoa(advice.Seconds()) // of Retry-After
//	...
//	outage.Ended() // after a request was served
//
// # Rule
//
// The rest of an outage is taken to be as long as the outage has lasted so far. Callers
// return after one to two times its age, so that a few retries reach past its end and
// callers that were refused together do not return together. Bounds and the caller's own
// deadline limit that.
package retry

import (
	"math"
	"time"

	"limpethitch.example/core/clock"
)

const (
	// minWait is the shortest time other than 0: the header has whole seconds.
	minWait = time.Second
	// minSpread is the shortest span over which callers return. Over less than two
	// seconds whole seconds cannot spread them.
	minSpread = 2 * time.Second
	// maxWait bounds the earliest return, and with it the time for which callers stay away
	// after the end of a long outage.
	maxWait = 15 * time.Second
	// takeoverTime is how long a takeover takes if the former owner is lost: no earlier
	// return can be served by a new owner.
	takeoverTime = 2 * time.Second
	// attemptTime is the part of a caller's deadline that the next attempt needs.
	attemptTime = 300 * time.Millisecond
	// maxUnconfigured is how long a VM without a current configuration sends its callers
	// to another VM at once. After that the others probably have none either.
	maxUnconfigured = 2 * time.Second
)

// Reason names a cause in logs and metrics.
type Reason string

// Reasons.
const (
	ReasonNone         Reason = ""
	ReasonStoreSilent  Reason = "store"
	ReasonOwnerMissing Reason = "owner"
	ReasonUnconfigured Reason = "configuration"
	ReasonOverShare    Reason = "share"
)

// Cause is why a request was refused: StoreSilent, OwnerMissing, Unconfigured or OverShare.
type Cause interface{ reason() Reason }

// StoreSilent means that neither this VM nor those that it asked could write to the store.
type StoreSilent struct{ Since clock.Mono }

// OwnerMissing means that no owner answers.
type OwnerMissing struct{ Since clock.Mono }

// Unconfigured means that this VM has no current configuration. StoreAnswers is whether
// the store answers this VM: then other VMs have one, and serve a new connection at once.
type Unconfigured struct {
	Since        clock.Mono
	StoreAnswers bool
}

// OverShare means that the client account has used its share under overload. ShareAt is
// when it has a share again, or when there should be room for the job.
type OverShare struct{ ShareAt clock.Mono }

func (StoreSilent) reason() Reason  { return ReasonStoreSilent }
func (OwnerMissing) reason() Reason { return ReasonOwnerMissing }
func (Unconfigured) reason() Reason { return ReasonUnconfigured }
func (OverShare) reason() Reason    { return ReasonOverShare }

// Advice is when a caller may return. The zero value is no advice: the request was served,
// or the same request fails again.
type Advice struct {
	reason  Reason
	seconds int
}

// Reason returns why the request was refused, or ReasonNone.
func (a Advice) Reason() Reason { return a.reason }

// Seconds returns after how many seconds the caller may return. 0 means at once, on a new
// connection.
func (a Advice) Seconds() int { return a.seconds }

// Reconnect reports whether the caller should return on a new connection, because another
// VM may be able to serve it.
func (a Advice) Reconnect() bool {
	return a.reason == ReasonStoreSilent || a.reason == ReasonOwnerMissing || a.reason == ReasonUnconfigured
}

// Decide returns when a caller that is refused now may return. deadline is when it stops
// waiting, 0 if that is not known. random is a number in [0, 1).
func Decide(now clock.Mono, cause Cause, deadline clock.Mono, random float64) Advice {
	a := Advice{reason: cause.reason()}
	if u, ok := cause.(Unconfigured); ok && u.StoreAnswers && now.Sub(u.Since) < maxUnconfigured {
		return a
	}
	from, to := span(now, cause)
	first, last := wholeSeconds(from), int(to/time.Second)
	if deadline != 0 {
		latest := int(math.Floor((deadline.Sub(now) - attemptTime).Seconds()))
		if latest < int(minWait/time.Second) {
			// No whole second is early enough: callers that can still be served in time
			// go first.
			a.seconds = last
			return a
		}
		first, last = min(first, max(1, latest/2)), min(last, latest)
	}
	a.seconds = first + int(random*float64(last-first+1))
	return a
}

// wholeSeconds returns d in seconds, rounded up.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// span returns the earliest and the latest return, both relative to now and without
// regard to the caller's deadline.
func span(now clock.Mono, cause Cause) (from, to time.Duration) {
	switch c := cause.(type) {
	case StoreSilent:
		from = now.Sub(c.Since)
	case OwnerMissing:
		from = max(now.Sub(c.Since), c.Since.Add(takeoverTime).Sub(now))
	case Unconfigured:
		from = now.Sub(c.Since)
	case OverShare:
		from = c.ShareAt.Sub(now)
	}
	from = min(max(from, minWait), maxWait)
	return from, from + max(from, minSpread)
}
