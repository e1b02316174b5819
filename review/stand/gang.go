package main

import (
	"fmt"
	"time"
)

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// member is one member of a gang that is present on a minion.
type member struct {
	m *minion
	s *start
}

// gangSize returns the number of tasks of the gang that a task belongs to, or 0.
func (w *world) gangSize(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gangs[task[:16]]
}

// joinGang adds a member. The members begin to work when all of one attempt are present,
// and end together: as done, or as broken beside one that failed on a failing minion. The
// caller holds the minion's lock.
func (w *world) joinGang(m *minion, s *start, size int) {
	key := fmt.Sprintf("%s/%d", stepOf(s.task), s.attempt)
	w.mu.Lock()
	w.present[key] = append(w.present[key], member{m, s})
	members := w.present[key]
	w.mu.Unlock()
	if len(members) < size {
		m.finishAfter(gangTimeout, s, "alone")
		return
	}
	go func() {
		failed := false
		for _, x := range members {
			x.m.mu.Lock()
			failsNow := x.m.failing && !failed
			x.m.mu.Unlock()
			if failsNow {
				failed = true
				x.m.finishAfter(x.s.runTime, x.s, "failed")
			}
		}
		for _, x := range members {
			how := "done"
			if failed {
				how = "broken"
			}
			x.m.finishAfter(x.s.runTime, x.s, how)
		}
	}()
}
