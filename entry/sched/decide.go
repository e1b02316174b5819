package sched

import (
	"cmp"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
)

// rank orders waiting steps; lower ranks are placed first.
type rank struct {
	class     int
	priority  int
	objective clock.Mono
}

// Rank classes, first to last. Under overload, steps that are already late must not
// make the others late too.
const (
	classOnTime    = iota // can still meet the objective
	classMissed           // misses the objective, but still has value
	classOverRate         // sent by an account above its rate
	classWorthless        // so late that the result has no value
)

const (
	// requiredRunShare is the share of the expected run time that must fit before the
	// objective. Declared run times are far off in both directions.
	requiredRunShare = 0.9
	// startOverhead is added to the run time for the journal write, the start order and
	// the report of the end.
	startOverhead = 50 * time.Millisecond
)

func (s *State) rankOf(st *step) rank {
	j := st.job
	if s.now.Sub(j.estimatedAt) >= estimateInterval {
		s.estimate(j)
	}
	r := rank{priority: j.queue.Priority, objective: j.objective}
	switch {
	case s.now >= j.worthlessAt && !st.spec.Service:
		r.class = classWorthless
	case j.overRate:
		r.class = classOverRate
	case s.now.Add(startOverhead+time.Duration(requiredRunShare*float64(st.criticalPathMS))*time.Millisecond) > j.objective && !st.spec.Service:
		r.class = classMissed
	}
	return r
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority), cmp.Compare(r.objective, o.objective))
}

const (
	// reserveAfter is how long a gang waits before capacity is reserved for it.
	reserveAfter = 700 * time.Millisecond
	// maxReservedGangs is the number of gangs with reserved capacity at one time.
	maxReservedGangs = 2
)

// scratch holds buffers that are reused between decisions.
type scratch struct {
	fits    []fit
	overdue []*step
	// busyQueues counts, by queue, the steps for which no VM was free to call the advising
	// service in this round.
	busyQueues map[string]int
	// examined counts the workers examined for waiting steps in this round, searches the gangs
	// for which runs to stop were searched.
	examined, searches int
}

// Decide expires, stops, moves and starts runs as of now and returns the resulting
// decisions.
func (s *State) Decide(now clock.Mono) []Decision {
	s.now = max(s.now, now)
	s.openDueOccurrences()
	s.endExpiredRuns()
	s.duplicateUnresponsive()
	if s.now.Sub(s.runsCheckedAt) >= runCheckInterval {
		s.runsCheckedAt = s.now
		s.resendStops()
		s.stopStalled()
	}
	s.drainWorkers()
	s.placeWaiting()
	return s.TakeDecisions()
}

// TakeDecisions returns the pending decisions that events caused, such as stops of
// cancelled jobs, without placing any task.
func (s *State) TakeDecisions() []Decision {
	out := s.decisions
	s.decisions = nil
	return out
}

// RequestAdvice requests advice as of now for waiting steps that have received none, and
// returns these decisions. It starts nothing and records no events, so it may be called
// while the events of a round are being stored: with a slow store, steps would otherwise wait
// for one write after the other before they are even asked about.
func (s *State) RequestAdvice(now clock.Mono) []Decision {
	s.now = max(s.now, now)
	s.sortWaiting()
	s.indexWorkers()
	for _, st := range s.waiting {
		if st.job.queue.Advice != nil && st.advice.answered == nil && !s.waitingForAdvice(st) {
			s.requestFurtherAdvice(st)
		}
	}
	return s.TakeDecisions()
}

// stillWaits reports whether a step has tasks that wait for a worker. A step that has none
// leaves the waiting steps.
func (s *State) stillWaits(st *step) bool {
	if st.job.final() || st.remaining == 0 || st.unassigned == 0 {
		st.queued = false
		s.releaseReserved(st)
		return false
	}
	return true
}

