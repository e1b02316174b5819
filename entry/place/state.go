package place

import (
	"container/heap"
	"math/rand/v2"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// State is the scheduling state of one shard: its workers, teams, jobs and tasks.
// It is not safe for concurrent use.
type State struct {
	cfg Config
	rng *rand.Rand
	now clock.Mono
	// version is incremented by each event after which any waiting work may fit;
	// triedVersion is the version at which all buckets were last unblocked.
	version, triedVersion uint64
	// freedWorkers are the workers with capacity freed since the last call of
	// Decide. Unless the version has changed as well, only work that fits one of
	// them is retried.
	freedWorkers []*worker
	decisions    []Decision
	maxDecisions int
	offersLeft   int
	outOfService bool
	// retryAt is when blocked jobs are retried without an event, 0 if no retry is
	// due. planRetryAt is the earliest time at which a reservation may be planned.
	retryAt, planRetryAt clock.Mono
	// query is the last search for a worker, kept to avoid an allocation.
	query query
	// sheddingTeams are the teams whose usage must be reduced to a lowered limit.
	sheddingTeams []*team

	workers map[string]*worker
	// workerOrder lists the workers in an order that does not depend on map
	// iteration.
	workerOrder       []*worker
	racks             map[string][]*worker
	rackNames         []string
	workersByCapacity map[amount.Vec]int
	totalCapacity     amount.Vec
	// minCapacity is the minimum of each resource over all workers.
	minCapacity amount.Vec
	// freeCapacity is the free capacity of the workers in the grids.
	freeCapacity amount.Vec
	// plain indexes the workers without accelerators.
	plain grid
	// accelerated indexes the workers with accelerators.
	accelerated grid
	noFitCache  noFitCache
	overloaded  []*worker

	teams     map[string]*team
	teamOrder []*team
	// heaps hold the teams with buckets to try: those with urgent jobs, and those
	// with other jobs.
	heaps [2]*teamHeap
	// sharesStale is set if capacities or weights have changed since the shares of
	// the teams were computed.
	sharesStale bool
	// limitRetryAt is when teams at their limit are retried; 0 means never.
	limitRetryAt clock.Mono

	jobs map[string]*job
	// waiting is the number of jobs with waiting members, cancelledEntries that of
	// the cancelled jobs still in a bucket.
	waiting          int
	cancelledEntries int
	seq              uint64
	delayed          delayHeap
	jobsToStop       []*job

	tasks map[string]*task
	// taskPool holds ended tasks for reuse.
	taskPool []*task
	// preempting are the tasks with a pending preemption.
	preempting  []*task
	quarantined []*worker
	// throttledWorkers are the workers with throttled tasks.
	throttledWorkers []*worker
	pendingDrops     []Drop

	urgentReservations  []urgentReservation
	jobsWithReservation []*job
	holdsByID           map[string]*hold
	holdList            []*hold

	estimates  map[kindKey]*estimate
	kindOrder  []kindKey
	oldestKind int

	// Buffers that are reused to avoid allocations: slots of a reservation, workers
	// of a gang, and victims of a preemption.
	slots       []slot
	picked      []*worker
	victims     []*task
	bestVictims []*task
}

// New returns an empty state. It calls cfg.Defaults and panics if cfg.Check returns
// an error, since settings are checked at startup.
func New(cfg Config) *State {
	cfg.Defaults()
	if faults := cfg.Check(); len(faults) > 0 {
		panic(faults[0])
	}
	s := &State{
		cfg: cfg, rng: cfg.randSource(),
		workers: map[string]*worker{}, racks: map[string][]*worker{}, workersByCapacity: map[amount.Vec]int{},
		teams: map[string]*team{}, jobs: map[string]*job{}, tasks: map[string]*task{},
		freedWorkers: make([]*worker, 0, maxFreedWorkers),
		holdsByID:    map[string]*hold{}, estimates: map[kindKey]*estimate{},
	}
	s.heaps = [2]*teamHeap{{index: 0}, {index: 1}}
	return s
}

// advance sets the current time. A time before the last one is ignored.
func (s *State) advance(now clock.Mono) { s.now = max(s.now, now) }

// SetTeams sets the weights of teams. Teams that are not listed have weight 1.
func (s *State) SetTeams(shares []TeamShare) {
	for _, t := range s.teamOrder {
		t.weight = 1
	}
	for _, share := range shares {
		s.team(share.team).weight = float64(max(1, share.weight))
	}
	s.sharesStale = true
	s.version++
}

// SetInService sets whether the data centre is in service. Nothing starts while it
// is out of service.
func (s *State) SetInService(in bool) {
	s.outOfService = !in
	s.version++
}

// FreeCapacity returns the free capacity of the workers that receive work.
func (s *State) FreeCapacity() amount.Vec { return s.freeCapacity }

// TaskSize returns the capacity allocated to a running task.
func (s *State) TaskSize(task string) (amount.Vec, bool) {
	t := s.tasks[task]
	if t == nil {
		return amount.Vec{}, false
	}
	return t.size, true
}

// WaitingJobs returns the number of jobs with waiting tasks.
func (s *State) WaitingJobs() int { return s.waiting }

// job is a job with waiting or running tasks.
type job struct {
	spec   Job
	team   *team
	est    *estimate
	rank   rank
	bucket uint8
	// heapIndex is the index in its bucket, or -1 while the job is not queued.
	heapIndex int
	// sortKey is the result of latestStart by which the job is queued.
	sortKey clock.Mono
	seq     uint64

	// Members from nextMember on wait for their first start, except those in taken:
	// they run here or on another shard, or were done before a recovery. The members
	// in retryMembers wait to start again.
	nextMember   int
	retryMembers []int
	taken        map[int]bool
	// deferred counts the members that wait for the end of a delay or for the
	// worker of an urgent reservation.
	deferred int
	// isWaiting is set while the job counts in State.waiting.
	isWaiting bool

	running  int
	finished int
	// remoteMembers are the members of a gang that run on other shards.
	remoteMembers map[int]bool
	// tasks is the head of the linked list of running tasks.
	tasks *task
	// lastRun holds where the members of a service ran last, so that they restart
	// there.
	lastRun map[int]lastRun

	// failedOn lists the workers on which the job failed; failures counts all
	// failures and sets the delay before the next attempt.
	failedOn []string
	failures int
	// provenWaitUntil is the time until which the last attempt waits for a proven
	// worker.
	provenWaitUntil clock.Mono
	// racks counts the running members of a service by rack.
	racks map[string]int

	// foreign is set while another shard's owner has the job's record, or the
	// record has not been read yet.
	foreign, cancelled, offered, restarting bool

	waitReason Reason
	// noCapacitySince is when the wait for capacity began: at the first search since
	// the last start that found no worker, or when a reservation expired. 0 is never.
	noCapacitySince clock.Mono
	// retryAt is the earliest time of the next attempt to place a gang, nextOfferAt
	// that of the next offer to other shards.
	retryAt     clock.Mono
	nextOfferAt clock.Mono
	// offers is the number of offers so far.
	offers      int
	reservation *capacityReservation
}

// constrained reports whether the job avoids workers that have free capacity, so
// that a failed search says nothing about other jobs of the same size.
func (j *job) constrained() bool { return len(j.failedOn) > 0 || j.est.suspected() }

// startable reports whether the job has a member that can start now.
func (j *job) startable() bool {
	if len(j.retryMembers) > 0 {
		return true
	}
	for j.nextMember < j.spec.members && j.taken[j.nextMember] {
		delete(j.taken, j.nextMember)
		j.nextMember++
	}
	return j.nextMember < j.spec.members
}

// takeNextMember removes the next startable member and returns its number. There
// must be one.
func (j *job) takeNextMember() int {
	if n := len(j.retryMembers); n > 0 {
		m := j.retryMembers[n-1]
		j.retryMembers = j.retryMembers[:n-1]
		return m
	}
	j.startable()
	j.nextMember++
	return j.nextMember - 1
}

// startableCount returns the number of members that can start now.
func (j *job) startableCount() int {
	return len(j.retryMembers) + j.spec.members - j.nextMember - len(j.taken)
}

// updateWaiting updates State.waiting after a change of the waiting members of j.
func (s *State) updateWaiting(j *job) {
	isWaiting := !j.cancelled && (j.startableCount() > 0 || j.deferred > 0)
	if isWaiting == j.isWaiting {
		return
	}
	j.isWaiting = isWaiting
	if isWaiting {
		s.waiting++
	} else {
		s.waiting--
	}
}

// Add accepts a job. It returns rcode.Unschedulable if one of its tasks fits no worker,
// or if a gang does not fit the whole cell.
func (s *State) Add(spec Job, now clock.Mono) error {
	s.advance(now)
	if err := s.validate(spec); err != nil {
		return err
	}
	j := s.jobs[spec.id]
	if j != nil && !j.foreign {
		return rcode.New(rcode.IDReused, "place.Add: job %q already exists", spec.id)
	}
	if j == nil {
		j = s.addJob(spec)
	} else {
		s.takeOwnership(j, spec)
	}
	s.updateWaiting(j)
	s.enqueue(j)
	return nil
}

// addJob adds a job that is not known yet.
func (s *State) addJob(spec Job) *job {
	s.seq++
	j := &job{
		spec: spec, team: s.team(spec.team), est: s.estimateOf(spec.team, spec.kind),
		rank: rankOf(spec.class), heapIndex: -1, seq: s.seq, waitReason: ReasonShare,
	}
	if spec.class == policy.ClassService {
		j.racks, j.lastRun = map[string]int{}, map[int]lastRun{}
	}
	s.jobs[spec.id] = j
	return j
}

// takeOwnership turns a foreign job into one whose members wait here, except those
// that run. The attributes are taken from spec: a task adopted before the job's
// record was read only showed its team and size.
func (s *State) takeOwnership(j *job, spec Job) {
	j.foreign, j.nextMember, j.taken = false, 0, map[int]bool{}
	j.spec, j.est, j.rank = spec, s.estimateOf(spec.team, spec.kind), rankOf(spec.class)
	if spec.class == policy.ClassService {
		j.racks, j.lastRun = map[string]int{}, map[int]lastRun{}
	}
	for t := j.tasks; t != nil; t = t.next {
		j.taken[t.member] = true
		if j.racks != nil {
			j.racks[t.worker.rack]++
		}
	}
}

// validate returns an error if a job is invalid or can never run.
func (s *State) validate(spec Job) error {
	switch spec.class {
	case policy.ClassUrgent, policy.ClassService, policy.ClassBatch, policy.ClassGang:
	default:
		return rcode.New(rcode.BadRequest, "place.Add: jobs of class %q do not run on workers", spec.class)
	}
	if spec.id == "" || spec.team == "" {
		return rcode.New(rcode.BadRequest, "place.Add: job id and team are required")
	}
	if spec.members < 1 || spec.members > s.cfg.MaxMembers {
		return rcode.New(rcode.BadRequest, "place.Add: number of tasks is %d, must be between 1 and %d", spec.members, s.cfg.MaxMembers)
	}
	if spec.size.HasNegative() || spec.runTime < 0 || spec.deadline < 0 {
		return rcode.New(rcode.BadRequest, "place.Add: size, run time and deadline must not be negative")
	}
	return s.validateFits(spec)
}

// validateFits returns an error if a job does not fit the cell even when it is
// empty. Without any known worker it accepts all jobs.
func (s *State) validateFits(spec Job) error {
	if len(s.workers) == 0 && s.cfg.CellCapacity == nil {
		return nil
	}
	capacity := s.cellCapacityFor(spec.size)
	if capacity == 0 {
		return rcode.New(rcode.Unschedulable, "place.Add: no worker is large enough for a task of %v", spec.size)
	}
	if spec.class == policy.ClassGang && spec.members > capacity {
		return rcode.New(rcode.Unschedulable, "place.Add: the cell holds only %d of the gang's %d tasks of %v at once", capacity, spec.members, spec.size)
	}
	return nil
}

// cellCapacityFor returns how many tasks of a size fit the cell when it is empty.
func (s *State) cellCapacityFor(size amount.Vec) int {
	if s.cfg.CellCapacity != nil {
		return s.cfg.CellCapacity(size)
	}
	return s.countWhenEmpty(size)
}

// Cancel removes the waiting tasks of a job and stops its running ones. It reports
// whether none was running.
func (s *State) Cancel(id string) bool {
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return false
	}
	clear(j.remoteMembers)
	s.discardWaiting(j)
	if j.running > 0 {
		s.jobsToStop = append(s.jobsToStop, j)
		return false
	}
	return true
}

