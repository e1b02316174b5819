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
	levels     = 6
	lanes      = 4 * levels
	urgentMask = 1<<levels - 1
	otherMask  = (1<<lanes - 1) &^ urgentMask
)

// laneOf returns the queue of a job: 6 levels of size for each of urgent,
// service, gang and batch.
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
func dominantShare(s *State, t *team) float64 {
	v := t.used.Add(t.reserved)
	return max(ratio(v.CPUMilli(), s.total.CPUMilli()), ratio(v.MemoryMiB(), s.total.MemoryMiB()),
		ratio(v.Accelerators(), s.total.Accelerators())) / t.weight
}

// charge changes what a team runs and its place in the order.
func (s *State) charge(t *team, used, reserved amount.Vec) {
	t.used, t.reserved = t.used.Add(used), t.reserved.Add(reserved)
	t.share = s.cfg.teamKey(s, t)
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
		t.share = s.cfg.teamKey(s, t)
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

// unblock lets every waiting team be tried again.
func (s *State) unblock() {
	for _, t := range s.teamOrder {
		if t.blocked != 0 {
			t.blocked = 0
			s.wake(t)
		}
	}
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

// head returns the first job of a lane that was not cancelled.
func (s *State) head(t *team, i int) *job {
	for t.lanes[i].Len() > 0 {
		j := t.lanes[i][0]
		if !j.cancelled {
			return j
		}
		s.dead--
		heap.Pop(&t.lanes[i])
	}
	t.nonEmpty &^= 1 << i
	return nil
}

// safeStart returns the latest start from which a task still ends in time.
func (s *State) safeStart(j *job) clock.Mono {
	if j.spec.deadline == 0 {
		return math.MaxInt64
	}
	return j.spec.deadline.Add(-s.runOf(j))
}
