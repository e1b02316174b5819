package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
)

const (
	// slowSpeed is the speed below which a worker is slow. Gangs have about twice their run time
	// until their objective.
	slowSpeed = 0.5
	// maxSpeedObservations is the number of newest observations that count.
	maxSpeedObservations = 5
	// minSpeedObservations is the number of jobs that must agree: one alone may take many times
	// longer than its queue's usual ones.
	minSpeedObservations = 2
	// speedLifetime is how long an observation counts.
	speedLifetime = 8 * time.Second
	// minSpeed and maxSpeed bound an observation: expected run times may be far off.
	minSpeed, maxSpeed = 0.05, 2
	// minSpeedTime is the time between two reports of a run from which its progress shows a
	// speed. The percentages are whole numbers.
	minSpeedTime = 400 * time.Millisecond
)

// speedObservation is the speed of a worker as one job showed it: 1 is as expected.
type speedObservation struct {
	job       *job
	speed     float64
	expiresAt clock.Mono
	// compared is whether the job's own tasks on other workers gave the expected run time.
	compared bool
}

// speedRecord is what the newest runs show of a worker's speed.
type speedRecord struct {
	observations []speedObservation
	// slowUntil is until when the worker counts as slow, speed its speed then. They are kept
	// because a round asks for each worker and waiting step.
	slowUntil clock.Mono
	speed     float64
}

// add records an observation. A job's newer one replaces its older one, and the oldest one makes
// room for a further one.
func (r *speedRecord) add(j *job, speed float64, compared bool, now clock.Mono) {
	r.observations = slices.DeleteFunc(r.observations, func(o speedObservation) bool { return o.job == j || now >= o.expiresAt })
	if len(r.observations) == maxSpeedObservations {
		r.observations = slices.Delete(r.observations, 0, 1)
	}
	r.observations = append(r.observations, speedObservation{
		job: j, speed: min(max(speed, minSpeed), maxSpeed), expiresAt: now.Add(speedLifetime), compared: compared,
	})
	r.slowUntil = 0
	if r.speed = r.median(now); r.speed < slowSpeed {
		r.slowUntil = now.Add(speedLifetime)
	}
}

// median returns the median of the observations that still count, the larger middle one of an
// even number, or 1 if there are too few. Compared ones count alone if there are any.
func (r *speedRecord) median(now clock.Mono) float64 {
	var speeds [maxSpeedObservations]float64
	compared := slices.ContainsFunc(r.observations, func(o speedObservation) bool { return o.compared && now < o.expiresAt })
	n := 0
	for _, o := range r.observations {
		if now < o.expiresAt && o.compared == compared {
			speeds[n] = o.speed
			n++
		}
	}
	if n == 0 || !compared && n < minSpeedObservations {
		return 1
	}
	slices.Sort(speeds[:n])
	return speeds[n/2]
}

// isSlow reports whether a worker's runs take more than twice as long as expected.
func (w *worker) isSlow(now clock.Mono) bool { return now < w.speed.slowUntil }

// avoids reports whether a worker is slow and decisions depend on that.
func (s *State) avoids(w *worker) bool { return s.cfg.AvoidSlowWorkers && w.isSlow(s.now) }

// shownProgress returns the progress in percent that a run has made in a time, from its start
// or, if it resumed, its first report to its last one, and whether it is enough to show a speed.
func (r *run) shownProgress() (gained int, elapsed time.Duration, enough bool) {
	gained, elapsed = r.progress, r.lastListedAt.Sub(r.confirmedAt)
	if r.partial {
		gained, elapsed = r.progress-r.firstProgress, r.lastListedAt.Sub(r.firstListedAt)
	}
	return gained, elapsed, gained >= minObservedProgress
}

// observeProgress learns the speed of a run's worker from the progress that the run has made
// until its last report.
func (s *State) observeProgress(r *run) {
	gained, elapsed, shown := r.shownProgress()
	// A run that resumed makes no progress while it loads its checkpoint.
	if !r.showsSpeed() || elapsed < minSpeedTime || r.partial && !shown {
		return
	}
	expected, compared := r.task.step.usualRunTime(r)
	done := expected.Seconds() * float64(gained) / progressComplete
	r.worker.speed.add(r.task.step.job, done/elapsed.Seconds(), compared, s.now)
}

