package sched

import (
	"slices"
	"time"
)

// unschedulableAfter is how long a step waits before it is checked whether any worker could
// ever run it.
const unschedulableAfter = 2 * time.Second

// Unschedulable is a step that no listed worker could run, even without any other runs.
type Unschedulable struct {
	Step, Queue, Team string
	// Label is the step's label if no worker of the queue's service has it. It is empty
	// if the tasks are too large.
	Label string
}

// TakeUnschedulable returns the waiting steps that no worker could run, each step once.
// They go on waiting, because a suitable worker may join.
func (s *State) TakeUnschedulable() []Unschedulable {
	var out []Unschedulable
	for st := range s.allWaiting() {
		if st.schedulableChecked || s.now.Sub(st.readyAt) < unschedulableAfter {
			continue
		}
		st.schedulableChecked = true
		fits, labelled := s.fitsAnyWorker(st)
		if fits {
			continue
		}
		u := Unschedulable{Step: st.tasks[0].id().StepName(), Queue: st.job.doc.Queue, Team: st.job.doc.Team}
		if !labelled {
			u.Label = st.spec.Label
		}
		out = append(out, u)
	}
	return out
}

// fitsAnyWorker reports whether a listed worker without other runs could run a task of a
// step, and whether any listed worker has the step's label.
func (s *State) fitsAnyWorker(st *step) (fits, labelled bool) {
	for _, w := range s.workerList {
		if !w.listed || st.job.queue.Service != "" && w.spec.Service != st.job.queue.Service {
			continue
		}
		if st.spec.Label != "" && !slices.Contains(w.spec.Labels, st.spec.Label) {
			continue
		}
		labelled = true
		if st.size.Fits(w.spec.Capacity) {
			return true, true
		}
	}
	return false, labelled
}
