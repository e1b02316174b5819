package serve

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/logs"
	"limpethitch.example/entry/agent"
	"limpethitch.example/entry/cell"
)

const (
	// fleetInterval is the time between two reads of the platform's VM list.
	fleetInterval = time.Second
	// orphanDelay is how long a shard must be without a known owner before other VMs
	// of its data centre renew the leases of its tasks.
	orphanDelay = 8 * time.Second
)

var zeroAmount amount.Vec

// workerCount counts the workers of a shard by capacity.
type workerCount struct{ byCapacity map[amount.Vec]int }

// watchFleet reads the platform's VM list regularly and passes it to the membership
// and the cells.
func (v *VM) watchFleet(ctx context.Context) error {
	for {
		rctx, cancel := context.WithTimeout(ctx, fleet.ReadTimeout)
		list, err := v.fleet.Read(rctx)
		cancel()
		if err != nil {
			v.log.Warn("cannot read the VM list", logs.Err(err)...)
		} else {
			if ids := list.Unreadable(); len(ids) > 0 {
				v.log.Warn("the VM list has unreadable entries", zap.Strings("ids", ids))
			}
			v.setFleet(list)
		}
		for _, s := range v.ownedShards() {
			if c := s.cell.Load(); c != nil {
				v.updateCellFleet(s, c)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.clk.After(fleetInterval):
		}
	}
}

func (v *VM) setFleet(list fleet.List) {
	v.mu.Lock()
	list = list.Since(v.fleetList)
	v.mu.Unlock()
	entries := list.WithRole(fleet.RoleEntry)
	v.members.SetListed(entries)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleetList, v.workerCounts = list, nil
	for _, e := range entries {
		v.everListed[e.ID()] = true
	}
}

// countWorkers counts the live workers of each shard by capacity. It returns nil while
// the VM list or the shard layout is unknown. v.mu must be held.
func (v *VM) countWorkers() map[string]*workerCount {
	l := v.layouts.get()
	if l == nil || v.fleetList.Len() == 0 {
		return nil
	}
	out := map[string]*workerCount{}
	for _, w := range v.fleetList.WithRole(fleet.RoleWorker) {
		name, ok := l.shardOf(w.DataCentre(), w.ID())
		if !ok || w.State() != fleet.StateLive {
			continue
		}
		if out[name] == nil {
			out[name] = &workerCount{byCapacity: map[amount.Vec]int{}}
		}
		out[name].byCapacity[amount.New(w.CPUMilli(), w.MemoryMiB(), w.Accelerators(), 0)]++
	}
	return out
}

// endedByPlatform reports whether a VM is no longer on the platform's VM list. A VM
// that was never listed may be new, so it does not count.
func (v *VM) endedByPlatform(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.everListed[name] {
		return false
	}
	_, listed := v.fleetList.Find(name)
	return !listed
}

// ListedVMs implements front.VM.
func (v *VM) ListedVMs() []fleet.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleetList.WithRole(fleet.RoleEntry)
}

// unlimitedTasks stands for an unknown or unlimited number of tasks.
const unlimitedTasks = 1 << 20

// maxTasksPerShard returns how many tasks of a size fit on the largest shard in service
// when it is empty, since all tasks of a gang run on one shard. It returns
// unlimitedTasks while the workers are unknown, so that no job is rejected as too
// large.
func (v *VM) maxTasksPerShard(size amount.Vec) int {
	b := v.policies.Current()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.workerCounts == nil {
		v.workerCounts = v.countWorkers()
	}
	if v.workerCounts == nil {
		return unlimitedTasks
	}
	best := 0
	for name, s := range v.workerCounts {
		dc, _ := splitShard(name)
		if b == nil || !b.InService(dc) {
			continue
		}
		n := 0
		for capacity, count := range s.byCapacity {
			n += count * fitCount(size, capacity)
		}
		best = max(best, n)
	}
	return best
}