// observeDone learns the speed of a worker from a run that did all of its task's work.
func (s *State) observeDone(r *run, ran time.Duration) {
	if !r.showsSpeed() || ran <= 0 {
		return
	}
	st := r.task.step
	expected, compared := st.usualRunTime(r)
	r.worker.speed.add(st.job, expected.Seconds()/ran.Seconds(), compared, s.now)
	if len(st.took) < maxSiblings {
		st.took = append(st.took, took{worker: r.worker, time: ran})
	}
}

// took is how long a run of a step took on a worker.
type took struct {
	worker *worker
	time   time.Duration
}

const (
	// maxSiblings is the number of runs of a step that are compared with another.
	maxSiblings = 16
	// minSiblings is the number that are needed.
	minSiblings = 2
)

// usualRunTime returns how long the tasks of a step take: the median of what its other runs on
// other workers took or will take at their present speed, the smaller middle one of an even number.
// The tasks of one step take about the same time, unlike those of a queue. It returns the expected
// run time and false while too few show their speed.
func (st *step) usualRunTime(r *run) (time.Duration, bool) {
	times := make([]time.Duration, 0, maxSiblings)
	for _, o := range st.took {
		if o.worker != r.worker {
			times = append(times, o.time)
		}
	}
	for _, o := range st.liveRuns {
		if len(times) == maxSiblings {
			break
		}
		gained, elapsed, shown := o.shownProgress()
		if o.worker != r.worker && shown && elapsed >= minSpeedTime {
			times = append(times, elapsed*progressComplete/time.Duration(gained))
		}
	}
	if len(times) < minSiblings {
		return time.Duration(st.runTimeMS) * time.Millisecond, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], true
}

// showsSpeed reports whether a run depends on the speed of its worker alone.
func (r *run) showsSpeed() bool {
	spec := r.task.step.spec
	return !spec.Gang && !spec.Service && !spec.Filler && !r.stopping
}

// tooSlowFor reports whether a step should wait for other workers rather than use w: a slow
// worker on which it would be late, and any slow worker if it is a gang that has not waited long.
func (s *State) tooSlowFor(w *worker, st *step) bool {
	if !s.avoids(w) || st.spec.Service || st.spec.Filler || s.now.Sub(st.readyAt) >= speedLifetime {
		return false
	}
	return st.spec.Gang || s.inTimeFrom(st, s.now) && !s.inTimeFrom(st, s.now.Add(w.speed.delay(st.runTimeMS)))
}

// delay returns how much longer a task takes on a slow worker than expected.
func (r *speedRecord) delay(runTimeMS int64) time.Duration {
	return time.Duration(float64(runTimeMS)*(1/r.speed-1)) * time.Millisecond
}

// moveFromSlow stops runs on slow workers that would be late there and end sooner elsewhere.
func (s *State) moveFromSlow() {
	for _, w := range s.workerList {
		if len(w.runs) == 0 || !s.isReporting(w) || !s.avoids(w) {
			continue
		}
		for _, r := range w.runs.copy() {
			if s.now >= s.nextStopAt && s.worthMoving(r) {
				r.task.preemptions++
				r.task.avoidWorker = w
				s.nextStopAt = max(s.nextStopAt, s.now).Add(stopInterval)
				s.stop(r, ReasonSlowWorker)
			}
		}
	}
}

// worthMoving reports whether a run on a slow worker is late there and ends elsewhere in half of
// the time, and the work that it does again is less than what it saves.
func (s *State) worthMoving(r *run) bool {
	st := r.task.step
	if !r.confirmed || r.stopping || st.spec.Service || st.spec.Filler || r.task.preemptions >= maxPreemptions || st.job.final() || r.task.done {
		return false
	}
	runTime := time.Duration(st.runTimeMS) * time.Millisecond
	here := s.estimatedEnd(r).Sub(s.now)
	_, _, shown := r.shownProgress()
	if !shown {
		here = runTime + r.worker.speed.delay(st.runTimeMS) - s.now.Sub(r.confirmedAt)
	}
	rest := time.Duration(st.criticalPathMS-st.runTimeMS) * time.Millisecond
	if s.now.Add(here+rest) <= st.job.objective {
		return false
	}
	again, lost := runTime, s.now.Sub(r.confirmedAt)
	if st.spec.Checkpointing {
		lost = min(maxUnsavedTime, s.now.Sub(r.unsavedSince()))
		again = runTime*time.Duration(progressComplete-r.progress)/progressComplete + lost + resumeTime
	}
	elsewhere := s.stoppedAt().Sub(s.now) + again
	if !shown && s.now.Add(elsewhere+rest) > st.job.objective {
		return false // late in any case; its own progress does not show yet that it is slow
	}
	return elsewhere <= here/2 && lost <= here-elsewhere
}
