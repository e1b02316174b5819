package sched

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/usage"
)

// Rates and limits hold over seconds. An account that keeps within them may use far more than
// its weight over hours; its waiting steps then stand behind those of accounts that used less.
// Class and priority go first, and nothing changes for steps for which there is room.
const (
	// pastUseInterval is the time between two computations of the accounts' levels.
	pastUseInterval = time.Second
	// maxPastUseDelay is the delay of the objective in the order at the highest level, as a
	// share of the job's own target.
	maxPastUseDelay = 0.5
	// minBusyShare is the share of a service's workers that must be in use, in one resource at
	// least, before past use counts. A step may find no room on the few workers that it holds
	// tickets for while most are idle.
	minBusyShare = 0.5
)

// pastUse is what the accounts have used, and which services are short of room.
type pastUse struct {
	tracker     *usage.Tracker
	refreshedAt clock.Mono
	// busy holds the services whose workers are in use by minBusyShare or more.
	busy map[string]bool
}

func newPastUse(halfLife time.Duration) *pastUse {
	if halfLife == 0 {
		return nil
	}
	return &pastUse{tracker: usage.New(usage.Config{HalfLife: halfLife})}
}

// PastUse returns the past use of all accounts, or nil if it is left out of the order.
func (s *State) PastUse() *usage.Tracker {
	if s.pastUse == nil {
		return nil
	}
	return s.pastUse.tracker
}

// chargeUse counts what an account uses in its past use up to now. It must be called before
// that changes. A replayed run is charged from the takeover on, as replaying takes no time.
func (s *State) chargeUse(t *team) {
	if s.pastUse != nil {
		s.pastUse.tracker.Add(t.name, t.used, s.now.Sub(t.chargedAt))
		t.chargedAt = s.now
	}
}

// refreshPastUse computes the accounts' levels once in pastUseInterval.
func (s *State) refreshPastUse() {
	p := s.pastUse
	if p == nil || p.refreshedAt != 0 && s.now.Sub(p.refreshedAt) < pastUseInterval {
		return
	}
	p.refreshedAt = s.now
	for _, t := range s.teams {
		s.chargeUse(t)
	}
	for st := range s.allWaiting() {
		p.tracker.Expect(st.job.doc.Team)
	}
	p.tracker.Refresh(s.now, s.measureServices(), func(name string) float64 {
		if s.rules == nil {
			return 0
		}
		return s.rules.Team(name).Rate
	})
	for name, t := range s.teams {
		t.pastUseLevel = p.tracker.Level(name)
	}
}

// measureServices finds the busy services, and returns the capacity of all workers.
func (s *State) measureServices() amount.Vec {
	type measure struct{ used, capacity amount.Vec }
	services := make(map[string]measure)
	var total amount.Vec
	for _, w := range s.workerList {
		m := services[w.spec.Service]
		m.used, m.capacity = m.used.Add(w.used), m.capacity.Add(w.spec.Capacity)
		services[w.spec.Service] = m
		total = total.Add(w.spec.Capacity)
	}
	s.pastUse.busy = make(map[string]bool)
	for name, m := range services {
		s.pastUse.busy[name] = dominantShare(m.used, m.capacity) >= minBusyShare
	}
	return total
}

// noteDelay notes whether a step that was just examined stands behind others for its account's
// past use: only if it waits for room alone, and not for the first advice, for members of a
// broken gang to end or for its account's limit.
func (s *State) noteDelay(st *step) {
	st.delayed = false
	if st.job.team.pastUseLevel == 0 || st.unassigned == 0 || st.gangBroken || st.job.queue.Advice != nil && st.advice.answered == nil {
		return
	}
	need := st.spec.Declared()
	if st.spec.Gang {
		need = scale(need, st.remaining)
	}
	st.delayed = s.pastUse.busy[st.job.queue.Service] && s.withinLimit(st, need)
}

// pastUseDelay returns by how much later than its job's objective a step is ordered, because
// its account used more than others in the past.
func (st *step) pastUseDelay() time.Duration {
	if !st.delayed {
		return 0
	}
	j := st.job
	return time.Duration(maxPastUseDelay * float64(j.team.pastUseLevel) / usage.MaxLevel * float64(j.objective.Sub(j.accepted)))
}
