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

// rank orders classes inside a team; gang and batch jobs share one order by
// latest safe start.
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
	// levels split a queue by size, so that a large job that does not fit does
	// not hide the smaller ones behind it.
	levels = 6
	// Work for accelerators has a lane of its own in each class, since it finds
	// room where other work does not.
	accLanes   = 4 * levels
	lanes      = accLanes + 4
	urgentMask = 1<<levels - 1 | 1<<accLanes
	otherMask  = (1<<lanes - 1) &^ urgentMask
)

// laneOf returns the queue of a job: 6 levels of size for each of urgent,
// service, gang and batch, and one each for work that needs accelerators.
func (s *State) laneOf(j *job) uint8 {
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
		return uint8(accLanes + class)
	}
	size, top := s.sizeOf(j), s.plain.top
	part := max(ratio(size.CPUMilli(), top.CPUMilli()), ratio(size.MemoryMiB(), top.MemoryMiB()), 1e-9)
	level := max(0, min(levels-1, levels-1+int(math.Ceil(math.Log2(part)))))
	return uint8(class*levels + level)
}

// lane is a heap of jobs by priority and latest safe start.
type lane []*job

func (l lane) Len() int           { return len(l) }
func (l lane) Less(a, b int) bool { return before(l[a], l[b]) }
func (l lane) Swap(a, b int) {
	l[a], l[b] = l[b], l[a]
	l[a].pos, l[b].pos = a, b
}

func (l *lane) Push(x any) {
	j := x.(*job)
	j.pos = len(*l)
	*l = append(*l, j)
}

func (l *lane) Pop() any {
	old := *l
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	j.pos = -1
	return j
}

func before(a, b *job) bool {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.spec.priority, a.spec.priority),
		cmp.Compare(a.key, b.key), cmp.Compare(a.seq, b.seq)) < 0
}

// team is one account's queues and what it uses.
type team struct {
	name   string
	weight float64
	// used is set aside for running tasks, reserved is kept for waiting jobs.
	used, reserved amount.Vec
	share          float64

	lanes    [lanes]lane
	nonEmpty uint32
	// blocked marks lanes whose first job could not be placed since the last
	// change that may help it.
	blocked uint32
	// needs is the size that found no room in a blocked lane; atLimit marks the
	// lanes blocked by the limit instead.
	needs [lanes]need
	// soft marks lanes that may fit only the workers in State.roomy.
	soft    uint32
	atLimit uint32
	// at is the position in the urgent and the other heap of teams, or -1.
	at [2]int
	// shedding is what must stop because the limit was lowered.
	shedding amount.Vec
}

// teamHeap orders teams by what they were served so far.
type teamHeap struct {
	teams []*team
	which int
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
	h.teams[a].at[h.which], h.teams[b].at[h.which] = a, b
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.at[h.which] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	t := h.teams[len(h.teams)-1]
	h.teams[len(h.teams)-1] = nil
	h.teams = h.teams[:len(h.teams)-1]
	t.at[h.which] = -1
	return t
}

func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1, at: [2]int{-1, -1}}
		s.teams[name] = t
		s.teamOrder = append(s.teamOrder, t)
	}
	return t
}

// dominantShare is the largest part of any resource that the team runs or has
// reserved, by its weight.
func (s *State) dominantShare(t *team) float64 {
	v := t.used.Add(t.reserved)
	return max(ratio(v.CPUMilli(), s.total.CPUMilli()), ratio(v.MemoryMiB(), s.total.MemoryMiB()),
		ratio(v.Accelerators(), s.total.Accelerators())) / t.weight
}

// charge changes what a team runs and its place in the order.
func (s *State) charge(t *team, used, reserved amount.Vec) {
	t.used, t.reserved = t.used.Add(used), t.reserved.Add(reserved)
	t.share = s.dominantShare(t)
	for i, h := range s.heaps {
		if t.at[i] >= 0 {
			heap.Fix(h, t.at[i])
		}
	}
}

// reorder computes all shares anew after capacities or weights changed.
func (s *State) reorder() {
	s.reshare = false
	for _, t := range s.teamOrder {
		t.share = s.dominantShare(t)
	}
	for _, h := range s.heaps {
		heap.Init(h)
	}
}

// enqueue puts a job with waiting members into its lane.
func (s *State) enqueue(j *job) {
	if j.pos >= 0 || j.cancelled || j.offered || !j.pending() {
		return
	}
	t := j.team
	j.key = s.safeStart(j)
	j.lane = s.laneOf(j)
	heap.Push(&t.lanes[j.lane], j)
	t.nonEmpty |= 1 << j.lane
	if t.lanes[j.lane][0] == j {
		t.blocked &^= 1 << j.lane
		t.soft &^= 1 << j.lane
	}
	s.wake(t)
}

