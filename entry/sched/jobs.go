package sched

import (
	"cmp"
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// worthlessFactor is the multiple of a job's objective after which its result has no
// value any more.
const worthlessFactor = admit.WorthlessFactor

// maxDeliveryDelay is how long after its acceptance a new job may reach the owner. The time
// of acceptance comes from another VM, whose clock may be wrong by seconds.
const maxDeliveryDelay = 500 * time.Millisecond

// AddJob adds a job that was just accepted. A job that exists already is left unchanged.
func (s *State) AddJob(doc *graph.Job) {
	s.addJob(doc, max(s.monoTime(doc.AcceptedUnixMS), s.now.Add(-maxDeliveryDelay)))
}

// RestoreJobs adds the jobs that former owners accepted. It must be called before Replay.
func (s *State) RestoreJobs(docs []*graph.Job) {
	// The accounts' rates apply to the jobs in the order of their acceptance.
	docs = slices.Clone(docs)
	slices.SortStableFunc(docs, func(a, b *graph.Job) int { return cmp.Compare(a.AcceptedUnixMS, b.AcceptedUnixMS) })
	for _, doc := range docs {
		s.addJob(doc, s.monoTime(doc.AcceptedUnixMS))
	}
}

// addJob adds a job that was accepted at the given time, or now if that is in the future.
func (s *State) addJob(doc *graph.Job, accepted clock.Mono) {
	if s.jobs[doc.ID] != nil {
		return
	}
	if doc.FinalState != "" {
		s.jobs[doc.ID] = &job{doc: doc, state: JobState(doc.FinalState), hasStarted: true}
		return
	}
	j := &job{doc: doc, team: s.team(doc.Team), state: JobQueued, occurrences: make([][]*step, doc.OccurrenceCount())}
	j.stepsLeft = doc.OccurrenceCount() * len(doc.Steps)
	j.accepted = min(accepted, s.now)
	s.setQueue(j)
	s.jobs[doc.ID] = j
	j.overRate = !j.team.takeToken(j.accepted)
	if s.cancelledEarly[doc.ID] {
		delete(s.cancelledEarly, doc.ID)
		s.Cancel(doc.ID)
		return
	}
	if doc.Occurrences > 0 {
		s.scheduled = append(s.scheduled, j)
		return
	}
	s.openOccurrence(j, 0)
}

// monoTime converts Unix time to the monotonic clock.
func (s *State) monoTime(unixMS int64) clock.Mono {
	return s.wallOffset + clock.Mono(unixMS)*clock.Mono(time.Millisecond)
}

// setQueue copies the queue's settings, so that the job can finish after its queue is
// removed. The owner may learn of a new queue later than of its first jobs, and a new owner
// does not know the queues that were removed: the settings at acceptance hold then.
func (s *State) setQueue(j *job) {
	j.queue = rules.Queue{MaxAttempts: 1, StretchFactor: 1}
	if j.doc.Settings != nil {
		j.queue = *j.doc.Settings
	}
	j.queue.Name = j.doc.Queue
	if s.rules != nil {
		if q, ok := s.rules.Queue(j.doc.Queue); ok {
			j.queue = *q
		}
	}
	s.estimate(j)
}

// estimateInterval is the time after which a job's expected run time is computed again. A
// new owner learns the run times of its predecessor's queues only by and by.
const estimateInterval = 500 * time.Millisecond

// estimate computes the expected run times of a job's steps, and its objective from them.
func (s *State) estimate(j *job) {
	j.estimatedAt = s.now
	paths := s.criticalPathsMS(j.doc)
	for _, steps := range j.occurrences {
		s.setRunTimes(j, steps, paths)
	}
	longest := int64(0)
	if len(paths) > 0 {
		longest = slices.Max(paths)
	}
	target := time.Duration(j.queue.StretchFactor*float64(longest))*time.Millisecond +
		time.Duration(j.queue.TargetMS)*time.Millisecond
	j.objective = j.accepted.Add(target)
	j.worthlessAt = j.accepted.Add(worthlessFactor * target)
}

// setRunTimes sets the expected run times of one occurrence's steps, given their critical paths.
func (s *State) setRunTimes(j *job, steps []*step, paths []int64) {
	for i, st := range steps {
		st.runTimeMS, st.criticalPathMS = s.runTimes.estimateMS(j.doc.Queue, st.spec), paths[i]
	}
}

// criticalPathsMS returns, for each step, the expected run time of the longest chain of
// steps that begins with it.
func (s *State) criticalPathsMS(doc *graph.Job) []int64 {
	paths := make([]int64, len(doc.Steps))
	for i := len(doc.Steps) - 1; i >= 0; i-- {
		st := &doc.Steps[i]
		paths[i] += s.runTimes.estimateMS(doc.Queue, st)
		for _, dep := range st.After {
			paths[dep] = max(paths[dep], paths[i])
		}
	}
	return paths
}

// openOccurrence creates the steps of one occurrence and queues those without
// dependencies.
func (s *State) openOccurrence(j *job, occurrence int) {
	steps := make([]*step, len(j.doc.Steps))
	for i := range j.doc.Steps {
		spec := &j.doc.Steps[i]
		st := &step{job: j, occurrence: occurrence, index: i, spec: spec, size: spec.Size(), remaining: spec.Count, unassigned: spec.Count}
		st.tasks = make([]*task, spec.Count)
		for k := range st.tasks {
			st.tasks[k] = &task{step: st, index: k}
		}
		st.pendingDeps = len(spec.After)
		j.openTasks += spec.Count
		steps[i] = st
	}
	j.occurrences[occurrence] = steps
	s.setRunTimes(j, steps, s.criticalPathsMS(j.doc))
	for _, st := range steps {
		if st.pendingDeps == 0 {
			s.enqueue(st)
		}
	}
}

// mayOpenOccurrence reports whether the tasks of another occurrence may be held beside those
// that are not done yet. A schedule may have thousands of occurrences due at once, each with
// thousands of tasks; beyond graph.MaxTasks of them the occurrences follow one another.
func (j *job) mayOpenOccurrence() bool {
	if j.openTasks == 0 {
		return true
	}
	tasks := 0
	for i := range j.doc.Steps {
		tasks += j.doc.Steps[i].Count
	}
	return j.openTasks+tasks <= graph.MaxTasks
}

// openDueOccurrences opens the scheduled occurrences that are due.
func (s *State) openDueOccurrences() {
	keep := s.scheduled[:0]
	for _, j := range s.scheduled {
		if j.final() {
			continue
		}
		next := 0
		for next < len(j.occurrences) {
			if j.occurrences[next] == nil {
				if s.monoTime(j.doc.DueUnixMS(next)) > s.now || !j.mayOpenOccurrence() {
					break
				}
				s.openOccurrence(j, next)
			}
			next++
		}
		if next < len(j.occurrences) {
			keep = append(keep, j)
		}
	}
	clear(s.scheduled[len(keep):])
	s.scheduled = keep
}

// enqueue adds a step to the waiting steps unless it is there already.
func (s *State) enqueue(st *step) {
	if st.queued || st.job.final() {
		return
	}
	st.queued = true
	if st.readyAt == 0 {
		st.readyAt = s.now
	}
	s.waiting = append(s.waiting, st)
}

// Cancel cancels a job that has not finished and stops its runs. The store lists
// cancellations separately from jobs, so one may be read before its job.
func (s *State) Cancel(id string) {
	j := s.jobs[id]
	if j == nil {
		s.cancelledEarly[id] = true
		return
	}
	if j.final() {
		return
	}
	s.record(events.Cancel(id))
	s.finishJob(j, JobCancelled)
}

// finishJob moves a job to a terminal state and stops its runs unless the state is JobDone.
func (s *State) finishJob(j *job, state JobState) {
	j.state = state
	s.compactable = append(s.compactable, j)
	if !s.replaying {
		s.finished = append(s.finished, FinishedJob{
			ID: j.doc.ID, Queue: j.doc.Queue, Team: j.doc.Team, State: state,
			Took: s.now.Sub(j.accepted), Objective: j.objective.Sub(j.accepted), FirstStart: j.timeToFirstStart(),
		})
	}
	if state == JobDone {
		return
	}
	for _, steps := range j.occurrences {
		for _, st := range steps {
			for _, r := range st.liveRuns.copy() {
				s.stop(r, ReasonEnded)
			}
		}
	}
}

// timeToFirstStart returns the time from a job's acceptance to the first start of a
// task, or -1 if there was none.
func (j *job) timeToFirstStart() time.Duration {
	if j.firstStartAt == 0 {
		return -1
	}
	return j.firstStartAt.Sub(j.accepted)
}

// lookupTask returns a task or nil. It opens the task's occurrence if needed.
func (s *State) lookupTask(id graph.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.doc.Steps) || id.Index >= j.doc.Steps[id.Step].Count {
		return nil
	}
	if j.occurrences[id.Occurrence] == nil {
		s.openOccurrence(j, id.Occurrence)
	}
	return j.occurrences[id.Occurrence][id.Step].tasks[id.Index]
}

// markDone marks a task as done. With the last task of a step it queues the steps that
// depend on it, and with the last step it finishes the job.
func (s *State) markDone(t *task) {
	if t.done {
		return
	}
	st := t.step
	if t.run == nil {
		st.unassigned--
	}
	t.done = true
	st.job.openTasks--
	st.remaining--
	if st.remaining > 0 {
		return
	}
	j := st.job
	j.stepsLeft--
	for _, next := range j.occurrences[st.occurrence] {
		for _, dep := range next.spec.After {
			if dep == st.index {
				next.pendingDeps--
			}
		}
		if next.pendingDeps == 0 && next.remaining > 0 {
			s.enqueue(next)
		}
	}
	if j.stepsLeft == 0 && !j.final() {
		s.finishJob(j, JobDone)
	}
}