// fitCount returns how many tasks of a size fit on an empty worker, at most
// unlimitedTasks.
func fitCount(size, capacity amount.Vec) int {
	n := int64(unlimitedTasks)
	limit := func(need, available int64) {
		if need > 0 {
			n = min(n, available/need)
		}
	}
	limit(size.CPUMilli(), capacity.CPUMilli())
	limit(size.MemoryMiB(), capacity.MemoryMiB())
	limit(size.Accelerators(), capacity.Accelerators())
	return int(n)
}

// initCellFleet passes the VM list to a new cell as soon as it is known, without
// waiting for the next read of watchFleet.
func (v *VM) initCellFleet(ctx context.Context, s *shard, c *cell.Cell) {
	for ctx.Err() == nil {
		v.mu.Lock()
		known := v.fleetList.Len() > 0
		v.mu.Unlock()
		if known {
			v.updateCellFleet(s, c)
			return
		}
		select {
		case <-ctx.Done():
		case <-v.clk.After(fleetInterval / 10):
		}
	}
}

// updateCellFleet passes a shard's workers and backend servers to its cell.
func (v *VM) updateCellFleet(s *shard, c *cell.Cell) {
	v.mu.Lock()
	known := v.fleetList.Len() > 0
	workers := v.vmsOfShard(fleet.RoleWorker, s)
	backends := v.vmsOfShard(fleet.RoleBackend, s)
	v.mu.Unlock()
	if known {
		c.SetFleet(workers, backends)
	}
}

// vmsOfShard returns the listed VMs of a role that belong to a shard. v.mu must be
// held.
func (v *VM) vmsOfShard(role fleet.Role, s *shard) []fleet.VM {
	l := v.layouts.get()
	if l == nil {
		return nil
	}
	var out []fleet.VM
	for _, w := range v.fleetList.WithRole(role) {
		if w.DataCentre() != s.dc {
			continue
		}
		if name, ok := l.shardOf(s.dc, w.ID()); ok && name == s.name {
			out = append(out, w)
		}
	}
	return out
}

// renewOrphans renews the leases of running tasks whose shard has no owner while the
// store is down, because no owner can be elected then. A renewal starts no task.
func (v *VM) renewOrphans(ctx context.Context) error {
	for {
		if !v.policies.StoreOK() {
			v.renewOrphansOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-v.clk.After(cell.TaskLease / 5):
		}
	}
}

func (v *VM) renewOrphansOnce(ctx context.Context) {
	v.mu.Lock()
	var orphaned []*shard
	for _, s := range v.shards {
		lastOwner, ok := v.members.Owner(s.name)
		ownerless := !ok && v.clk.Now().Sub(lastOwner.AsOf()) > orphanDelay
		if s.dc == v.cfg.DataCentre && s.cell.Load() == nil && ownerless {
			orphaned = append(orphaned, s)
		}
	}
	var workers []fleet.VM
	for _, s := range orphaned {
		workers = append(workers, v.vmsOfShard(fleet.RoleWorker, s)...)
	}
	v.mu.Unlock()
	for _, w := range workers {
		if err := v.renewOrphan(ctx, w); err != nil {
			v.log.Debug("cannot renew orphaned leases", append(logs.Err(err), zap.String("worker", w.ID()))...)
		}
	}
}

func (v *VM) renewOrphan(ctx context.Context, w fleet.VM) error {
	rctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	lease := v.clk.Wall().Add(cell.TaskLease)
	list, err := v.worker.Renew(rctx, w.Addr(), lease, nil, nil)
	if err != nil {
		return err
	}
	ids := runningIDs(list)
	if len(ids) == 0 {
		return nil
	}
	_, err = v.worker.Renew(rctx, w.Addr(), lease, ids, nil)
	return err
}

func runningIDs(list []agent.TaskStatus) []string {
	var out []string
	for _, s := range list {
		if s.State().Running() {
			out = append(out, s.ID())
		}
	}
	return out
}
