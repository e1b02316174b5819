package route

import (
	"container/heap"

	"limpethitch.example/core/clock"
)

// timer is a function that is due at a time. It runs with the lock held.
type timer struct {
	at  clock.Mono
	run func(now clock.Mono)
}

// timerHeap orders timers by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// schedule calls run at a time, with the lock held.
func (r *Router) schedule(at clock.Mono, run func(now clock.Mono)) {
	heap.Push(&r.timers, timer{at: at, run: run})
}

// runDue runs the timers that are due.
func (r *Router) runDue(now clock.Mono) {
	for len(r.timers) > 0 && r.timers[0].at <= now {
		t := heap.Pop(&r.timers).(timer)
		t.run(now)
	}
}
