package sched

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"sort"
)

// workerIndex holds the open workers, those that may get tasks, ordered by free CPU. Rounds
// look workers up here: examining every worker for every waiting step would cost the product
// of both numbers, which one owner cannot afford with thousands of workers.
type workerIndex struct {
	// open is ordered by compareFree.
	open []*worker
}

// compareFree orders workers by free CPU, most first, and then by ID.
func compareFree(a, b *worker) int {
	return cmp.Or(cmp.Compare(b.indexedFreeCPU, a.indexedFreeCPU), cmp.Compare(a.spec.ID, b.spec.ID))
}

// update adds, moves or removes a worker. It must be called when the worker's free capacity
// changes during a round.
func (x *workerIndex) update(w *worker, open bool) {
	free := w.free().CPUMilli()
	if w.open == open && (!open || w.indexedFreeCPU == free) {
		return
	}
	if w.open {
		i, _ := slices.BinarySearchFunc(x.open, w, compareFree)
		x.open = slices.Delete(x.open, i, i+1)
	}
	w.open, w.indexedFreeCPU = open, free
	if open {
		i, _ := slices.BinarySearchFunc(x.open, w, compareFree)
		x.open = slices.Insert(x.open, i, w)
	}
}

// anyFreeCPU selects all open workers; a worker that runs more than fits has less than none.
const anyFreeCPU = math.MinInt64

// withFreeCPU returns the open workers with at least the given free CPU, in thousandths of a
// core. The result is valid until the next update.
func (x *workerIndex) withFreeCPU(cpuMilli int64) []*worker {
	n := sort.Search(len(x.open), func(i int) bool { return x.open[i].indexedFreeCPU < cpuMilli })
	return x.open[:n]
}

// maxFreeCPU returns the most free CPU of an open worker, in thousandths of a core.
func (x *workerIndex) maxFreeCPU() int64 {
	if len(x.open) == 0 {
		return 0
	}
	return x.open[0].indexedFreeCPU
}

// indexWorkers brings the index up to date for a round.
func (s *State) indexWorkers() {
	s.scratch.examined, s.scratch.searches = 0, 0
	for _, w := range s.workerList {
		s.index.update(w, s.acceptsWork(w) && w.unknownRuns == 0)
	}
}

// suits reports whether a worker may run tasks of a step in this round, regardless of free
// capacity and advice.
func suits(w *worker, st *step) bool {
	return w.open && (st.job.queue.Service == "" || w.spec.Service == st.job.queue.Service) &&
		(st.spec.Label == "" || slices.Contains(w.spec.Labels, st.spec.Label))
}

// racks returns the labels of the racks that the worker is in. By convention rack labels
// have more than one character and all other labels have one.
func (w *worker) racks() []string {
	var out []string
	for _, l := range w.spec.Labels {
		if len(l) > 1 {
			out = append(out, l)
		}
	}
	return out
}

// allWaiting iterates over the steps that wait for a worker, overdue ones last.
func (s *State) allWaiting() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, list := range [][]*step{s.waiting, s.overdue} {
			for _, st := range list {
				if !yield(st) {
					return
				}
			}
		}
	}
}
