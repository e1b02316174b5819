// Package sched decides which task of which job runs on which worker. It is for a
// platform whose workers check fencing tokens and list their running and ended
// runs. The package does no I/O: methods report what happened, and the caller
// collects decisions and journal entries.
//
// # Usage
//
//	s := sched.New(sched.Config{StartTTL: 2 * time.Second})
//	s.SetNow(now, wallUnixMS)
//	s.SetRules(set)
//	s.PutWorker(spec)
//	s.AddJob(job)
//	decisions := s.Decide(now)
//	entries := s.TakeEvents() // store these before carrying out the decisions
//	s.LeasesStored()          // once they are stored
//	s.StartsStored(rev)       // then too, with the revision of the write: starts are sent with it as token
//	s.RestartsStored(rev)     // then too, with the revision of the write: the token of these workers
//	s.MayExtendLease(worker)  // before each order that extends a lease
//	s.AwaitsStart(...)        // before a start that had to wait is sent
//	s.AckToken(worker, ...)   // before each poll that acknowledges ends
//
// # Recovery
//
// After a takeover the new owner calls RestoreJobs with all jobs, Replay with the whole
// journal, RestoreLeases with its last list of leases and then FinishRecovery once. A run
// without an end in the journal counts as running until its worker's list shows otherwise or its
// lease has certainly expired.
package sched

