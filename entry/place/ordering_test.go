package place

import (
	"math/bits"
	"testing"

	"limpethitch.example/core/clock"
)

// leastFair orders teams by the reference's idea: the team whose first waiting
// job has the largest slowdown so far is served next.
type leastFair struct {
	*State
	added map[string]clock.Mono
}

func newLeastFair(sh shape, seed uint64) *leastFair {
	l := &leastFair{added: map[string]clock.Mono{}}
	l.State = newCell(Config{Seed: seed, OfferAfter: -1, teamKey: l.key}, sh.workers, sh.perRack, benchCapacity)
	return l
}

func (l *leastFair) Add(j Job, now clock.Mono) error {
	l.added[j.id] = now
	return l.State.Add(j, now)
}

func (l *leastFair) Decide(now clock.Mono, n int) []Decision {
	l.reshare = true
	return l.State.Decide(now, n)
}

func (l *leastFair) key(s *State, t *team) float64 {
	worst := 0.0
	for rest := t.nonEmpty; rest != 0; rest &= rest - 1 {
		j := s.head(t, bits.TrailingZeros32(rest))
		if j == nil {
			continue
		}
		run := s.runOf(j).Seconds() + 1
		worst = max(worst, (s.now.Sub(l.added[j.spec.id]).Seconds()+run)/run*t.weight)
	}
	return -worst
}

// TestOrderings prints the figures of docs/decisions/placement-ordering.md.
func TestOrderings(t *testing.T) {
	for name, sh := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Logf("\ndominant share %v\nleast fair     %v", sh.ours(Config{}),
				sh.mean(func(seed uint64) decider { return newLeastFair(sh, seed) }))
		})
	}
}
