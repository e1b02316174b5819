package cell

import (
	"limpethitch.example/core/amount"
	"limpethitch.example/entry/place"
)

// Summary is the state of the shard that is reported to other VMs.
type Summary struct {
	free    amount.Vec
	slots   int
	waiting int
}

// Summary returns the free capacity and the queue length of the shard after the
// last round of decisions. It doesn't take the cell's lock, because heartbeats
// must not wait for it, and because a cell that offers a job reads the
// summaries of all shards, including its own, with the lock held.
func (c *Cell) Summary() Summary {
	stats := c.slotRouter.Stats()
	s := Summary{slots: stats.FreeSlots(), waiting: stats.Waiting()}
	if cached := c.summary.Load(); cached != nil {
		s.free, s.waiting = cached.free, s.waiting+cached.waiting
	}
	if c.frozen.Load() || !c.inService() {
		s.free, s.slots = amount.Vec{}, 0
	}
	return s
}

// Free returns the free capacity of the workers.
func (s Summary) Free() amount.Vec { return s.free }

// Slots returns the number of free slots of the backend servers.
func (s Summary) Slots() int { return s.slots }

// Waiting returns the number of waiting requests and jobs.
func (s Summary) Waiting() int { return s.waiting }

// QueueStates returns the number of waiting jobs by queue, with the wait reason
// of one of them.
func (c *Cell) QueueStates() map[string]QueueState {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]QueueState{}
	for id, h := range c.jobs {
		if reason := c.placement.WaitReason(id); reason != place.ReasonNone {
			q := out[h.rec.Spec.Queue]
			q.waiting++
			q.reason = string(reason)
			out[h.rec.Spec.Queue] = q
		}
	}
	return out
}

// Waiting returns the number of waiting jobs.
func (q QueueState) Waiting() int { return q.waiting }

// updateSummary caches the state of placement for Summary.
func (c *Cell) updateSummary() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Store(&Summary{free: c.placement.FreeCapacity(), waiting: c.placement.WaitingJobs()})
}

// RequestLoad returns the free slots and the number of waiting requests,
// without workers and jobs.
func (c *Cell) RequestLoad() Summary {
	stats := c.slotRouter.Stats()
	s := Summary{slots: stats.FreeSlots(), waiting: stats.Waiting()}
	if c.frozen.Load() {
		s.slots = 0
	}
	return s
}

// Running returns the resources that a team uses on the shard.
func (c *Cell) Running(team string) amount.Vec { return c.limiter.ledger.Used(team) }

// QueueState is the number of waiting jobs of a queue and the reason why one of
// them waits.
type QueueState struct {
	waiting int
	reason  string
}

// Reason returns the reason why one of the jobs waits.
func (q QueueState) Reason() string { return q.reason }
