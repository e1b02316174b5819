package quota

import "limpethitch.example/core/amount"

// guaranteedMinimum returns the part of a limit that the shard keeps while it is idle:
// half of an even share, or nothing if Config.Shards is 0.
func (r *Rebalancer) guaranteedMinimum(limit amount.Vec) amount.Vec {
	if r.cfg.Shards == 0 {
		return amount.Vec{}
	}
	n := int64(2 * r.cfg.Shards)
	return amount.New(limit.CPUMilli()/n, limit.MemoryMiB()/n, limit.Accelerators()/n, limit.Requests()/n)
}

// GuaranteedMinimum returns the part of a team's limit that the shard keeps while it is
// idle.
func (r *Rebalancer) GuaranteedMinimum(team string) amount.Vec {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guaranteedMinimum(r.teamState(team).limit)
}

// RaiseDemandToMinimum raises a team's demand to the guaranteed minimum.
func (r *Rebalancer) RaiseDemandToMinimum(team string) {
	if v := r.GuaranteedMinimum(team); !v.IsZero() {
		r.RaiseDemand(team, v)
	}
}

// unmetDemand returns the part of a team's demand that its unused allotment does not
// cover; mu is held.
func (r *Rebalancer) unmetDemand(team string, st *teamState) amount.Vec {
	if r.deps.Clock.Now() >= st.demandUntil {
		return amount.Vec{}
	}
	available := r.deps.Ledger.Allotment(team).Sub(r.deps.Ledger.Used(team))
	return st.demand.Sub(available.ClampToZero()).ClampToZero()
}
