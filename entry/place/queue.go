package place

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
)

// rank orders the classes within a team. Gang and batch jobs have the same rank and
// are ordered by latest start.
type rank uint8

const (
	rankUrgent rank = iota
	rankService
	rankBatch
)

func rankOf(c policy.Class) rank {
	switch c {
	case policy.ClassUrgent:
		return rankUrgent
	case policy.ClassService:
		return rankService
	default:
		return rankBatch
	}
}

const (
	// sizeLevels is the number of buckets for a class by size, so that a large job
	// that does not fit does not block the smaller ones behind it.
	sizeLevels = 6
	// acceleratorBuckets is the first of the buckets for work that needs
	// accelerators, one for each class. Such work fits workers on which capacity
	// is reserved from other work.
	acceleratorBuckets = 4 * sizeLevels
	bucketCount        = acceleratorBuckets + 4
	// urgentMask and otherMask are the bit masks of the buckets of urgent jobs and
	// of all others.
	urgentMask = 1<<sizeLevels - 1 | 1<<acceleratorBuckets
	otherMask  = (1<<bucketCount - 1) &^ urgentMask
)

// bucketOf returns the priority bucket of a job. Each of urgent, service, gang and
// batch has sizeLevels buckets by size, and one for work that needs accelerators.
// The highest level holds sizes above half of the largest worker, the next one sizes
// above a quarter, and so on.
func (s *State) bucketOf(j *job) uint8 {
	class := 3
	switch j.spec.class {
	case policy.ClassUrgent:
		class = 0
	case policy.ClassService:
		class = 1
	case policy.ClassGang:
		class = 2
	}
	if j.spec.size.Accelerators() > 0 {
		return uint8(acceleratorBuckets + class)
	}
	size, maxCapacity := s.expectedSize(j), s.plain.maxCapacity
	fraction := max(ratio(size.CPUMilli(), maxCapacity.CPUMilli()), ratio(size.MemoryMiB(), maxCapacity.MemoryMiB()), 1e-9)
	level := max(0, min(sizeLevels-1, sizeLevels-1+int(math.Ceil(math.Log2(fraction)))))
	return uint8(class*sizeLevels + level)
}

// jobHeap is a heap of jobs by rank, priority and latest start.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(a, b int) bool { return jobBefore(h[a], h[b]) }
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.heapIndex = -1
	return j
}

// jobBefore reports whether a is served before b.
func jobBefore(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.spec.priority, a.spec.priority),
		cmp.Compare(a.sortKey, b.sortKey), cmp.Compare(a.seq, b.seq)) < 0
}

// team is a client account with its waiting jobs and its usage.
type team struct {
	name   string
	weight float64
	// used is allocated to running tasks and holds, reserved to waiting jobs.
	used, reserved amount.Vec
	// share is the dominant share, by which teams are served.
	share float64

	// buckets holds the waiting jobs. The bit masks nonEmpty, blocked, tentative
	// and atLimit have a bit for each bucket.
	buckets  [bucketCount]jobHeap
	nonEmpty uint32
	// blocked marks buckets whose first job could not be placed, until a change
	// that may allow it.
	blocked uint32
	// blockedNeeds is the size that the first job needed, by blocked bucket.
	blockedNeeds [bucketCount]blockedNeed
	// tentative marks buckets that were unblocked only because their first job fits
	// one of State.freedWorkers.
	tentative uint32
	// atLimit marks the buckets that are blocked by the team's limit, not by a lack
	// of capacity.
	atLimit uint32
	// heapIndex is the index in the heap of teams with urgent work and in that of
	// teams with other work, or -1.
	heapIndex [2]int
	// remainingExcess is the amount still to be stopped after the limit was lowered.
	remainingExcess amount.Vec
}