// discardWaiting removes the waiting members of j. Its bucket keeps the cancelled
// entry until it is first in line or swept, so that each of many cancellations
// takes constant time.
func (s *State) discardWaiting(j *job) {
	j.cancelled = true
	s.updateWaiting(j)
	if j.heapIndex >= 0 {
		s.cancelledEntries++
	}
	s.cancelReservation(j)
	s.deleteIfFinished(j)
}

// deleteIfFinished deletes a job of which no member runs or waits.
func (s *State) deleteIfFinished(j *job) {
	if j.running+len(j.remoteMembers) == 0 && (j.cancelled || j.foreign || !j.isWaiting) && s.jobs[j.spec.id] == j {
		delete(s.jobs, j.spec.id)
	}
}

// minSweepEntries is the number of cancelled entries from which on a sweep is worth
// its cost.
const minSweepEntries = 1024

// sweepCancelled removes the cancelled jobs from all buckets if there are many.
func (s *State) sweepCancelled() {
	if s.cancelledEntries < minSweepEntries || s.cancelledEntries < len(s.jobs) {
		return
	}
	s.cancelledEntries = 0
	for _, t := range s.teamOrder {
		for i := range t.buckets {
			t.pruneBucket(i)
		}
	}
}

// pruneBucket removes the cancelled jobs from a bucket.
func (t *team) pruneBucket(i int) {
	kept := t.buckets[i][:0]
	for _, j := range t.buckets[i] {
		if j.cancelled {
			j.heapIndex = -1
			continue
		}
		j.heapIndex = len(kept)
		kept = append(kept, j)
	}
	clear(t.buckets[i][len(kept):])
	if t.buckets[i] = kept; len(kept) == 0 {
		t.buckets[i] = nil
		t.nonEmpty &^= 1 << i
		return
	}
	heap.Init(&t.buckets[i])
}

// OfferDeclined reports that no other shard took an offered job, so that it may
// start here again. Each further offer of the job waits longer.
func (s *State) OfferDeclined(id string, now clock.Mono) {
	s.advance(now)
	j := s.jobs[id]
	if j == nil || !j.offered {
		return
	}
	j.offered = false
	j.nextOfferAt = s.now.Add(s.cfg.OfferAfter << min(j.offers, 6))
	s.enqueue(j)
}

// WaitReason returns why a job waits, or ReasonNone if it does not.
func (s *State) WaitReason(id string) Reason {
	j := s.jobs[id]
	if j == nil || !j.isWaiting {
		return ReasonNone
	}
	if s.outOfService {
		return ReasonOutOfService
	}
	return j.waitReason
}