import (
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// JobState is the state of a job as reported to callers.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the state is terminal.
func (s JobState) Final() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// Config holds the settings of a State.
type Config struct {
	// StartTTL is how long after the decision a start may take effect. The order
	// carries the deadline, and the worker refuses a start that arrives later.
	StartTTL time.Duration
	// FormerLeaseTTL is how long after a takeover a lease granted by the former
	// owner may still be valid.
	FormerLeaseTTL time.Duration
	// MaxLease is how long a lease that is extended now may last on this VM's clock; 0 is not
	// known.
	MaxLease time.Duration
	// LeaseCap is the longest lease that a worker grants, whatever an order asks for, measured on
	// this VM's clock; 0 is not known.
	LeaseCap time.Duration
	// ReserveAdviser reserves a VM for a call to the advising service that takes
	// costMS. It returns false while all VMs are busy; the first waiting step in rank
	// order gets the next VM that becomes free.
	ReserveAdviser func(costMS int64) (vm string, ok bool)
	// MaxStopDuration is the longest time from the acceptance of a stop to the end
	// of the run.
	MaxStopDuration time.Duration
	// AvoidSlowWorkers is whether slow workers come last and runs are moved from them. Their
	// number is reported in any case.
	AvoidSlowWorkers bool
	// PastUseHalfLife is the time after which an account's past use counts half in the order
	// of waiting steps; 0 leaves past use out of it.
	PastUseHalfLife time.Duration
}

// WorkerSpec describes one incarnation of a worker.
type WorkerSpec struct {
	ID, Addr   string
	DataCentre string
	Service    string
	Capacity   amount.Vec
	Labels     []string
	// Draining is set for a worker that reports its own shutdown; it gets no new
	// tasks.
	Draining bool
	// LeavesAt is the earliest time at which a draining worker exits; 0 is unknown.
	LeavesAt clock.Mono
	// BootUnixMS is when this incarnation of the worker started. It distinguishes
	// incarnations with the same ID; 0 is unknown. The worker's reports go before it.
	BootUnixMS int64
}

// worker is a worker's current incarnation and the runs that are counted on it.
type worker struct {
	spec WorkerSpec
	used amount.Vec
	runs runSet
	// listed is whether the worker is on the platform's list. One that was taken off may be
	// used until usableUntil.
	listed      bool
	usableUntil clock.Mono
	// entryBootMS is the incarnation that the entry in the platform's list describes; 0 is
	// unknown. spec has that one's capacity, labels and service.
	entryBootMS int64
	// runsKnown is whether this owner has read the worker's own list of runs.
	runsKnown bool
	// pollFailed is whether the worker left the last poll unanswered, unresponsive whether it
	// left the last two unanswered.
	pollFailed, unresponsive bool
	// unresponsiveSince is when the worker became unresponsive under this owner.
	unresponsiveSince clock.Mono
	// answered is whether the worker has answered this owner. fence, fenceToken and fenceExpiry
	// are the state of its fencing token after a restart, see fence.go.
	answered    bool
	fence       fence
	fenceToken  int64
	fenceExpiry clock.Mono
	// leaseExpiry is when every lease granted to the worker has certainly expired. That is not
	// before strayLeaseExpiry, up to which an order that was meant for a former incarnation may
	// have extended it.
	leaseExpiry, strayLeaseExpiry clock.Mono
	// orderedAt is when the last order that extends the lease was sent.
	orderedAt clock.Mono
	// formerLeaseLeft is what the former owners' last note says of the worker's leases. It is a
	// duration because the note has no time on this VM's clock; FinishRecovery counts it from
	// the takeover.
	formerLeaseLeft time.Duration
	// lastSeenSeq is the sequence number of the last processed end of a run.
	lastSeenSeq int64

	// endsCut is whether the last report left out ends. Acknowledging those that it lists is the
	// only way to read the others.
	endsCut bool

	// unknownRuns counts the listed runs that the owner has no record of. While there
	// are any, the worker's free capacity is unknown.
	unknownRuns int

	// failStreak counts failures of different jobs without a success in between,
	// failedJobs holds those jobs.
	failStreak int
	failedJobs map[string]struct{}
	// failedAt is when the last counted failure was reported, gangTrialAt when gangs may try
	// the worker if it is on probation.
	failedAt, gangTrialAt clock.Mono
	// suspectUntil is the time until which the worker gets no new tasks.
	suspectUntil clock.Mono
	// reservedFor is the gang that the worker's free capacity is reserved for.
	reservedFor *step
	// speed is what the newest runs show of the worker's speed.
	speed speedRecord
	// open is whether the worker may get tasks. indexedFreeCPU is its free CPU, in
	// thousandths of a core, by which workerIndex orders it.
	open           bool
	indexedFreeCPU int64
}

func (w *worker) free() amount.Vec { return w.spec.Capacity.Sub(w.used) }

type task struct {
	step           *step
	index          int
	attempt        int   // highest attempt
	failedAttempts []int // that count, in the order in which their ends were listed
	done           bool
	checkpoint     string
	// run is the current run, or nil. Earlier runs that have not ended, such as one on an
	// unresponsive worker whose task is duplicated, remain in step.liveRuns.
	run *run
	// preemptions counts the runs that were stopped to make room for gangs.
	preemptions int
	// avoidWorker is the worker that the last run failed on or was moved away from;
	// another one is preferred.
	avoidWorker *worker
}

func (t *task) id() graph.TaskID {
	return graph.TaskID{Job: t.step.job.doc.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

func (t *task) isWaiting() bool { return !t.done && t.run == nil }

// step is one step of one occurrence of a job.
type step struct {
	job         *job
	occurrence  int
	index       int
	spec        *graph.Step
	size        amount.Vec // of one task
	tasks       []*task
	remaining   int // tasks that are not done
	unassigned  int // tasks that wait for a worker
	pendingDeps int // steps that must be done first
	// readyAt is when the last dependency was done.
	readyAt clock.Mono
	queued  bool // in State.waiting
	// schedulableChecked is whether TakeUnschedulable has examined the step.
	schedulableChecked bool
	// liveRuns are the runs of all attempts that have not ended.
	liveRuns       runSet
	gangAttempt    int    // highest attempt of a gang
	failedAttempts []int  // of a gang, as those of a task
	checkpoint     string // newest checkpoint of a gang
	// savedAt is when the owner last learned of a new checkpoint of a gang, or 0.
	savedAt clock.Mono
	// gangBroken is whether a member of the gang ended while others still run. The next
	// attempt starts once all members have ended.
	gangBroken bool

	// runTimeMS is the expected run time of a task, criticalPathMS that of the longest chain
	// of steps that begins with this one.
	runTimeMS, criticalPathMS int64

	preemption preemption
	// took holds how long some runs of the step took.
	took []took

	advice adviceState
	rank   rank
	// delayed is whether the step is ordered behind others for its account's past use.
	delayed bool
}

type job struct {
	doc   *graph.Job // as accepted, or its compacted form
	team  *team      // nil if it was compacted when it was added
	queue rules.Queue
	state JobState
	// startDecided is whether a start was decided, first at firstStartAt; the worker may have
	// refused it. hasStarted is whether a worker accepted or listed a run.
	startDecided, hasStarted bool
	firstStartAt             clock.Mono
	occurrences              [][]*step
	stepsLeft                int
	openTasks                int // tasks of opened occurrences that are not done
	// objective is when the job should be complete, worthlessAt when its result has no
	// value any more.
	accepted, objective, worthlessAt clock.Mono
	// estimatedAt is when the objective and the steps' expected run times were computed.
	estimatedAt clock.Mono
	// firstFailedOn is the worker on which a run of the job failed first, or empty.
	firstFailedOn string
	// overRate is whether the client account exceeded its rate when the job was added.
	overRate bool
}

func (j *job) final() bool { return j.state.Final() }

// State holds the owner's view of jobs, workers and client accounts. It is not safe
// for concurrent use.
type State struct {
	cfg          Config
	now          clock.Mono
	rules        *rules.Set
	outOfService map[string]bool // data centres out of service
	// drainDeadlines holds the workers that drain for maintenance, each with the time at
	// which its remaining runs are stopped.
	drainDeadlines map[string]clock.Mono
	jobs           map[string]*job
	workers        map[string]*worker
	// workerList holds the workers in insertion order.
	workerList []*worker
	teams      map[string]*team
	// waiting holds the steps with tasks that wait for a worker, in rank order as of the
	// last decision.
	waiting []*step
	// overdue holds those whose result has no value any more, the one examined longest ago
	// first.
	overdue   []*step
	index     workerIndex
	scheduled []*job // jobs with occurrences that are not due yet
	// departed holds the workers that were removed in the last maxOrderDelay, with the time.
	departed map[string]clock.Mono
	// cancelledEarly holds jobs whose cancellation was read before the job itself.
	cancelledEarly map[string]bool
	// wallOffset is the time on the monotonic clock at Unix time 0.
	wallOffset clock.Mono

	runTimes      runTimeEstimator
	allowedShares allowedShares
	leaseNotes    leaseNotes
	pastUse       *pastUse // nil if it is left out

	events      []events.Event
	decisions   []Decision
	finished    []FinishedJob
	compactable []*job // finished jobs that are not compacted yet
	cutShort    []CutShort
	leaseEnds   []LeaseEnd
	outlived    []OutlivedRun
	// unanswered are the runs whose starts are to be repeated in the next round.
	unanswered []*run
	// unstoredStarts are the runs whose starts are not stored yet.
	unstoredStarts []*run
	// givenUp has the runs that were given up because their worker's leases had ended, by
	// worker.
	givenUp map[string][]givenUpRun
	// preempted counts the runs that ended because they were stopped for a gang,
	// lostCoreSeconds is the work of all runs that were cut short.
	preempted       int
	lostCoreSeconds float64
	scratch         scratch
	replaying       bool
	// nextStopAt is when runs may be stopped again for gangs or for their slow worker.
	nextStopAt clock.Mono
	// overloadedSince holds the services whose workers are nearly all in use.
	overloadedSince map[string]clock.Mono
	// runsCheckedAt is when all runs were last checked for stalls and for stops without
	// effect.
	runsCheckedAt clock.Mono
}

// New returns an empty state.
func New(cfg Config) *State {
	return &State{
		cfg: cfg, outOfService: make(map[string]bool), jobs: make(map[string]*job),
		workers: make(map[string]*worker), teams: make(map[string]*team), cancelledEarly: make(map[string]bool),
		scratch: scratch{busyQueues: make(map[string]int)}, pastUse: newPastUse(cfg.PastUseHalfLife),
		overloadedSince: make(map[string]clock.Mono), givenUp: make(map[string][]givenUpRun), departed: make(map[string]clock.Mono),
	}
}

// SetNow advances the clock. wallUnixMS is the wall time at now.
func (s *State) SetNow(now clock.Mono, wallUnixMS int64) {
	s.now = max(s.now, now)
	s.wallOffset = s.now - clock.Mono(wallUnixMS)*clock.Mono(time.Millisecond)
}

// SetRules puts a version of the configuration in force.
func (s *State) SetRules(set *rules.Set) {
	s.rules = set
	for name, t := range s.teams {
		s.applyTeamRules(t, name)
	}
}

// SetOutOfService sets the data centres whose workers get no new tasks.
func (s *State) SetOutOfService(dataCentres map[string]bool) { s.outOfService = dataCentres }

// addWorker creates the record of a worker.
func (s *State) addWorker(spec WorkerSpec) *worker {
	w := &worker{spec: spec}
	s.restoreDeparted(w)
	s.workers[spec.ID] = w
	s.workerList = append(s.workerList, w)
	return w
}

// TakeEvents returns the journal entries since the last call.
func (s *State) TakeEvents() []events.Event {
	out := s.events
	s.events = nil
	return out
}

// record appends a journal entry, except during a replay.
func (s *State) record(e events.Event) {
	if !s.replaying {
		s.events = append(s.events, e)
	}
}

// Job returns the state of a job, and false for an unknown one.
func (s *State) Job(id string) (JobState, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", false
	}
	return j.state, true
}

// LastTasksRun reports whether all tasks of a job that are not done run, so that the job may
// end without a further decision. It is false for a job that lasts until it is cancelled.
func (s *State) LastTasksRun(id string) bool {
	j := s.jobs[id]
	if j == nil || j.final() {
		return false
	}
	for _, steps := range j.occurrences {
		if steps == nil {
			return false
		}
		for _, st := range steps {
			if st.spec.Service || st.pendingDeps > 0 || st.remaining > 0 && st.unassigned > 0 {
				return false
			}
		}
	}
	return true
}

// Pending returns the number of jobs per queue that have not started any task.
func (s *State) Pending() map[string]int {
	out := make(map[string]int)
	for _, j := range s.jobs {
		if !j.hasStarted && !j.final() {
			out[j.doc.Queue]++
		}
	}
	return out
}

// FinishedJob describes a job that reached a terminal state.
type FinishedJob struct {
	ID, Queue, Team string
	State           JobState
	// Took is the time from acceptance to the end, Objective the target for it.
	// FirstStart is the time from acceptance to the first start of a task, or -1 if
	// no task was started.
	Took, Objective, FirstStart time.Duration
}

// TakeFinished returns the jobs that reached a terminal state since the last call.
// The state may be reported to callers only once the events are stored.
func (s *State) TakeFinished() []FinishedJob {
	out := s.finished
	s.finished = nil
	return out
}

// Running returns the number of runs that have not ended.
func (s *State) Running() int {
	n := 0
	for _, w := range s.workerList {
		n += len(w.runs)
	}
	return n
}

// Waiting returns the number of steps with tasks that wait for a worker.
func (s *State) Waiting() int { return len(s.waiting) + len(s.overdue) }
