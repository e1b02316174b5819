package sched

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// Stopping a run to make room for a gang is decided by work: that of the gang which becomes on
// time against that which the stopped runs do again and that of jobs which become late. Work is
// the dominant share of a worker times milliseconds, so that memory counts as much as CPU.

const (
	// resumeTime is what a stopped run loses besides unsaved work: the new start and the loading
	// of its checkpoint.
	resumeTime = 500 * time.Millisecond
	// maxUnsavedTime bounds the work since the last checkpoint. Checkpoints reach the owner with
	// the worker's next report only, and a stopped run saves its progress at its end.
	maxUnsavedTime = 500 * time.Millisecond
	// resumeWait is how long a stopped run is assumed to wait for a worker.
	resumeWait = time.Second
)

// dominantShare returns the largest share of a capacity's dimensions that v takes.
func dominantShare(v, capacity amount.Vec) float64 {
	of := func(n, total int64) float64 {
		if n <= 0 || total <= 0 {
			return 0
		}
		return float64(n) / float64(total)
	}
	return max(of(v.CPUMilli(), capacity.CPUMilli()), of(v.MemoryMiB(), capacity.MemoryMiB()), of(v.Accelerators(), capacity.Accelerators()))
}

// work returns what tasks of the given size cost on a worker in a time.
func (w *worker) work(size amount.Vec, took time.Duration) float64 {
	return dominantShare(size, w.spec.Capacity) * float64(took.Milliseconds())
}

// jobWork returns the work of all steps of a job on workers like w.
func (s *State) jobWork(j *job, w *worker) float64 {
	total := 0.0
	for i := range j.doc.Steps {
		st := &j.doc.Steps[i]
		took := time.Duration(s.runTimes.estimateMS(j.doc.Queue, st)) * time.Millisecond
		total += float64(st.Count) * w.work(st.Size(), took)
	}
	return total
}

// unsavedSince returns since when the work of a run may be unsaved. The checkpoint of one member
// of a gang is good for all.
func (r *run) unsavedSince() clock.Mono { return max(r.savedAt, r.confirmedAt, r.task.step.savedAt) }

// victim is a run that may be stopped for a gang, and what that costs.
type victim struct {
	run *run
	// lost is the work that the run does again.
	lost float64
	// late is the work of its job if the stop makes the job late, else 0.
	late float64
}

func (v victim) cost() float64 { return v.lost + v.late }

// stoppedAt returns when a run that is stopped now has certainly ended, to the owner's knowledge.
func (s *State) stoppedAt() clock.Mono { return s.now.Add(s.cfg.MaxStopDuration + stopReportTime) }

// endsSoon reports whether a run is expected to end by itself as soon as a stopped one would:
// by its own speed, since the expected run times are far off.
func (s *State) endsSoon(r *run) bool {
	return r.confirmed && (r.stopping || r.progress-r.firstProgress >= minObservedProgress && s.estimatedEnd(r) <= s.stoppedAt())
}

// victimOf returns what stopping a run costs. It returns false for a run that may not be stopped
// for a gang, or that ends by itself as soon as it could be stopped.
func (s *State) victimOf(r *run, gang *step) (victim, bool) {
	if !r.isPreemptible(gang) {
		return victim{}, false
	}
	again := resumeTime + min(maxUnsavedTime, s.now.Sub(r.unsavedSince()))
	end := s.estimatedEnd(r)
	if end <= s.stoppedAt() {
		return victim{}, false
	}
	st := r.task.step
	v := victim{run: r, lost: r.worker.work(r.size, again)}
	done := end.Add(time.Duration(st.criticalPathMS-st.runTimeMS) * time.Millisecond)
	objective := st.job.objective
	if done <= objective && done.Add(again+s.cfg.MaxStopDuration+resumeWait) > objective {
		v.late = s.jobWork(st.job, r.worker)
	}
	return v, true
}

// takeVictims takes victims until size fits into what is free. Of those that are enough by
// themselves it takes the one that costs least, and otherwise the one that costs least for what
// it contributes. It leaves those that turn out not to be needed. It reuses victims for the rest.
func takeVictims(victims []victim, free, size amount.Vec) (stops, rest []victim, freed amount.Vec) {
	rest = victims
	for !size.Fits(free) && len(rest) > 0 {
		pick, least, enough := 0, 0.0, false
		for i, v := range rest {
			alone := size.Fits(free.Add(v.run.size))
			cost := v.cost()
			if !alone {
				cost /= contribution(v.run.size, free, size)
			}
			if i == 0 || alone && !enough || alone == enough && cost < least {
				pick, least, enough = i, cost, alone
			}
		}
		stops = append(stops, rest[pick])
		free = free.Add(rest[pick].run.size)
		rest = append(rest[:pick], rest[pick+1:]...)
	}
	if !size.Fits(free) {
		return stops, rest, free
	}
	for i := 0; i < len(stops); {
		without := free.Sub(stops[i].run.size)
		if !size.Fits(without) {
			i++
			continue
		}
		free = without
		rest = append(rest, stops[i])
		stops = append(stops[:i], stops[i+1:]...)
	}
	return stops, rest, free
}

// minContribution keeps the cost of a run that contributes nothing finite.
const minContribution = 1e-6

// contribution returns which part of what size lacks a run of size v frees, in the dimension of
// which most is lacking.
func contribution(v, free, size amount.Vec) float64 {
	lack := size.Sub(free).ClampToZero()
	share := func(n, lacking, whole int64) (part, weight float64) {
		if lacking <= 0 || whole <= 0 {
			return 0, 0
		}
		return float64(min(n, lacking)) / float64(lacking), float64(lacking) / float64(whole)
	}
	best, bestWeight := 0.0, 0.0
	for _, d := range [][3]int64{
		{v.CPUMilli(), lack.CPUMilli(), size.CPUMilli()},
		{v.MemoryMiB(), lack.MemoryMiB(), size.MemoryMiB()},
		{v.Accelerators(), lack.Accelerators(), size.Accelerators()},
	} {
		if part, weight := share(d[0], d[1], d[2]); weight > bestWeight {
			best, bestWeight = part, weight
		}
	}
	return max(best, minContribution)
}
