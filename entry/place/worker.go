package place

import (
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
)

// quarantineAfter is the number of different jobs that have to fail in a row on a
// worker for it to be quarantined.
const quarantineAfter = 3

// WorkerSpec is a worker's id, rack and capacity.
type WorkerSpec struct {
	id, rack string
	capacity amount.Vec
}

// NewWorkerSpec returns a worker's spec. Negative capacities become 0.
func NewWorkerSpec(id, rack string, capacity amount.Vec) WorkerSpec {
	return WorkerSpec{id: id, rack: rack, capacity: capacity.ClampToZero()}
}

// ID returns the worker's id.
func (w WorkerSpec) ID() string { return w.id }

// Rack returns the worker's rack.
func (w WorkerSpec) Rack() string { return w.rack }

// Capacity returns the worker's total capacity.
func (w WorkerSpec) Capacity() amount.Vec { return w.capacity }

// worker is a worker with its tasks and its scheduling state.
type worker struct {
	id, rack string
	capacity amount.Vec
	// allocated is the capacity allocated to tasks and holds.
	allocated amount.Vec
	tasks     []*task

	// overloaded is set while allocated exceeds capacity.
	ready, removed, overloaded bool
	// inOverloaded is set while the worker is in State.overloaded, throttleTried once
	// its tasks were throttled for the current overload.
	inOverloaded, throttleTried bool
	// nextReclaimAt is when the next action on an overloaded worker is due.
	nextReclaimAt clock.Mono

	// countedFree is this worker's part of State.freeCapacity.
	countedFree amount.Vec
	// grid, row, col and cellIndex are the worker's place in the index; grid is nil
	// while it is not indexed.
	grid      *grid
	row, col  uint8
	cellIndex int
	// orderIndex is the position in State.workerOrder.
	orderIndex int

	// reservedCapacity is the capacity that is reserved for the job reservedFor from
	// the time reservedFrom on.
	reservedCapacity amount.Vec
	reservedFrom     clock.Mono
	reservedFor      *job
	// urgentJob is the urgent job for which tasks are being preempted here.
	urgentJob *job

	// failedJobs lists the different jobs that failed here since the last success.
	failedJobs []*job
	// proven is set if a task has succeeded since the last quarantine.
	proven bool
	// quarantinedUntil is the end of the quarantine, 0 if there is none. After a
	// quarantine the worker is on probation and gets one task.
	quarantinedUntil clock.Mono
	backoff          time.Duration
	onProbation      bool
	// inFreed is set while the worker is in State.freedWorkers.
	inFreed bool
	// inThrottled is set while the worker is in State.throttledWorkers.
	inThrottled    bool
	throttledTasks int
}

// free returns the capacity that is not allocated. It is negative while the worker
// is overloaded.
func (w *worker) free() amount.Vec { return w.capacity.Sub(w.allocated) }

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable() bool {
	return w.ready && !w.removed && !w.overloaded && w.quarantinedUntil == 0
}

// PutWorker adds a worker, or changes its rack and capacity. Nothing is placed on a
// new worker before MarkReady.
func (s *State) PutWorker(spec WorkerSpec, now clock.Mono) {
	s.advance(now)
	w := s.workers[spec.id]
	if w == nil {
		w = &worker{id: spec.id}
		s.workers[spec.id] = w
		w.orderIndex = len(s.workerOrder)
		s.workerOrder = append(s.workerOrder, w)
	} else if !w.removed {
		s.countCapacity(w.capacity, -1)
	}
	s.unindexWorker(w)
	w.removed = false
	s.removeFromRack(w)
	w.rack, w.capacity = spec.rack, spec.capacity
	s.racks[w.rack] = append(s.racks[w.rack], w)
	if len(s.racks[w.rack]) == 1 {
		s.rackNames = append(s.rackNames, w.rack)
	}
	s.countCapacity(w.capacity, 1)
	s.growGrids(w.capacity)
	s.reindex(w)
}

// removeFromRack removes w from the workers of its rack.
func (s *State) removeFromRack(w *worker) {
	list := s.racks[w.rack]
	i := slices.Index(list, w)
	if i < 0 {
		return
	}
	s.racks[w.rack] = slices.Delete(list, i, i+1)
	if len(s.racks[w.rack]) == 0 {
		delete(s.racks, w.rack)
		s.rackNames = slices.DeleteFunc(s.rackNames, func(r string) bool { return r == w.rack })
	}
}

