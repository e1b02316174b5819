package cell

import (
	"context"
	"encoding/json"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/place"
	"limpethitch.example/entry/route"
)

const (
	// freezeTimeout limits how long Freeze waits for pending starts, requests
	// and job records.
	freezeTimeout = 1500 * time.Millisecond
	// freezePollInterval is the time between two checks whether they are settled.
	freezePollInterval = 10 * time.Millisecond
)

// handoverState is the in-memory state that the next owner can't obtain
// elsewhere.
type handoverState struct {
	IDs [][]byte `json:"ids"`
	// Slots are the slots still occupied by requests of the former owner.
	Slots       []byte                `json:"slots,omitempty"`
	Checkpoints map[string]checkpoint `json:"saved,omitempty"`
	// PendingStartsUntilUnixMS is when the lease of the last unconfirmed start
	// expires.
	PendingStartsUntilUnixMS int64 `json:"hold_until_unix_ms,omitempty"`
}

type checkpoint struct {
	MS int64 `json:"ms"`
}

// Freeze rejects new starts and requests and waits until the pending ones are
// settled and all job records are stored.
func (c *Cell) Freeze(ctx context.Context) error {
	c.frozen.Store(true)
	ctx, cancel := context.WithTimeout(ctx, freezeTimeout)
	defer cancel()
	for !c.isSettled() {
		select {
		case <-ctx.Done():
			return rcode.New(rcode.Draining, "cell.Freeze: shard %s did not settle before the timeout", c.cfg.Shard)
		case <-c.deps.Clock.After(freezePollInterval):
		}
	}
	return nil
}

func (c *Cell) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.state == runStarting {
			return false
		}
	}
	for id := range c.jobs {
		if !c.journal.IsStored(id) {
			return false
		}
	}
	return c.slotRouter.Stats().UsedSlots() == 0
}

// Unfreeze resumes operation after a failed handover.
func (c *Cell) Unfreeze() {
	c.frozen.Store(false)
	c.wake()
}

// Export returns the state of a frozen shard for its next owner.
func (c *Cell) Export() ([]byte, error) {
	ids, err := c.idRouter.Export()
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "cell.Export")
	}
	slots, err := c.slotRouter.ExportHeldSlots()
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "cell.Export")
	}
	out := handoverState{IDs: ids, Slots: slots, Checkpoints: map[string]checkpoint{}}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, h := range c.jobs {
		for m, ms := range h.checkpoints {
			out.Checkpoints[place.TaskID(id, m)] = checkpoint{MS: ms}
		}
	}
	until := c.deps.Clock.Wall().Add(c.auth().Until().Sub(c.deps.Clock.Now()))
	for _, r := range c.runs {
		switch {
		case r.state == runConfirmed:
		case r.startLeaseEnd.IsZero():
			out.PendingStartsUntilUnixMS = max(out.PendingStartsUntilUnixMS, until.UnixMilli())
		default:
			out.PendingStartsUntilUnixMS = max(out.PendingStartsUntilUnixMS, r.startLeaseEnd.UnixMilli())
		}
	}
	body, err := json.Marshal(out)
	return body, rcode.Wrap(err, rcode.Internal, "cell.Export")
}

// Import restores the state exported by the former owner.
func (c *Cell) Import(state []byte) error {
	var in handoverState
	if err := json.Unmarshal(state, &in); err != nil {
		return rcode.Wrap(err, rcode.BadRequest, "cell.Import")
	}
	for _, part := range in.IDs {
		if err := c.idRouter.Import(part); err != nil {
			return rcode.Wrap(err, rcode.BadRequest, "cell.Import")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.importedSlots = in.Slots
	for task, cp := range in.Checkpoints {
		// The checkpoints are assigned to jobs when the records are loaded.
		if c.importedCheckpoints == nil {
			c.importedCheckpoints = map[string]int64{}
		}
		c.importedCheckpoints[task] = cp.MS
	}
	if in.PendingStartsUntilUnixMS > 0 {
		// No lease is longer than TaskLease, even if the other VM's clock is
		// ahead.
		maxLeaseEnd := c.deps.Clock.Wall().Add(TaskLease)
		c.pendingStartsUntil = time.UnixMilli(min(in.PendingStartsUntilUnixMS, maxLeaseEnd.UnixMilli()))
	}
	return nil
}

// importSlots imports the slots occupied by requests of the former owner. It is
// called once the backend servers are known.
func (c *Cell) importSlots() {
	c.mu.Lock()
	slots := c.importedSlots
	c.importedSlots = nil
	c.mu.Unlock()
	if len(slots) == 0 {
		return
	}
	if err := c.slotRouter.Import(slots); err != nil {
		c.deps.Log.Warn("failed to import the former owner's slots", logs.Err(err)...)
	}
}

// closeRouters closes the routers after their last requests are answered, which
// may be after the shard has moved.
func (c *Cell) closeRouters() {
	closeAll := func() {
		ctx, cancel := context.WithTimeout(context.Background(), route.MaxTimeout)
		defer cancel()
		// Requests that still run after route.MaxTimeout are abandoned.
		_ = c.Drain(ctx)
		c.idRouter.Close()
		c.slotRouter.Close()
	}
	if c.slotRouter.Stats().UsedSlots()+c.idRouter.Stats().UsedSlots() > 0 {
		go closeAll()
		return
	}
	closeAll()
}

// Drain waits until no requests of the shard are in progress.
func (c *Cell) Drain(ctx context.Context) error {
	if err := c.idRouter.Drain(ctx); err != nil {
		return err
	}
	return c.slotRouter.Drain(ctx)
}

// Allotments returns the allotment of each team on the shard. A standby
// receives it in case it has to act while the store is down, when no transfers
// are possible.
func (c *Cell) Allotments() map[string]amount.Vec { return c.limiter.ledger.Allotments() }

// SetAllotments sets the allotments that the former owner reported.
func (c *Cell) SetAllotments(allotments map[string]amount.Vec) {
	for team, v := range allotments {
		c.limiter.ledger.SetAllotment(team, v, false)
	}
}

// Yield transfers idle allotment of a team to another shard.
func (c *Cell) Yield(ctx context.Context, to, team string, want amount.Vec) error {
	_, err := c.rebalancer.Yield(ctx, to, team, want)
	return err
}
