package serve

import (
	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
	"limpethitch.example/entry/front"
)

// teamUsage returns the resources that a team uses on this VM's shards.
func (v *VM) teamUsage(team string) amount.Vec {
	var sum amount.Vec
	for _, s := range v.ownedShards() {
		if c := s.cell.Load(); c != nil {
			sum = sum.Add(c.Running(team))
		}
	}
	return sum
}

// Status implements front.VM.
func (v *VM) Status() front.Status {
	now := v.clk.Now()
	out := front.Status{
		VM: v.cfg.Name, DataCentre: v.cfg.DataCentre, PolicyVersion: v.policies.Version(),
		PolicyAgeMS: now.Sub(v.policies.AsOf()).Milliseconds(), StoreOK: v.policies.StoreOK(), Draining: v.draining.Load(),
	}
	out.Shards = v.shardStatus()
	out.VMs = append(out.VMs, front.VMStatus{VM: v.cfg.Name, DataCentre: v.cfg.DataCentre, State: "this VM", PolicyVersion: v.policies.Version()})
	for _, m := range v.members.All() {
		state := "silent"
		switch {
		case m.Leaving():
			state = "leaving"
		case v.members.IsLive(m.Name()):
			state = "live"
		}
		out.VMs = append(out.VMs, front.VMStatus{VM: m.Name(), DataCentre: m.DataCentre(), State: state, PolicyVersion: m.PolicyVersion()})
	}
	if b := v.policies.Current(); b != nil {
		for _, t := range b.Teams() {
			out.Teams = append(out.Teams, front.TeamStatus{Team: t.Name(), Share: t.Share(), Running: v.teamUsage(t.Name()), Limit: t.Limit()})
		}
		out.Queues = v.queueStatus(b)
	}
	return out
}

func (v *VM) shardStatus() []front.ShardStatus {
	var out []front.ShardStatus
	now := v.clk.Now()
	local := map[string]bool{}
	for _, s := range v.ownedShards() {
		c := v.ownedCell(s.name)
		if c == nil {
			continue
		}
		a, sum := s.elector.Authority(), c.Summary()
		local[s.name] = true
		out = append(out, front.ShardStatus{
			Shard: s.name, Owner: v.cfg.Name, Epoch: a.Epoch(), Mode: string(a.Mode()),
			DeadlineMS: v.clk.Wall().Add(a.Until().Sub(now)).UnixMilli(), Free: sum.Free(), FreeSlots: sum.Slots(), Waiting: sum.Waiting(),
		})
	}
	for _, s := range v.members.Shards() {
		if !local[s.Name()] {
			out = append(out, front.ShardStatus{
				Shard: s.Name(), Owner: s.VM(), Epoch: s.Epoch(), Mode: s.Mode(), Free: s.Free(), FreeSlots: s.FreeSlots(), Waiting: s.Waiting(),
			})
		}
	}
	return out
}

func (v *VM) queueStatus(b *policy.Bundle) []front.QueueStatus {
	waiting, reason := map[string]int{}, map[string]string{}
	for _, s := range v.ownedShards() {
		c := s.cell.Load()
		if c == nil {
			continue
		}
		for name, q := range c.QueueStates() {
			waiting[name] += q.Waiting()
			reason[name] = q.Reason()
		}
	}
	out := make([]front.QueueStatus, 0, len(b.Queues()))
	for _, q := range b.Queues() {
		out = append(out, front.QueueStatus{Queue: q.Name(), Class: q.Class(), Waiting: waiting[q.Name()], Reason: reason[q.Name()]})
	}
	return out
}