// growGrids rescales the grids if capacity exceeds that of all workers so far.
func (s *State) growGrids(capacity amount.Vec) {
	if capacity.Fits(s.plain.maxCapacity) {
		return
	}
	maxCapacity := s.plain.maxCapacity.Max(capacity)
	indexed := make([]*worker, 0, len(s.workerOrder))
	for _, w := range s.workerOrder {
		if w.grid != nil {
			w.grid.remove(w)
			indexed = append(indexed, w)
		}
	}
	s.plain.maxCapacity, s.accelerated.maxCapacity = maxCapacity, maxCapacity
	for _, w := range indexed {
		s.indexWorker(w)
	}
}

// RemoveWorker removes a worker. Its tasks stay allocated until each is reported with
// TaskEnded, since their leases may not have expired yet.
func (s *State) RemoveWorker(id string) {
	w := s.workers[id]
	if w == nil || w.removed {
		return
	}
	w.removed, w.ready = true, false
	s.countCapacity(w.capacity, -1)
	s.removeFromRack(w)
	s.unindexWorker(w)
	s.cancelReservation(w.reservedFor)
	s.deleteIfEmpty(w)
}

// deleteIfEmpty deletes a removed worker once nothing is allocated on it.
func (s *State) deleteIfEmpty(w *worker) {
	if !w.removed || len(w.tasks) > 0 || !w.allocated.IsZero() {
		return
	}
	last := s.workerOrder[len(s.workerOrder)-1]
	s.workerOrder[w.orderIndex], last.orderIndex = last, w.orderIndex
	s.workerOrder[len(s.workerOrder)-1] = nil
	s.workerOrder = s.workerOrder[:len(s.workerOrder)-1]
	delete(s.workers, w.id)
}

// MarkReady allows placement on a worker. It must be called after the worker has
// reported its tasks and they were adopted.
func (s *State) MarkReady(id string) {
	if w := s.workers[id]; w != nil && !w.removed {
		w.ready = true
		s.reindex(w)
		// Sizes cached as not fitting while no worker was ready may fit now.
		s.capacityFreed(w)
	}
}

// Quarantined reports whether a worker receives no tasks because different jobs
// failed on it in a row.
func (s *State) Quarantined(id string) bool {
	w := s.workers[id]
	return w != nil && w.quarantinedUntil != 0
}

// indexWorker adds w to the grid for workers of its type.
func (s *State) indexWorker(w *worker) {
	if w.capacity.Accelerators() > 0 {
		s.accelerated.insert(w)
		return
	}
	s.plain.insert(w)
}

// unindexWorker removes w from its grid and from the free capacity.
func (s *State) unindexWorker(w *worker) {
	if w.grid != nil {
		w.grid.remove(w)
		if s.plain.workerCount == 0 {
			s.noFitCache.n = 0
			s.version++
		}
	}
	s.setCountedFree(w, amount.Vec{})
}

// setCountedFree sets the part of State.freeCapacity that is due to w.
func (s *State) setCountedFree(w *worker, free amount.Vec) {
	s.freeCapacity = s.freeCapacity.Sub(w.countedFree).Add(free)
	w.countedFree = free
}

// reindex updates the index, the free capacity and the overload state after a change
// of the worker's allocation, capacity or usability.
func (s *State) reindex(w *worker) {
	over := !w.allocated.Fits(w.capacity)
	if over && !w.inOverloaded {
		w.inOverloaded, w.nextReclaimAt = true, s.now
		s.overloaded = append(s.overloaded, w)
	}
	w.overloaded = over
	if !w.usable() {
		s.unindexWorker(w)
		return
	}
	if w.grid == nil {
		s.indexWorker(w)
	} else {
		w.grid.move(w)
	}
	s.setCountedFree(w, w.free())
}

// capacityFreed records that w may now fit work that did not fit before.
func (s *State) capacityFreed(w *worker) {
	s.reindex(w)
	if !w.usable() {
		return
	}
	s.noFitCache.invalidate(w.free())
	if !w.inFreed && len(s.freedWorkers) < cap(s.freedWorkers) {
		w.inFreed = true
		s.freedWorkers = append(s.freedWorkers, w)
	} else if !w.inFreed {
		s.version++
	}
}