// sortWaiting drops the steps that no longer wait and sorts the others by rank. Steps whose
// result has no value any more move to the overdue ones.
func (s *State) sortWaiting() {
	clear(s.scratch.busyQueues)
	keep := s.waiting[:0]
	for _, st := range s.waiting {
		if !s.stillWaits(st) {
			continue
		}
		st.rank = s.rankOf(st)
		if st.rank.class == classWorthless {
			s.overdue = append(s.overdue, st)
			continue
		}
		keep = append(keep, st)
	}
	clear(s.waiting[len(keep):])
	s.waiting = keep
	slices.SortStableFunc(s.waiting, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// placeWaiting starts the tasks of waiting steps that fit, in the order of their ranks. It
// renews the capacity reservations for gangs that do not fit.
func (s *State) placeWaiting() {
	s.sortWaiting()
	s.indexWorkers()
	for _, w := range s.workerList {
		w.reservedFor = nil
	}
	kept, reservedGangs := s.keepRoom(), 0
	for _, st := range s.waiting {
		if s.place(st) || st.rank.class != classOnTime {
			continue
		}
		if n := s.preemptFor(st, s.roomLimit(kept)); n > 0 {
			kept += n
			continue
		}
		if reservedGangs < maxReservedGangs && s.now.Sub(st.readyAt) >= reserveAfter && s.reserveCapacity(st) {
			reservedGangs++
		}
	}
	s.placeOverdue()
}

// maxOverduePerRound is the number of overdue steps that a round examines. They may be many
// after an outage, and a round must not take longer for each of them.
const maxOverduePerRound = 256

// placeOverdue starts tasks of the overdue steps that were examined longest ago, in the
// order of their ranks.
func (s *State) placeOverdue() {
	n := min(maxOverduePerRound, len(s.overdue))
	batch := append(s.scratch.overdue[:0], s.overdue[:n]...)
	clear(s.overdue[:n])
	s.overdue = s.overdue[n:]
	for _, st := range batch {
		st.rank = s.rankOf(st)
	}
	slices.SortStableFunc(batch, func(a, b *step) int { return a.rank.compare(b.rank) })
	for _, st := range batch {
		if !s.stillWaits(st) {
			continue
		}
		s.place(st)
		switch {
		case !s.stillWaits(st):
		case st.rank.class == classWorthless:
			s.overdue = append(s.overdue, st)
		default:
			s.waiting = append(s.waiting, st)
		}
	}
	clear(batch)
	s.scratch.overdue = batch
}

// place starts tasks of a step, or requests the advice that it lacks. It returns false for
// a gang that lacks capacity and waits for nothing else.
func (s *State) place(st *step) bool {
	if st.spec.Gang {
		return s.placeGang(st)
	}
	s.placeTasks(st)
	return true
}

// acceptsWork reports whether a worker may get new tasks of any kind.
func (s *State) acceptsWork(w *worker) bool {
	if !s.isReporting(w) || w.spec.Draining || s.outOfService[w.spec.DataCentre] {
		return false
	}
	return s.now >= w.suspectUntil && s.drainDeadlines[w.spec.ID] == 0
}

// isReporting reports whether the worker is listed or may be listed again, answers polls and
// has reported its runs to this owner.
func (s *State) isReporting(w *worker) bool {
	return s.isUsable(w) && w.runsKnown && !w.unresponsive
}

// capacityFor returns how many more tasks of a step fit on a worker, at most n. Capacity
// that is reserved for a gang is open only to that gang and to queues with a higher
// priority than the gang's.
func (s *State) capacityFor(w *worker, st *step, n int) int {
	if w.reservedFor != nil && w.reservedFor != st && st.job.queue.Priority >= w.reservedFor.job.queue.Priority {
		return 0
	}
	if w.isOnProbation() {
		n = s.trialCapacity(w, st, n)
	}
	free := w.free()
	s.scratch.examined++
	n = min(n, fitCount(free.CPUMilli(), st.size.CPUMilli(), n))
	n = min(n, fitCount(free.MemoryMiB(), st.size.MemoryMiB(), n))
	n = min(n, fitCount(free.Accelerators(), st.size.Accelerators(), n))
	if quota := st.spec.MaxPerWorker; quota > 0 {
		for _, r := range st.liveRuns.copy() {
			if r.worker == w {
				quota--
			}
		}
		n = min(n, quota)
	}
	return max(0, n)
}

// fitCount returns how often size fits into free; an empty size fits limit times.
func fitCount(free, size int64, limit int) int {
	if size <= 0 {
		return limit
	}
	return int(max(0, free) / size)
}

// fit is a worker and the number of tasks of a step that fit on it.
type fit struct {
	worker *worker
	count  int
	cost   float64
	// trial is whether the worker is on probation and the step a gang, which tries it only if
	// the other workers do not suffice.
	trial bool
}

// compare orders workers before those that a gang would try on probation, and lower costs
// first.
func (f fit) compare(o fit) int {
	switch {
	case f.trial == o.trial:
		return cmp.Or(cmp.Compare(f.cost, o.cost), cmp.Compare(f.worker.spec.ID, o.worker.spec.ID))
	case o.trial:
		return -1
	default:
		return 1
	}
}

// placementPenalty is added to the cost of a worker that comes after all others: one outside
// the rack that holds a step's data, or, for fillers, one with a service task that has a
// latency bound. It outweighs any difference in free CPU between two workers.
const placementPenalty = 1e9

// findFits returns the workers that a step may use and that have capacity for its tasks.
// Best fit: the least free CPU comes first, so that large blocks of free capacity stay
// unfragmented. Workers in the rack that holds the data come before all others. The
// result is valid until the next call.
func (s *State) findFits(st *step, n int, tickets ticketFilter) []fit {
	if st.size.CPUMilli() > s.index.maxFreeCPU() {
		return nil
	}
	out := s.scratch.fits[:0]
	for w := range s.allowedWorkers(st, tickets, st.size.CPUMilli()) {
		if !suits(w, st) || st.spec.Filler && !w.acceptsFillers() {
			continue
		}
		count := s.capacityFor(w, st, n)
		if count == 0 {
			continue
		}
		cost := float64(w.free().CPUMilli())
		if st.spec.Filler {
			cost = w.fillerCost()
		}
		if st.spec.DataRack != "" && !slices.Contains(w.spec.Labels, st.spec.DataRack) {
			cost += placementPenalty
		}
		out = append(out, fit{worker: w, count: count, cost: cost, trial: st.spec.Gang && w.isOnProbation()})
	}
	slices.SortFunc(out, fit.compare)
	s.scratch.fits = out
	return out
}

// placeTasks starts as many tasks of a step as fit, and requests advice for the rest.
func (s *State) placeTasks(st *step) {
	if s.waitingForAdvice(st) && len(st.advice.allowed) == 0 {
		return
	}
	if !s.withinLimit(st, st.spec.Declared()) {
		return
	}
	fits := s.findFits(st, st.unassigned, withTicket)
	next := 0
	for _, t := range st.tasks {
		if next == len(fits) {
			break
		}
		if !t.isWaiting() {
			continue
		}
		if t.avoidWorker == fits[next].worker && len(fits) > next+1 {
			fits[next], fits[next+1] = fits[next+1], fits[next]
		}
		if !s.withinLimit(st, st.spec.Declared()) {
			return
		}
		s.start(t, fits[next].worker, t.attempt+1)
		fits[next].count--
		if fits[next].count == 0 {
			next++
		}
	}
	if st.unassigned > 0 {
		s.requestAdviceForTasks(st)
	}
}

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

// reserveCapacity reserves the workers with the most free CPU for a gang that does not
// fit yet, so that they get no other tasks of the same or a lower priority. It reports
// whether the reserved workers could hold the gang if they were empty.
func (s *State) reserveCapacity(st *step) bool {
	need := st.remaining
	var list []fit
	for w := range s.allowedWorkers(st, withOrWithoutTicket, anyFreeCPU) {
		if w.reservedFor != nil || !suits(w, st) || w.isOnProbation() && s.trialCapacity(w, st, need) == 0 {
			continue
		}
		n := min(fitCount(w.spec.Capacity.CPUMilli(), st.size.CPUMilli(), need),
			fitCount(w.spec.Capacity.MemoryMiB(), st.size.MemoryMiB(), need))
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

// start records and emits the start of a task on a worker.
func (s *State) start(t *task, w *worker, attempt int) {
	r := s.newRun(t, w, attempt)
	s.record(events.Start(t.id(), attempt, w.spec.ID, w.spec.BootUnixMS))
	s.emit(Start{
		Task: t.id(), Attempt: attempt, Worker: w.spec.ID, Addr: w.spec.Addr, Spec: t.step.job.doc.Spec,
		Checkpoint: t.checkpoint, Ticket: t.step.advice.ticket(w),
	})
	r.progress = 0
}

const (
	// stalledAfter is how long a run may go without progress, in addition to a tenth of
	// its declared run time. Even the longest healthy runs advance by one percent much
	// sooner.
	stalledAfter     = 2500 * time.Millisecond
	progressComplete = 100 // percent
	// runCheckInterval is the time between two checks of all runs for stalls and for stops
	// that took no effect, which both take much longer to show.
	runCheckInterval = 100 * time.Millisecond
)

// stopStalled stops runs that make no progress, so that they are restarted on another
// worker.
func (s *State) stopStalled() {
	for _, w := range s.workerList {
		for _, r := range w.runs {
			st := r.task.step
			if !r.confirmed || r.stopping || st.spec.Service || st.spec.Filler || r.progress >= progressComplete {
				continue
			}
			// Time without reports does not count: the run may go on while the worker is
			// unreachable.
			if r.lastListedAt.Sub(r.progressedAt) < stalledAfter+time.Duration(st.spec.EstimateMS)*time.Millisecond/10 {
				continue
			}
			w.suspectUntil = s.now.Add(suspectDuration)
			r.task.avoidWorker = w
			s.stop(r, ReasonStalled)
		}
	}
}
