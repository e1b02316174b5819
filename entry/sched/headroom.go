package sched

import (
	"math"

	"limpethitch.example/core/clock"
)

// headroom answers the load in which short urgent jobs keep coming while longer
// work waits for every processor that becomes free. An urgent job needs a call to
// the advising service before it can start; without headroom the room that the
// urgent jobs before it left is taken meanwhile. So less urgent work may use what
// the urgent jobs do not need by their present rate.
type headroom struct {
	// work is the urgent work that came lately, in milli-core milliseconds, halved
	// every halfLifeMS.
	work float64
	at   clock.Mono
}

const (
	halfLifeMS = 1500
	// headroomFactor covers that urgent jobs do not come evenly.
	headroomFactor = 1.2
	// headroomMost bounds the part of all workers that is kept.
	headroomMost = 0.5
)

func (h *headroom) decay(now clock.Mono) {
	ms := float64(now.Sub(h.at).Milliseconds())
	if ms > 0 {
		h.work *= math.Exp2(-ms / halfLifeMS)
		h.at = now
	}
}

// add notes an urgent job of cpuMilli x runMS work.
func (h *headroom) add(now clock.Mono, work float64) {
	h.decay(now)
	h.work += work
}

// milliCores returns what urgent jobs need when they go on coming at this rate.
func (h *headroom) milliCores(now clock.Mono) int64 {
	h.decay(now)
	return int64(headroomFactor * h.work * math.Ln2 / halfLifeMS)
}

// urgentPriority is the priority that headroom is kept for.
const urgentPriority = 0

// noteUrgent counts a new job of the first priority.
func (s *State) noteUrgent(j *job) {
	if s.replaying || j.queue.Priority != urgentPriority || j.over || j.doc.Lasting() {
		return
	}
	var work float64
	for i := range j.doc.Steps {
		st := &j.doc.Steps[i]
		work += float64(st.CPUMilli) * float64(st.Count) * float64(s.learned.runMS(j.doc.Queue, st))
	}
	s.urgent.add(s.now, work)
}

// lowerRoom returns how many milli-cores work that is not urgent may still take.
func (s *State) lowerRoom() int64 {
	var capacity, lower int64
	for _, w := range s.sorted {
		if !w.listed || !w.fresh || w.silent || w.spec.Draining || s.out[w.spec.DataCentre] || s.now < w.suspectUntil {
			continue
		}
		capacity += w.spec.Capacity.CPUMilli()
		for _, r := range w.runs {
			if r.task.step.job.queue.Priority != urgentPriority {
				lower += r.size.CPUMilli()
			}
		}
	}
	keep := min(s.urgent.milliCores(s.now), int64(headroomMost*float64(capacity)))
	return capacity - keep - lower
}
