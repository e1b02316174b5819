package sched

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// An account that has used up its limit with long work makes its own urgent jobs
// wait for seconds, however empty the workers are. So a part of the limit is kept
// from other work while the account sends urgent jobs: what they used at most
// lately, within headroomShare.
const (
	// urgentPriority is that of queues whose jobs come first.
	urgentPriority = 0
	// headroomShare bounds the kept part of the limit.
	headroomShare = 0.15
	// headroomFor is how long the most that urgent jobs used counts.
	headroomFor = 10 * time.Second
	// headroomPatience is how long other work waits for the kept part: work that needs
	// nearly all of the limit would never start otherwise.
	headroomPatience = 1500 * time.Millisecond
	// headroomFrom is the part of the limit in use from which on a part is kept.
	headroomFrom = 0.5
)

// urgency is what an account's urgent jobs use of its limit.
type urgency struct {
	used, most amount.Vec
	mostAt     clock.Mono
}

func (u *urgency) add(v amount.Vec, now clock.Mono) {
	u.used = u.used.Add(v)
	if now.Sub(u.mostAt) > headroomFor {
		u.most = amount.Vec{}
	}
	if m := u.most.Max(u.used); m != u.most {
		u.most, u.mostAt = m, now
	}
}

func (u *urgency) sub(v amount.Vec) { u.used = u.used.Sub(v) }

// kept returns the part of the account's limit that other work leaves free now.
func (t *team) kept(now clock.Mono) amount.Vec {
	part := team{used: t.used, limit: share(t.limit, headroomFrom)}
	if now.Sub(t.urgent.mostAt) > headroomFor || part.fitsLimit(amount.Vec{}) {
		return amount.Vec{}
	}
	return t.urgent.most.Sub(t.urgent.used).Positive().Min(share(t.limit, headroomShare))
}

func share(v amount.Vec, part float64) amount.Vec {
	of := func(n int64) int64 { return int64(part * float64(n)) }
	return amount.New(of(v.CPUMilli()), of(v.MemoryMiB()), of(v.Accelerators()), 0)
}

// withinLimit reports whether v more of a step may run for its account.
func (s *State) withinLimit(st *step, v amount.Vec) bool {
	tm := s.team(st.job.doc.Team)
	if st.job.queue.Priority > urgentPriority && s.now.Sub(st.since) < headroomPatience {
		v = v.Add(tm.kept(s.now))
	}
	return tm.fitsLimit(v)
}