// teamHeap is a heap of teams by dominant share. Its index is its position in
// State.heaps, and that of a team's position in team.heapIndex.
type teamHeap struct {
	teams []*team
	index int
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(a, b int) bool {
	if h.teams[a].share != h.teams[b].share {
		return h.teams[a].share < h.teams[b].share
	}
	return h.teams[a].name < h.teams[b].name
}

func (h *teamHeap) Swap(a, b int) {
	h.teams[a], h.teams[b] = h.teams[b], h.teams[a]
	h.teams[a].heapIndex[h.index], h.teams[b].heapIndex[h.index] = a, b
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.heapIndex[h.index] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	t := h.teams[len(h.teams)-1]
	h.teams[len(h.teams)-1] = nil
	h.teams = h.teams[:len(h.teams)-1]
	t.heapIndex[h.index] = -1
	return t
}

// team returns a team, which it creates with weight 1 if needed.
func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, heapIndex: [2]int{-1, -1}}
		s.teams[name] = t
		s.teamOrder = append(s.teamOrder, t)
	}
	return t
}

// dominantShare returns the largest fraction of any resource that the team uses or
// has reserved, divided by its weight.
func (s *State) dominantShare(t *team) float64 {
	v := t.used.Add(t.reserved)
	return max(ratio(v.CPUMilli(), s.totalCapacity.CPUMilli()), ratio(v.MemoryMiB(), s.totalCapacity.MemoryMiB()),
		ratio(v.Accelerators(), s.totalCapacity.Accelerators())) / t.weight
}

// addTeamUsage adds to what a team uses and has reserved, and updates its order.
func (s *State) addTeamUsage(t *team, used, reserved amount.Vec) {
	t.used, t.reserved = t.used.Add(used), t.reserved.Add(reserved)
	t.share = s.dominantShare(t)
	for i, h := range s.heaps {
		if t.heapIndex[i] >= 0 {
			heap.Fix(h, t.heapIndex[i])
		}
	}
}

// recomputeShares recomputes the shares of all teams after a change of capacities
// or weights.
func (s *State) recomputeShares() {
	s.sharesStale = false
	for _, t := range s.teamOrder {
		t.share = s.dominantShare(t)
	}
	for _, h := range s.heaps {
		heap.Init(h)
	}
}

// enqueue adds a job with startable members to its bucket. It does nothing if the
// job is queued already, cancelled or offered to other shards.
func (s *State) enqueue(j *job) {
	if j.heapIndex >= 0 || j.cancelled || j.offered || !j.startable() {
		return
	}
	t := j.team
	j.sortKey = s.latestStart(j)
	j.bucket = s.bucketOf(j)
	heap.Push(&t.buckets[j.bucket], j)
	t.nonEmpty |= 1 << j.bucket
	if t.buckets[j.bucket][0] == j {
		t.blocked &^= 1 << j.bucket
		t.tentative &^= 1 << j.bucket
	}
	s.activateTeam(t)
}

// dequeue removes a job from its bucket, if it is in one.
func (s *State) dequeue(j *job) {
	if j.heapIndex < 0 {
		return
	}
	h := &j.team.buckets[j.bucket]
	heap.Remove(h, j.heapIndex)
	if h.Len() == 0 {
		j.team.nonEmpty &^= 1 << j.bucket
	}
	j.team.blocked &^= 1 << j.bucket
	j.team.tentative &^= 1 << j.bucket
	s.activateTeam(j.team)
}

// activateTeam adds a team with buckets to try to the heaps.
func (s *State) activateTeam(t *team) {
	open := t.nonEmpty &^ t.blocked
	for i, mask := range [2]uint32{urgentMask, otherMask} {
		if open&mask != 0 && t.heapIndex[i] < 0 {
			heap.Push(s.heaps[i], t)
		}
	}
}

// maxFreedWorkers bounds the workers compared with each blocked bucket. With more
// of them it is cheaper to retry all buckets.
const maxFreedWorkers = 16

// blockedNeed is the CPU and memory that the first job of a blocked bucket needs.
type blockedNeed struct{ cpu, mem int64 }

// unblockBuckets unblocks all buckets if the version has changed, otherwise those
// whose first job fits a worker with freed capacity.
func (s *State) unblockBuckets() {
	all := s.triedVersion != s.version
	s.triedVersion = s.version
	if !all && len(s.freedWorkers) == 0 {
		return
	}
	for _, t := range s.teamOrder {
		if t.blocked == 0 {
			continue
		}
		if all {
			t.blocked, t.atLimit, t.tentative = 0, 0, 0
		} else {
			s.unblockFitting(t)
		}
		s.activateTeam(t)
	}
}

