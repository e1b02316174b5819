package sched

import (
	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// team is a client account's use of its limits.
type team struct {
	name  string
	used  amount.Vec
	limit amount.Vec
	// urgent is the part of used that belongs to urgent jobs.
	urgent urgentUsage
	rate   float64 // jobs per second
	// tokens is the content of a token bucket at tokensAt; each job takes one token.
	tokens   float64
	tokensAt clock.Mono
	// chargedAt is the time up to which used counts in the account's past use, pastUseLevel
	// the level of that.
	chargedAt    clock.Mono
	pastUseLevel int
}

// team returns the record of a client account, creating it if needed.
func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name}
		s.applyTeamRules(t, name)
		t.tokens = t.rate
		s.teams[name] = t
	}
	return t
}

func (s *State) applyTeamRules(t *team, name string) {
	if s.rules == nil {
		return
	}
	spec := s.rules.Team(name)
	t.limit, t.rate = spec.Limit, spec.Rate
}

// takeToken takes one job, accepted at the given time, from the client account's token
// bucket and reports whether there was one. The bucket holds the jobs of one second, and at
// least one.
func (t *team) takeToken(at clock.Mono) bool {
	if t.rate <= 0 {
		return true
	}
	at = max(at, t.tokensAt)
	t.tokens, t.tokensAt = t.tokensNow(at), at
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// tokensNow returns the content of the account's token bucket at a time.
func (t *team) tokensNow(at clock.Mono) float64 {
	return min(t.tokens+max(0, at.Sub(t.tokensAt)).Seconds()*t.rate, max(1, t.rate))
}

// fitsLimit reports whether v more fits within the client account's limit.
func (t *team) fitsLimit(v amount.Vec) bool {
	total := t.used.Add(v)
	l := t.limit
	return (l.CPUMilli() == 0 || total.CPUMilli() <= l.CPUMilli()) &&
		(l.MemoryMiB() == 0 || total.MemoryMiB() <= l.MemoryMiB()) &&
		(l.Accelerators() == 0 || total.Accelerators() <= l.Accelerators())
}

// percentUsed returns how much of its limit the account uses in the dimension in which that is
// most, in percent; 0 without a limit.
func (t *team) percentUsed() int {
	percent := func(used, limit int64) int {
		if limit <= 0 {
			return 0
		}
		return int(100 * used / limit)
	}
	u, l := t.used, t.limit
	return max(percent(u.CPUMilli(), l.CPUMilli()), percent(u.MemoryMiB(), l.MemoryMiB()), percent(u.Accelerators(), l.Accelerators()))
}
