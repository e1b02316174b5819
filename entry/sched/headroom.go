package sched

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// A client account that uses up its limit with long jobs delays its own urgent jobs by
// seconds, even while workers are idle. While the account sends urgent jobs, headroom
// for them is therefore kept free of other jobs: the recent peak of their use, up to
// maxHeadroomShare of the limit.
const (
	// urgentPriority is the priority of queues with urgent jobs.
	urgentPriority = 0
	// maxHeadroomShare is the maximum headroom as a share of the limit.
	maxHeadroomShare = 0.15
	// headroomWindow is how long a peak of urgent use counts.
	headroomWindow = 10 * time.Second
	// headroomMaxWait is how long other steps respect the headroom. A step that needs
	// nearly all of the limit would otherwise never start.
	headroomMaxWait = 1500 * time.Millisecond
	// headroomMinUsage is the share of the limit that must be in use before headroom is
	// kept.
	headroomMinUsage = 0.5
)

// urgentUsage is what an account's urgent jobs use of its limit, and the recent peak.
type urgentUsage struct {
	used, peak amount.Vec
	peakAt     clock.Mono
}

func (u *urgentUsage) add(v amount.Vec, now clock.Mono) {
	u.used = u.used.Add(v)
	if now.Sub(u.peakAt) > headroomWindow {
		u.peak = amount.Vec{}
	}
	if m := u.peak.Max(u.used); m != u.peak {
		u.peak, u.peakAt = m, now
	}
}

func (u *urgentUsage) sub(v amount.Vec) { u.used = u.used.Sub(v) }

// headroom returns the part of the account's limit that other jobs must leave free now.
func (t *team) headroom(now clock.Mono) amount.Vec {
	threshold := team{used: t.used, limit: fraction(t.limit, headroomMinUsage)}
	if now.Sub(t.urgent.peakAt) > headroomWindow || threshold.fitsLimit(amount.Vec{}) {
		return amount.Vec{}
	}
	return t.urgent.peak.Sub(t.urgent.used).ClampToZero().Min(fraction(t.limit, maxHeadroomShare))
}

// fraction returns v multiplied by share.
func fraction(v amount.Vec, share float64) amount.Vec {
	of := func(n int64) int64 { return int64(share * float64(n)) }
	return amount.New(of(v.CPUMilli()), of(v.MemoryMiB()), of(v.Accelerators()), 0)
}

// withinLimit reports whether v more of a step fits within the account's limit, less the
// headroom for urgent jobs.
func (s *State) withinLimit(st *step, v amount.Vec) bool {
	tm := s.team(st.job.doc.Team)
	if st.job.queue.Priority > urgentPriority && s.now.Sub(st.readyAt) < headroomMaxWait {
		v = v.Add(tm.headroom(s.now))
	}
	return tm.fitsLimit(v)
}