func (s *State) dequeue(j *job) {
	if j.pos < 0 {
		return
	}
	l := &j.team.lanes[j.lane]
	heap.Remove(l, j.pos)
	if l.Len() == 0 {
		j.team.nonEmpty &^= 1 << j.lane
	}
	j.team.blocked &^= 1 << j.lane
	j.team.soft &^= 1 << j.lane
	s.wake(j.team)
}

// wake puts a team with lanes to try into the heaps.
func (s *State) wake(t *team) {
	open := t.nonEmpty &^ t.blocked
	for i, mask := range [2]uint32{urgentMask, otherMask} {
		if open&mask != 0 && t.at[i] < 0 {
			heap.Push(s.heaps[i], t)
		}
	}
}

// maxRoomy bounds the workers compared with each blocked lane; with more it is
// cheaper to try all lanes again.
const maxRoomy = 16

// need is the processors and memory that a blocked lane's first job needs.
type need struct{ cpu, mem int64 }

// unblock lets lanes be tried again: all of them after a change of version,
// otherwise those whose first job fits a worker that has more room.
func (s *State) unblock() {
	all := s.tried != s.version
	s.tried = s.version
	if !all && len(s.roomy) == 0 {
		return
	}
	for _, t := range s.teamOrder {
		if t.blocked == 0 {
			continue
		}
		if all {
			t.blocked, t.atLimit, t.soft = 0, 0, 0
		} else {
			s.unblockTeam(t)
		}
		s.wake(t)
	}
}

// endRoomy forgets the workers with more room once all lanes were tried.
func (s *State) endRoomy() {
	for _, w := range s.roomy {
		w.fresh = false
	}
	clear(s.roomy)
	s.roomy = s.roomy[:0]
}

func (s *State) unblockTeam(t *team) {
	for rest := t.blocked &^ t.atLimit & t.nonEmpty; rest != 0; rest &= rest - 1 {
		lane := bits.TrailingZeros32(rest)
		if s.fitsRoomy(t.needs[lane]) {
			t.blocked &^= 1 << lane
			t.soft |= 1 << lane
		}
	}
}

func (s *State) fitsRoomy(n need) bool {
	for _, w := range s.roomy {
		if free := w.free(); n.cpu <= free.CPUMilli() && n.mem <= free.MemoryMiB() {
			return true
		}
	}
	return false
}

// recheck blocks the lanes again whose room other teams have taken meanwhile,
// which costs less than a search.
func (s *State) recheck(t *team) {
	for rest := t.soft &^ t.blocked; rest != 0; rest &= rest - 1 {
		lane := bits.TrailingZeros32(rest)
		if !s.fitsRoomy(t.needs[lane]) {
			t.blocked |= 1 << lane
		}
	}
	t.soft &^= t.blocked
}

// block keeps a lane from being tried until something changed for it.
func (s *State) block(j *job, lane uint8) {
	t := j.team
	t.blocked |= 1 << lane
	t.atLimit &^= 1 << lane
	if j.why == ReasonLimit {
		t.atLimit |= 1 << lane
	}
	t.soft &^= 1 << lane
	size := s.sizeOf(j)
	t.needs[lane] = need{size.CPUMilli(), size.MemoryMiB()}
}

// first returns the job to serve next among the open lanes of mask.
func (s *State) first(t *team, mask uint32) *job {
	var best *job
	for open := t.nonEmpty &^ t.blocked & mask; open != 0; open &= open - 1 {
		if j := s.head(t, bits.TrailingZeros32(open)); j != nil && (best == nil || before(j, best)) {
			best = j
		}
	}
	return best
}

// head returns the first job of a lane that was not cancelled. Jobs whose
// latest safe start moved back, or passed, sink to their place first.
func (s *State) head(t *team, i int) *job {
	for t.lanes[i].Len() > 0 {
		j := t.lanes[i][0]
		if j.cancelled {
			s.dead--
			heap.Pop(&t.lanes[i])
			continue
		}
		key := s.safeStart(j)
		if key <= j.key {
			return j
		}
		j.key = key
		heap.Fix(&t.lanes[i], 0)
	}
	t.nonEmpty &^= 1 << i
	return nil
}

// lateKey is added to the key of jobs that will miss their deadline, so that
// they do not make others miss theirs too.
const lateKey = clock.Mono(1) << 61

// safeStart returns the latest start from which a task still ends in time. A
// job is late when even a run of half the estimate would not end in time.
func (s *State) safeStart(j *job) clock.Mono {
	if j.spec.deadline == 0 {
		return math.MaxInt64
	}
	run := s.runOf(j)
	key := j.spec.deadline.Add(-run)
	if s.now.Add(run/2) > j.spec.deadline && j.est.run.known() {
		key += lateKey
	}
	return key
}
