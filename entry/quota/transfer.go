package quota

import (
	"context"
	"sort"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
)

// requestTransfer asks the owner of one other shard to transfer a team's unmet demand.
// Each request goes to the next shard that has an allotment.
func (r *Rebalancer) requestTransfer(ctx context.Context, team string) {
	r.mu.Lock()
	st := r.teamState(team)
	unmetDemand := r.unmetDemand(team, st)
	shards := r.donors(st.record)
	if unmetDemand.IsZero() || len(shards) == 0 || st.inFlight || st.record.Blocked() {
		r.mu.Unlock()
		return
	}
	shard := shards[st.nextDonor%len(shards)]
	st.nextDonor++
	st.inFlight = true
	before := st.revision
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	err := r.deps.Peers.Yield(cctx, shard, team, unmetDemand)
	r.mu.Lock()
	defer r.mu.Unlock()
	st.inFlight = false
	r.delayRetry(st)
	if err != nil {
		return
	}
	st.nextAttemptAt = r.deps.Clock.Now().Add(tickInterval)
	st.mustRead = st.revision == before
}

// donors returns the other shards with an allotment, by decreasing CPU.
func (r *Rebalancer) donors(t TeamRecord) []string {
	var out []string
	for _, s := range t.Shards() {
		if s != r.cfg.Shard {
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return t.Allotment(out[i]).CPUMilli() > t.Allotment(out[j]).CPUMilli() })
	return out
}

// Yield transfers idle allotment to another shard that requested it, up to want. It
// lowers the allotment in the ledger first and then in the record.
func (r *Rebalancer) Yield(ctx context.Context, to, team string, want amount.Vec) (amount.Vec, error) {
	if !r.recovered.Load() || r.deps.Fence() == 0 {
		return amount.Vec{}, rcode.New(rcode.NotOwner, "quota.Yield: shard %s is not recovered yet or not owned by this VM", r.cfg.Shard)
	}
	c, given, err := r.planYield(to, team, want)
	if err != nil {
		return amount.Vec{}, err
	}
	if !r.commit(ctx, []recordChange{c}) {
		return amount.Vec{}, rcode.New(rcode.Conflict, "quota.Yield: transfer of team %s may not have been written", team)
	}
	return given, nil
}

// planYield lowers the allotment in the ledger and returns the change of the record with
// the amount to transfer. It marks a call for the team as in flight, which commit ends.
func (r *Rebalancer) planYield(to, team string, want amount.Vec) (c recordChange, given amount.Vec, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.teamState(team)
	if !st.known || st.inFlight || st.mustRead || st.lowered || st.record.Blocked() || to == r.cfg.Shard {
		return recordChange{}, amount.Vec{}, rcode.New(rcode.Conflict, "quota.Yield: record of team %s is not read yet, being written or blocked, or the requesting shard is the donor", team)
	}
	idle := r.deps.Ledger.Idle(team).Min(want)
	if idle.ClampToZero().IsZero() || !r.spend() {
		return recordChange{}, amount.Vec{}, rcode.New(rcode.NoCapacity, "quota.Yield: team %s has no idle allotment, or the budget of store calls is used up", team)
	}
	given = r.deps.Ledger.Lower(team, idle)
	next, ok := st.record.Transfer(r.cfg.Shard, to, given)
	st.lowered = true
	if !ok || given.IsZero() {
		r.deps.Ledger.SetAllotment(team, st.record.Allotment(r.cfg.Shard), st.record.Blocked())
		st.lowered = false
		return recordChange{}, amount.Vec{}, rcode.New(rcode.NoCapacity, "quota.Yield: team %s has no idle allotment", team)
	}
	st.inFlight = true
	return recordChange{team: team, baseRevision: st.revision, next: next}, given, nil
}
