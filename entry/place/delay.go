package place

import (
	"container/heap"

	"limpethitch.example/core/clock"
)

// later is a member that failed and waits before its next start.
type later struct {
	at     clock.Mono
	job    *job
	member int
}

// delayed is a heap of members by the end of their delay.
type delayed []later

func (d delayed) Len() int           { return len(d) }
func (d delayed) Less(a, b int) bool { return d[a].at < d[b].at }
func (d delayed) Swap(a, b int)      { d[a], d[b] = d[b], d[a] }
func (d *delayed) Push(x any)        { *d = append(*d, x.(later)) }

func (d *delayed) Pop() any {
	old := *d
	l := old[len(old)-1]
	old[len(old)-1] = later{}
	*d = old[:len(old)-1]
	return l
}

func (d *delayed) push(l later) { heap.Push(d, l) }

// release lets members wait again whose delay has ended.
func (s *State) release() {
	for len(s.delayed) > 0 && s.delayed[0].at <= s.now {
		l := heap.Pop(&s.delayed).(later)
		j := l.job
		j.parked--
		if j.cancelled {
			continue
		}
		j.retry = append(j.retry, l.member)
		s.enqueue(j)
	}
}

// admitAgain ends quarantines that are due: the worker gets one task, and after
// that succeeded all it can hold.
func (s *State) admitAgain() {
	kept := s.quarantined[:0]
	for _, w := range s.quarantined {
		switch {
		case w.gone || w.until == 0:
		case w.until > s.now:
			kept = append(kept, w)
		default:
			w.until, w.probation, w.streak = 0, true, w.streak[:0]
			s.roomier(w)
		}
	}
	clear(s.quarantined[len(kept):])
	s.quarantined = kept
}