// countCapacity adds n to the number of workers with a capacity. From these numbers
// the number of tasks that fit an empty shard follows without a scan of all workers.
func (s *State) countCapacity(capacity amount.Vec, n int) {
	s.workersByCapacity[capacity] += n
	if s.workersByCapacity[capacity] == 0 {
		delete(s.workersByCapacity, capacity)
	}
	if n > 0 {
		s.totalCapacity = s.totalCapacity.Add(capacity)
	} else {
		s.totalCapacity = s.totalCapacity.Sub(capacity)
	}
	s.minCapacity = s.plain.maxCapacity.Max(capacity)
	for shape := range s.workersByCapacity {
		s.minCapacity = s.minCapacity.Min(shape)
	}
	s.noFitCache.n = 0
	s.sharesStale, s.version = true, s.version+1
}

// countWhenEmpty returns how many tasks of a size fit the shard when it is empty.
func (s *State) countWhenEmpty(size amount.Vec) int {
	n := 0
	for shape, count := range s.workersByCapacity {
		n += fitCount(shape, size) * count
	}
	return n
}

// maxFitCount bounds the result of fitCount; it is the result for a size of zero.
const maxFitCount = 1 << 20

// fitCount returns how many times size fits into capacity.
func fitCount(capacity, size amount.Vec) int {
	n := int64(maxFitCount)
	for _, pair := range [...][2]int64{
		{capacity.CPUMilli(), size.CPUMilli()},
		{capacity.MemoryMiB(), size.MemoryMiB()},
		{capacity.Accelerators(), size.Accelerators()},
		{capacity.Requests(), size.Requests()},
	} {
		if pair[1] > 0 {
			n = min(n, pair[0]/pair[1])
		} else if pair[0] < 0 {
			n = 0
		}
	}
	return int(max(0, n))
}

// admits reports whether the job of q may be placed on w, which has enough free
// capacity. It sets q.reserved if only a reservation for another job prevents that.
func (s *State) admits(w *worker, q *query) bool {
	if w.urgentJob != nil && w.urgentJob != q.job {
		return false
	}
	if w.onProbation && (len(w.tasks) > 0 || len(q.job.failedOn) > 0 || q.job.spec.class == policy.ClassGang) {
		return false
	}
	if w.throttledTasks > 0 && q.job.rank != rankUrgent {
		return false
	}
	if len(q.job.failedOn) == maxFailedWorkers-1 && s.now < q.job.provenWaitUntil && (!w.proven || len(w.failedJobs) > 0) {
		return false
	}
	if slices.Contains(q.job.failedOn, w.id) || q.job.est.avoids(w.id, s.now) {
		return false
	}
	if !s.leavesAcceleratorReserve(w, w.free(), q.size) {
		return false
	}
	if w.reservedFor == nil || w.reservedFor == q.job || q.job.rank == rankUrgent || q.runEnd <= w.reservedFrom {
		return true
	}
	if q.size.Fits(w.freeAt(w.reservedFrom, s.now).Sub(w.reservedCapacity)) {
		return true
	}
	q.reserved = true
	return false
}

// acceleratorReserve is the fraction of CPU and memory that is reserved for each free
// accelerator, out of the worker's capacity per accelerator. With all of it
// reserved, other work could not use such workers even when they are idle.
const acceleratorReserve = 0.5

// leavesAcceleratorReserve reports whether enough CPU and memory is left for the free
// accelerators when size is taken from free. Nothing is reserved if the shard has no
// workers without accelerators.
func (s *State) leavesAcceleratorReserve(w *worker, free, size amount.Vec) bool {
	total := w.capacity.Accelerators()
	if total == 0 || size.Accelerators() > 0 || s.plain.workerCount == 0 {
		return true
	}
	left := free.Sub(size)
	fraction := acceleratorReserve * ratio(max(0, left.Accelerators()), total)
	return float64(left.CPUMilli()) >= fraction*float64(w.capacity.CPUMilli()) &&
		float64(left.MemoryMiB()) >= fraction*float64(w.capacity.MemoryMiB())
}

// freeAt returns the capacity that will be free at a later time, by the expected ends
// of the tasks.
func (w *worker) freeAt(at, now clock.Mono) amount.Vec {
	free := w.free()
	for _, t := range w.tasks {
		if t.expectedEnd(now) <= at {
			free = free.Add(t.size)
		}
	}
	return free
}