// clearFreedWorkers clears the list of workers with freed capacity once all buckets
// were tried.
func (s *State) clearFreedWorkers() {
	for _, w := range s.freedWorkers {
		w.inFreed = false
	}
	clear(s.freedWorkers)
	s.freedWorkers = s.freedWorkers[:0]
}

// unblockFitting unblocks the buckets of t whose first job fits a worker with freed
// capacity.
func (s *State) unblockFitting(t *team) {
	for rest := t.blocked &^ t.atLimit & t.nonEmpty; rest != 0; rest &= rest - 1 {
		bucket := bits.TrailingZeros32(rest)
		if s.fitsFreedWorker(t.blockedNeeds[bucket]) {
			t.blocked &^= 1 << bucket
			t.tentative |= 1 << bucket
		}
	}
}

func (s *State) fitsFreedWorker(n blockedNeed) bool {
	for _, w := range s.freedWorkers {
		if free := w.free(); n.cpu <= free.CPUMilli() && n.mem <= free.MemoryMiB() {
			return true
		}
	}
	return false
}

// recheckTentative blocks the tentative buckets again for which other teams have
// taken the freed capacity in the meantime. This costs less than a search.
func (s *State) recheckTentative(t *team) {
	for rest := t.tentative &^ t.blocked; rest != 0; rest &= rest - 1 {
		bucket := bits.TrailingZeros32(rest)
		if !s.fitsFreedWorker(t.blockedNeeds[bucket]) {
			t.blocked |= 1 << bucket
		}
	}
	t.tentative &^= t.blocked
}

// blockBucket blocks a bucket whose first job j could not be placed.
func (s *State) blockBucket(j *job, bucket uint8) {
	t := j.team
	t.blocked |= 1 << bucket
	t.atLimit &^= 1 << bucket
	if j.waitReason == ReasonLimit {
		t.atLimit |= 1 << bucket
	}
	t.tentative &^= 1 << bucket
	size := s.expectedSize(j)
	t.blockedNeeds[bucket] = blockedNeed{size.CPUMilli(), size.MemoryMiB()}
}

// nextJob returns the job to serve next among the buckets of mask that are not
// blocked, or nil.
func (s *State) nextJob(t *team, mask uint32) *job {
	var best *job
	for open := t.nonEmpty &^ t.blocked & mask; open != 0; open &= open - 1 {
		if j := s.peekBucket(t, bits.TrailingZeros32(open)); j != nil && (best == nil || jobBefore(j, best)) {
			best = j
		}
	}
	return best
}

// peekBucket returns the first job of a bucket that was not cancelled, or nil. It
// first moves jobs back whose latest start has become later or has passed.
func (s *State) peekBucket(t *team, i int) *job {
	for t.buckets[i].Len() > 0 {
		j := t.buckets[i][0]
		if j.cancelled {
			s.cancelledEntries--
			heap.Pop(&t.buckets[i])
			continue
		}
		sortKey := s.latestStart(j)
		if sortKey <= j.sortKey {
			return j
		}
		j.sortKey = sortKey
		heap.Fix(&t.buckets[i], 0)
	}
	t.nonEmpty &^= 1 << i
	return nil
}

// missedDeadlineOffset is added to the sort key of jobs that will miss their deadline,
// so that they do not make others miss theirs too.
const missedDeadlineOffset = clock.Mono(1) << 61

// latestStart returns the latest time at which a task can start to end before the
// deadline, as a sort key. A job counts as one that will miss its deadline if not
// even a run of half the learned time would end before it.
func (s *State) latestStart(j *job) clock.Mono {
	if j.spec.deadline == 0 {
		return math.MaxInt64
	}
	runTime := s.expectedRunTime(j)
	key := j.spec.deadline.Add(-runTime)
	if s.now.Add(runTime/2) > j.spec.deadline && j.est.runTime.hasEnoughSamples() {
		key += missedDeadlineOffset
	}
	return key
}
