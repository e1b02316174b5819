package place

import (
	"math/bits"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

const (
	gridSide = 32
	// maxRejected bounds the workers that a search rejects. A search that reaches
	// it is inconclusive, and the next one starts at other workers.
	maxRejected = 256
	// maxCandidates bounds the fitting workers that a search compares. A larger
	// bound did not improve packing in TestCompare.
	maxCandidates = 24
	// candidatesPerCell and cellsPerRow bound how many of them come from one cell
	// and how many cells of a row are used.
	candidatesPerCell = 3
	cellsPerRow       = 2
	// noFitCacheSize is the number of sizes in a noFitCache.
	noFitCacheSize = 8
)

// grid is an index of the usable workers by free CPU (row) and free memory
// (column).
type grid struct {
	// maxCapacity is the largest CPU and memory of any worker so far; it scales the
	// rows and columns.
	maxCapacity amount.Vec
	// rows has a bit for each cell that is not empty.
	rows        [gridSide]uint32
	cells       [gridSide][gridSide][]*worker
	workerCount int
	// rotation changes with each search, so that searches start at different
	// workers of a cell.
	rotation uint32
}

// gridIndex returns the row or column of a value.
func gridIndex(v, maxValue int64) int {
	if v <= 0 || maxValue <= 0 {
		return 0
	}
	return min(gridSide-1, int(float64(v)/float64(maxValue)*gridSide))
}

// insert adds w to the cell of its free capacity.
func (g *grid) insert(w *worker) {
	free := w.free()
	w.row, w.col = uint8(gridIndex(free.CPUMilli(), g.maxCapacity.CPUMilli())), uint8(gridIndex(free.MemoryMiB(), g.maxCapacity.MemoryMiB()))
	cell := &g.cells[w.row][w.col]
	w.cellIndex = len(*cell)
	*cell = append(*cell, w)
	g.rows[w.row] |= 1 << w.col
	w.grid = g
	g.workerCount++
}

func (g *grid) remove(w *worker) {
	cell := &g.cells[w.row][w.col]
	last := len(*cell) - 1
	(*cell)[w.cellIndex] = (*cell)[last]
	(*cell)[w.cellIndex].cellIndex = w.cellIndex
	(*cell)[last] = nil
	*cell = (*cell)[:last]
	if last == 0 {
		g.rows[w.row] &^= 1 << w.col
	}
	w.grid = nil
	g.workerCount--
}

// move moves w to the cell of its current free capacity.
func (g *grid) move(w *worker) {
	free := w.free()
	if w.grid == g && int(w.row) == gridIndex(free.CPUMilli(), g.maxCapacity.CPUMilli()) &&
		int(w.col) == gridIndex(free.MemoryMiB(), g.maxCapacity.MemoryMiB()) {
		return
	}
	g.remove(w)
	g.insert(w)
}

// query is a search for a worker: its input, bounds and result.
type query struct {
	job    *job
	size   amount.Vec
	runEnd clock.Mono
	// reserved is set when a worker had free capacity that is reserved for another
	// job.
	reserved bool
	// inconclusive is set when the search gave up before it had seen all workers.
	inconclusive bool

	rejected, candidates int
	best                 *worker
	score                float64
}

// search looks for the best fit in the rows and columns with enough free capacity.
func (s *State) search(g *grid, q *query) {
	row, col := gridIndex(q.size.CPUMilli(), g.maxCapacity.CPUMilli()), gridIndex(q.size.MemoryMiB(), g.maxCapacity.MemoryMiB())
	g.rotation++
	for ; row < gridSide; row++ {
		mask := g.rows[row] >> col << col
		for cellsUsed := 0; mask != 0 && cellsUsed < cellsPerRow; {
			cellCol := bits.TrailingZeros32(mask)
			mask &= mask - 1
			if s.searchCell(g.cells[row][cellCol], int(g.rotation), q) {
				cellsUsed++
			}
			if q.rejected >= maxRejected {
				q.inconclusive = true
				return
			}
		}
		if q.candidates >= maxCandidates {
			return
		}
	}
}

// searchCell compares the workers of a cell from position start on, and reports
// whether one of them fits.
func (s *State) searchCell(cell []*worker, start int, q *query) bool {
	found := 0
	at := start % len(cell)
	for range cell {
		w := cell[at]
		if at++; at == len(cell) {
			at = 0
		}
		if !q.size.Fits(w.free()) || !s.admits(w, q) {
			if q.rejected++; q.rejected >= maxRejected {
				return found > 0
			}
			continue
		}
		q.candidates++
		if score := s.score(w, q); q.best == nil || score < q.score {
			q.best, q.score = w, score
		}
		if found++; found == candidatesPerCell {
			return true
		}
	}
	return found > 0
}

// score rates the fit of a worker; lower is better. It is the larger of the
// fractions of CPU and memory left free, so that neither is stranded, plus
// penalties.
func (s *State) score(w *worker, q *query) float64 {
	left := w.free().Sub(q.size)
	score := max(ratio(left.CPUMilli(), w.capacity.CPUMilli()), ratio(left.MemoryMiB(), w.capacity.MemoryMiB()))
	score += 0.25 * ratio(left.Accelerators(), w.capacity.Accelerators())
	if len(q.job.failedOn) > 0 {
		// A job that has failed needs a worker known to work: failures on three
		// bad workers would end it. Both penalties exceed any difference in fit,
		// which is at most 1.25.
		if len(w.failedJobs) > 0 {
			score += 4
		}
		if !w.proven {
			score += 2
		}
	}
	return score
}

// ratio returns part / whole, or 0 if there is no whole.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// findWorker returns the best worker found for q, or nil. Work that needs no
// accelerators goes to a worker with accelerators only if no other fits.
func (s *State) findWorker(q *query) *worker {
	if s.noFitCache.covers(q.size) {
		return nil
	}
	if q.size.Accelerators() == 0 {
		s.search(&s.plain, q)
		if q.best == nil {
			s.search(&s.accelerated, q)
		}
	} else {
		s.search(&s.accelerated, q)
	}
	if q.best == nil && !q.inconclusive && !q.reserved && !q.job.constrained() {
		s.noFitCache.add(q.size)
	}
	return q.best
}

// noFitCache holds recent sizes that fit no worker, so that on a full cell a job
// costs a few comparisons instead of a search.
type noFitCache struct {
	sizes   [noFitCacheSize]amount.Vec
	n, next int
}

// covers reports whether size is at least as large as a cached one. Sizes without
// accelerators say nothing about work that needs them, because CPU and memory are
// reserved for it on the workers with accelerators.
func (f *noFitCache) covers(size amount.Vec) bool {
	for i := range f.n {
		if f.sizes[i].Fits(size) && (f.sizes[i].Accelerators() > 0 || size.Accelerators() == 0) {
			return true
		}
	}
	return false
}

// add caches a size, in place of the oldest one if the cache is full.
func (f *noFitCache) add(size amount.Vec) {
	if f.n < noFitCacheSize {
		f.sizes[f.n] = size
		f.n++
		return
	}
	f.sizes[f.next] = size
	f.next = (f.next + 1) % noFitCacheSize
}

// invalidate removes the sizes that fit into free.
func (f *noFitCache) invalidate(free amount.Vec) {
	kept := 0
	for i := range f.n {
		if !f.sizes[i].Fits(free) {
			f.sizes[kept] = f.sizes[i]
			kept++
		}
	}
	f.n, f.next = kept, 0
}
