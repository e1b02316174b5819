package place

import (
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// maxFailedWorkers is the number of different workers on which a job has to fail for
// it to be dropped.
const maxFailedWorkers = 3

// maxFailuresInPlace is the number of failures of a service's member on a worker at
// which it is no longer restarted there but moves to another one.
const maxFailuresInPlace = 3

// lastRun is the worker on which a member of a service ran last, and its failures
// there.
type lastRun struct {
	worker   string
	failures int
}

// task is a running member of a job.
type task struct {
	id     string
	job    *job
	member int
	worker *worker
	// index is the position in worker.tasks.
	index int
	// next and prev link the running tasks of a job.
	next, prev *task

	// size is the capacity allocated on the worker, initialSize that at the start,
	// charged what the Limiter was charged, and peak the highest usage reported or,
	// if larger, the size before a throttle for urgent work.
	size, initialSize, charged, peak amount.Vec
	// startedAt is the time of the decision or, once confirmed, of the worker's
	// confirmation. checkpointedAt is that of the last checkpoint.
	startedAt, checkpointedAt, runEnd clock.Mono
	confirmed                         bool

	// action is the pending preemption, or empty. It is due by actionDeadline.
	action         Action
	actionDeadline clock.Mono
	// throttled is set while the task's usage is within its throttle.
	throttled bool
	// cpuCap is the CPU that a throttle allows.
	cpuCap  int64
	reports int
	// onProbation is set if the task was started while its worker was on probation.
	onProbation bool
}

// expectedEnd returns when the task is expected to end. A task that has overrun is
// expected to take half as long again as it has so far.
func (t *task) expectedEnd(now clock.Mono) clock.Mono {
	if t.job.rank == rankService {
		return 1<<62 - 1
	}
	if t.runEnd > now {
		return t.runEnd
	}
	return now + (now-t.startedAt)/2
}

// lostWork returns the work since the last checkpoint, which stopping the task now
// would lose: its dominant share of the worker times the seconds.
func (t *task) lostWork(now clock.Mono) float64 {
	size := max(ratio(t.size.CPUMilli(), t.worker.capacity.CPUMilli()), ratio(t.size.MemoryMiB(), t.worker.capacity.MemoryMiB()),
		ratio(t.size.Accelerators(), t.worker.capacity.Accelerators()))
	return size * now.Sub(max(t.startedAt, t.checkpointedAt)).Seconds()
}

// addTask adds a running task and allocates its capacity on the worker.
func (s *State) addTask(j *job, member int, w *worker, size amount.Vec, startedAt, runEnd clock.Mono) *task {
	var t *task
	if n := len(s.taskPool); n > 0 {
		t, s.taskPool = s.taskPool[n-1], s.taskPool[:n-1]
	} else {
		t = &task{}
	}
	*t = task{
		id: TaskID(j.spec.id, member), job: j, member: member, worker: w, index: len(w.tasks),
		size: size, initialSize: size, charged: size, startedAt: startedAt, checkpointedAt: startedAt, runEnd: runEnd,
		next: j.tasks, onProbation: w.onProbation,
	}
	if j.tasks != nil {
		j.tasks.prev = t
	}
	j.tasks = t
	j.running++
	if j.racks != nil {
		j.racks[w.rack]++
	}
	w.tasks = append(w.tasks, t)
	w.allocated = w.allocated.Add(size)
	s.tasks[t.id] = t
	s.reindex(w)
	return t
}

// Adopt takes over a running task. The Limiter is not charged: its owner recovers
// its ledger, which must already include the task.
func (s *State) Adopt(adopted Task, now clock.Mono) error {
	s.advance(now)
	w := s.workers[adopted.worker]
	if w == nil || s.tasks[adopted.ID()] != nil {
		return rcode.New(rcode.Conflict, "place.Adopt: task %q is already running, or worker %q is unknown", adopted.ID(), adopted.worker)
	}
	j := s.jobs[adopted.job.id]
	if j == nil {
		j = s.addJob(adopted.job)
		j.foreign, j.nextMember = true, adopted.job.members
	}
	s.takeMember(j, adopted.member)
	end := adopted.runEnd
	if end == 0 {
		end = adopted.startedAt.Add(s.expectedRunTime(j))
	}
	t := s.addTask(j, adopted.member, w, adopted.size.ClampToZero(), adopted.startedAt, end)
	t.confirmed = true
	s.addTeamUsage(j.team, t.size, amount.Vec{})
	s.updateQueued(j)
	return nil
}

// takeMember removes a given member from those that wait.
func (s *State) takeMember(j *job, member int) {
	if i := slices.Index(j.retryMembers, member); i >= 0 {
		j.retryMembers = slices.Delete(j.retryMembers, i, i+1)
		return
	}
	if member < j.nextMember || member >= j.spec.members {
		return
	}
	if j.taken == nil {
		j.taken = map[int]bool{}
	}
	j.taken[member] = true
	j.startable()
}

// updateQueued updates the count of waiting jobs, and dequeues a job without
// startable members.
func (s *State) updateQueued(j *job) {
	s.updateWaiting(j)
	if !j.startable() {
		s.dequeue(j)
	}
}

// TaskStarted reports that the worker confirmed the start. The task's times move by
// the delay of the confirmation.
func (s *State) TaskStarted(id string, now clock.Mono) {
	s.advance(now)
	if t := s.tasks[id]; t != nil && !t.confirmed {
		t.confirmed = true
		delay := s.now - t.startedAt
		t.startedAt, t.checkpointedAt, t.runEnd = t.startedAt+delay, t.checkpointedAt+delay, t.runEnd+delay
	}
}

// TaskCheckpointed reports that the task's work so far has been saved.
func (s *State) TaskCheckpointed(id string, now clock.Mono) {
	s.advance(now)
	if t := s.tasks[id]; t != nil {
		t.checkpointedAt = s.now
	}
}

// ReportUsage reports the usage of a task. Its allocation is never below the usage.
// Unless the task is throttled, it is not below the size sent to the worker at the
// start either: the sizes sent to a worker must fit it, since the worker can only
// check those. The peak is learned for later tasks of the kind.
func (s *State) ReportUsage(id string, used amount.Vec, now clock.Mono) {
	s.advance(now)
	t := s.tasks[id]
	if t == nil || used.HasNegative() {
		return
	}
	t.peak = t.peak.Max(used)
	if t.reports++; t.reports == minPeakReports {
		s.learnSize(t)
	}
	size := t.size.Max(used)
	switch {
	case t.action == ActionThrottle && used.CPUMilli() <= t.cpuCap:
		s.confirmThrottle(t)
		size = withCPU(size, t.cpuCap)
	case t.throttled:
		// Usage above the cap means that the new throttle is not in effect yet.
		size = withCPU(size, t.cpuCap)
	}
	if size != t.size {
		s.resize(t, size)
	}
}

// minPeakReports is the number of reports after which a task's peak is taken as a
// sample of its kind's usage.
const minPeakReports = 5

// withCPU returns v with another amount of CPU.
func withCPU(v amount.Vec, cpu int64) amount.Vec {
	return amount.New(cpu, v.MemoryMiB(), v.Accelerators(), v.Requests())
}

// resize changes the allocation of a running task. The Limiter is charged for growth
// if its limit allows it; the growth happens in any case.
func (s *State) resize(t *task, size amount.Vec) {
	change := size.Sub(t.size)
	t.size = size
	t.worker.allocated = t.worker.allocated.Add(change)
	s.addTeamUsage(t.job.team, change, amount.Vec{})
	if more := size.Sub(t.charged).ClampToZero(); !more.IsZero() && s.cfg.Limiter.Reserve(t.job.team.name, more) {
		t.charged = t.charged.Add(more)
	}
	s.capacityFreed(t.worker)
}

// TaskEnded reports that a task no longer runs, and how it ended.
func (s *State) TaskEnded(id string, outcome Outcome, now clock.Mono) {
	s.advance(now)
	t := s.tasks[id]
	if t == nil {
		s.absentMemberEnded(id, outcome)
		return
	}
	j, w := t.job, t.worker
	s.removeTask(t)
	s.recordOutcome(t, outcome)
	s.handleOutcome(t, outcome)
	s.requeue(j)
	s.capacityFreed(w)
	s.deleteIfEmpty(w)
	s.taskPool = append(s.taskPool, t)
}

// requeue enqueues a job whose members wait again, and deletes it if none is left. A
// gang that restarts is reset once its last member has ended.
func (s *State) requeue(j *job) {
	if j.restarting && j.running+len(j.remoteMembers) == 0 && !j.cancelled && !j.foreign {
		j.restarting, j.nextMember, j.retryMembers, j.finished = false, 0, nil, 0
		clear(j.taken)
	}
	s.updateWaiting(j)
	s.enqueue(j)
	s.deleteIfFinished(j)
}

// absentMemberEnded handles the end of a member that does not run on this shard:
// one that was done before a recovery, or a gang's member on another shard.
func (s *State) absentMemberEnded(id string, outcome Outcome) {
	name, member, ok := SplitTaskID(id)
	j := s.jobs[name]
	if !ok || j == nil {
		return
	}
	switch {
	case j.remoteMembers[member]:
		delete(j.remoteMembers, member)
		if outcome == OutcomeDone {
			j.finished++
		} else {
			s.restartGang(j, outcome)
		}
		s.requeue(j)
	case outcome == OutcomeDone:
		before := j.startableCount()
		s.takeMember(j, member)
		j.finished += before - j.startableCount()
		s.updateQueued(j)
		s.deleteIfFinished(j)
	}
}

// MarkDelegated reports that n members of a gang, from first on, start on another
// shard. Their ends are reported with TaskEnded as well.
func (s *State) MarkDelegated(id string, first, n int) {
	j := s.jobs[id]
	if j == nil || first < 0 || n < 0 || first+n > j.spec.members {
		return
	}
	if j.remoteMembers == nil {
		j.remoteMembers = map[int]bool{}
	}
	for m := first; m < first+n; m++ {
		before := j.startableCount()
		if s.takeMember(j, m); j.startableCount() < before {
			j.remoteMembers[m] = true
		}
	}
	j.offered = false
	s.updateQueued(j)
	s.enqueue(j)
}

// removeTask removes a task and frees its capacity and its charge to the limit.
func (s *State) removeTask(t *task) {
	j, w := t.job, t.worker
	last := w.tasks[len(w.tasks)-1]
	w.tasks[t.index], last.index = last, t.index
	w.tasks[len(w.tasks)-1] = nil
	w.tasks = w.tasks[:len(w.tasks)-1]
	w.allocated = w.allocated.Sub(t.size)
	if t.throttled {
		w.throttledTasks--
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		j.tasks = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	}
	j.running--
	if j.racks != nil {
		if j.racks[w.rack]--; j.racks[w.rack] == 0 {
			delete(j.racks, w.rack)
		}
	}
	if t.action != "" {
		s.preempting = slices.DeleteFunc(s.preempting, func(p *task) bool { return p == t })
	}
	j.team.remainingExcess = j.team.remainingExcess.Sub(t.size).ClampToZero()
	delete(s.tasks, t.id)
	s.cfg.Limiter.Release(j.team.name, t.charged)
	j.team.blocked &^= j.team.atLimit
	s.activateTeam(j.team)
	s.addTeamUsage(j.team, amount.Vec{}.Sub(t.size), amount.Vec{})
}

// recordOutcome updates estimates and failure records by a task's outcome.
func (s *State) recordOutcome(t *task, outcome Outcome) {
	j, w := t.job, t.worker
	switch outcome {
	case OutcomeDone:
		if j.rank != rankService {
			j.est.runTime.add(int64(s.now.Sub(t.startedAt)), int64(s.declaredRunTime(j)))
		}
		if t.reports > 0 && t.reports != minPeakReports {
			s.learnSize(t)
		}
		w.failedJobs, w.proven = w.failedJobs[:0], true
		j.est.failedOn = j.est.failedOn[:0]
		if w.onProbation {
			w.onProbation, w.backoff = false, 0
		}
	case OutcomeFailed, OutcomeRefused:
		s.recordFailure(t)
	case OutcomeLost, OutcomeStopped, OutcomeWithdrawn:
	}
}

// handleOutcome decides whether the member of an ended task is finished or retried,
// or whether its job is dropped.
func (s *State) handleOutcome(t *task, outcome Outcome) {
	j := t.job
	if j.cancelled || j.foreign {
		return
	}
	if outcome == OutcomeDone {
		j.finished++
		return
	}
	if outcome == OutcomeFailed && len(j.failedOn) >= maxFailedWorkers {
		s.dropJob(j, rcode.JobFailed)
		return
	}
	if !j.spec.repeatable && outcome.mayHaveRun() {
		code := rcode.OutcomeUnknown
		if outcome == OutcomeFailed {
			code = rcode.JobFailed
		}
		s.dropJob(j, code)
		return
	}
	if j.spec.class == policy.ClassGang {
		s.restartGang(j, outcome)
		return
	}
	s.retryMember(t, outcome)
}

// restartGang stops the remaining members of a gang, which cannot continue without
// the one that ended. The whole gang starts again once they have stopped.
func (s *State) restartGang(j *job, outcome Outcome) {
	if outcome == OutcomeFailed || outcome == OutcomeRefused {
		j.failures++
		j.retryAt = s.now.Add(s.cfg.RetryBase << min(j.failures-1, 6))
		s.retryBy(j.retryAt)
	}
	if !j.restarting && j.running > 0 {
		s.jobsToStop = append(s.jobsToStop, j)
	}
	j.restarting = true
}

// dropJob ends a job with a final result and stops its running tasks.
func (s *State) dropJob(j *job, code rcode.Code) {
	s.clearJobFailures(j)
	if j.running > 0 {
		s.jobsToStop = append(s.jobsToStop, j)
	}
	s.discardWaiting(j)
	s.pendingDrops = append(s.pendingDrops, Drop{job: j.spec.id, code: code})
}

// retryMember lets the member of an ended task start again: at once if the task was
// lost or stopped, otherwise after a delay that doubles with each failure.
func (s *State) retryMember(t *task, outcome Outcome) {
	j := t.job
	if outcome == OutcomeLost || outcome == OutcomeStopped {
		j.retryMembers = append(j.retryMembers, t.member)
		return
	}
	j.failures++
	j.deferred++
	delay := s.cfg.RetryBase << min(j.failures-1, 6)
	s.delayed.push(delayedMember{notBefore: s.now.Add(delay), job: j, member: t.member})
}

// provenWorkerWait is how long the last attempt of a job that has failed waits for a
// worker known to work.
const provenWorkerWait = 30 * time.Second
