package probe

import (
	"time"

	"limpethitch.example/core/clock"
)

// call is a call that has no answer yet.
type call struct {
	sentAt    clock.Mono
	allowance time.Duration
	// lostAt is when the call counts as lost, or 0 while no later probe was answered.
	lostAt clock.Mono
	// probeAnswered receives a value when lostAt is set.
	probeAnswered chan struct{}
}

func (c *call) isLost(now clock.Mono) bool { return c.lostAt != 0 && now >= c.lostAt }

// calls decides when probes are sent and which calls are lost. It is not safe for
// concurrent use.
type calls struct {
	pending map[*call]struct{}
	// probedAt is when the last probe was sent.
	probedAt clock.Mono
}

func newCalls() calls { return calls{pending: make(map[*call]struct{})} }

func (s *calls) begin(now clock.Mono, allowance time.Duration) *call {
	c := &call{sentAt: now, allowance: allowance, probeAnswered: make(chan struct{}, 1)}
	s.pending[c] = struct{}{}
	return c
}

// nextProbe returns when the next probe is due for a call. All calls share the probes.
func (s *calls) nextProbe(c *call) clock.Mono {
	return max(c.sentAt.Add(firstProbeAfter), s.probedAt.Add(interval))
}

// nextCheck returns when a call must be checked again.
func (s *calls) nextCheck(c *call) clock.Mono {
	if c.lostAt != 0 {
		return c.lostAt
	}
	return s.nextProbe(c)
}

// probeDue reports whether a probe must be sent now for a call, which it then records.
func (s *calls) probeDue(c *call, now clock.Mono) bool {
	if c.lostAt != 0 || now < s.nextProbe(c) {
		return false
	}
	s.probedAt = now
	return true
}

// probeAnswered records the answer to a probe that was sent at sentAt.
func (s *calls) probeAnswered(sentAt clock.Mono) {
	for c := range s.pending {
		if c.lostAt != 0 || sentAt <= c.sentAt {
			continue
		}
		c.lostAt = sentAt.Add(c.allowance)
		c.probeAnswered <- struct{}{}
	}
}
