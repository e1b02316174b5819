package place

import (
	"container/heap"

	"limpethitch.example/core/clock"
)

// delayedMember is a member that failed and must not start again before a time.
type delayedMember struct {
	notBefore clock.Mono
	job       *job
	member    int
}

// delayHeap is a min-heap of delayed members by the end of their delay.
type delayHeap []delayedMember

func (d delayHeap) Len() int           { return len(d) }
func (d delayHeap) Less(a, b int) bool { return d[a].notBefore < d[b].notBefore }
func (d delayHeap) Swap(a, b int)      { d[a], d[b] = d[b], d[a] }
func (d *delayHeap) Push(x any)        { *d = append(*d, x.(delayedMember)) }

func (d *delayHeap) Pop() any {
	old := *d
	m := old[len(old)-1]
	old[len(old)-1] = delayedMember{}
	*d = old[:len(old)-1]
	return m
}

func (d *delayHeap) push(m delayedMember) { heap.Push(d, m) }

// releaseDelayed enqueues the members whose delay has ended.
func (s *State) releaseDelayed() {
	for len(s.delayed) > 0 && s.delayed[0].notBefore <= s.now {
		m := heap.Pop(&s.delayed).(delayedMember)
		j := m.job
		j.deferred--
		if j.cancelled {
			continue
		}
		j.retryMembers = append(j.retryMembers, m.member)
		s.enqueue(j)
	}
}

// endQuarantines ends the quarantines that are due. The worker then is on
// probation: it gets a single task, and further ones once that has succeeded.
func (s *State) endQuarantines() {
	kept := s.quarantined[:0]
	for _, w := range s.quarantined {
		switch {
		case w.removed || w.quarantinedUntil == 0:
		case w.quarantinedUntil > s.now:
			kept = append(kept, w)
		default:
			w.quarantinedUntil, w.onProbation, w.failedJobs = 0, true, w.failedJobs[:0]
			s.capacityFreed(w)
		}
	}
	clear(s.quarantined[len(kept):])
	s.quarantined = kept
}
