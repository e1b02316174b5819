package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/amount"
)

const (
	// reserveAfter is how long a gang waits before capacity is reserved for it.
	reserveAfter = 700 * time.Millisecond
	// maxReservedGangs is the number of gangs with reserved capacity at one time.
	maxReservedGangs = 2
)

// placeGang starts all tasks of a gang or none. It returns false if the gang lacks
// capacity and waits for nothing else.
func (s *State) placeGang(st *step) bool {
	if s.waitingForAdvice(st) || len(st.liveRuns) > 0 {
		return true
	}
	need := st.remaining
	if !s.withinLimit(st, scale(st.spec.Declared(), need)) {
		return true
	}
	s.releaseReserved(st)
	fits := s.gangFits(st, need, withTicket)
	if fits == nil {
		return s.requestAdviceForGang(st, need)
	}
	attempt := st.gangAttempt + 1
	next := 0
	for _, t := range st.tasks {
		if t.done {
			continue
		}
		t.checkpoint = st.checkpoint
		s.start(t, fits[next].worker, attempt)
		fits[next].count--
		if fits[next].count == 0 {
			next++
		}
	}
	return true
}

// scale returns v multiplied by n.
func scale(v amount.Vec, n int) amount.Vec {
	k := int64(n)
	return amount.New(v.CPUMilli()*k, v.MemoryMiB()*k, v.Accelerators()*k, 0)
}

// gangFits returns workers that together have capacity for need tasks, or nil. It takes
// workers on probation only if the others do not suffice.
func (s *State) gangFits(st *step, need int, tickets ticketFilter) []fit {
	fits := s.findFits(st, need, tickets)
	sound := fits
	if i := slices.IndexFunc(fits, func(f fit) bool { return f.trial }); i >= 0 {
		sound = fits[:i]
	}
	if chosen := chooseFits(st, sound, need); chosen != nil || len(sound) == len(fits) {
		return chosen
	}
	return chooseFits(st, fits, need)
}

// chooseFits returns the first fits that together hold need tasks of a gang, or nil. A
// SameRack gang is placed on one rack if any rack has the capacity.
func chooseFits(st *step, fits []fit, need int) []fit {
	if st.spec.SameRack {
		if onRack := takeEnough(firstRackWith(fits, need), need); onRack != nil {
			return onRack
		}
	}
	return takeEnough(fits, need)
}

// firstRackWith returns the fits of the first rack by name that holds need tasks, or nil.
func firstRackWith(fits []fit, need int) []fit {
	byRack := make(map[string][]fit)
	capacity := make(map[string]int)
	for _, f := range fits {
		for _, rack := range f.worker.racks() {
			byRack[rack] = append(byRack[rack], f)
			capacity[rack] += f.count
		}
	}
	first := ""
	for rack, n := range capacity {
		if n >= need && (first == "" || rack < first) {
			first = rack
		}
	}
	return byRack[first]
}

// takeEnough returns the shortest prefix of fits that holds need tasks, or nil.
func takeEnough(fits []fit, need int) []fit {
	for i := range fits {
		need -= fits[i].count
		if need <= 0 {
			return fits[:i+1]
		}
	}
	return nil
}

// roomWithoutBatch returns the capacity that a worker has once all its runs but those of service tasks
// have ended.
func (w *worker) roomWithoutBatch() amount.Vec {
	room := w.spec.Capacity
	for _, r := range w.runs {
		if r.task.step.spec.Service && !r.stopping {
			room = room.Sub(r.size)
		}
	}
	return room
}

// reserveCapacity reserves the workers with the most free CPU for a gang that does not
// fit yet, so that they get no other tasks of the same or a lower priority. It reports
// whether the reserved workers could hold the gang beside the service tasks that they run.
// Nothing is reserved for a gang that could not fit before one of these has ended.
func (s *State) reserveCapacity(st *step) bool {
	need := st.remaining
	var list []fit
	for w := range s.allowedWorkers(st, withOrWithoutTicket, anyFreeCPU) {
		if w.reservedFor != nil || !suits(w, st) || s.tooSlowFor(w, st) || w.isOnProbation() && s.trialCapacity(w, st, need) == 0 {
			continue
		}
		n := fitCountVec(w.roomWithoutBatch(), st.size, need)
		if n > 0 {
			list = append(list, fit{worker: w, count: n, cost: -float64(w.free().CPUMilli())})
		}
	}
	slices.SortFunc(list, fit.compare)
	chosen := takeEnough(list, need)
	for _, f := range chosen {
		f.worker.reservedFor = st
	}
	return chosen != nil
}
