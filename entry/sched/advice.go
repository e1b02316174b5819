package sched

import (
	"iter"
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// adviceState holds the advice received about the workers that may run a step. The answer
// about a worker does not change. The tickets of allowed workers expire, and a further
// request about these workers renews them.
type adviceState struct {
	// pending is the number of requests in flight, requestedAt when the last one was sent.
	pending     int
	requestedAt clock.Mono
	// answered holds the IDs of the workers that advice was received about, allowed those
	// of them that may run the step, with their latest tickets. Both are nil until the
	// first answer.
	answered map[string]bool
	allowed  map[string]ticket
	// reserved is the capacity reserved while the tickets of a gang are renewed.
	reserved []fit
}

// ticket is a worker's ticket and when it expires. A worker that refused its ticket has
// the zero value.
type ticket struct {
	value     string
	expiresAt clock.Mono
}

const (
	// ticketMargin is the minimum remaining validity of a ticket when a start is
	// decided. The journal write and the start order precede the ticket's use.
	ticketMargin = 150 * time.Millisecond
	// adviceRetryInterval is the time between requests about further workers.
	adviceRetryInterval = 600 * time.Millisecond
	// adviceTimeout is how long a step waits for an answer.
	adviceTimeout = 3 * time.Second
	// minAskedWorkers is the minimum number of workers that a step asks about.
	minAskedWorkers = 10
	// spareRoom is how many times a step's tasks should fit on the allowed ones of the
	// workers asked about. Other steps take a part of the room before the answer arrives.
	spareRoom = 4
	// emptyRoomShare is the share of a full worker's capacity that counts as room, because
	// some of its runs end while the tickets are valid.
	emptyRoomShare = 0.1
	// maxRequests is the maximum number of requests that a step has in flight. They go to
	// different VMs, each of which makes one call at a time.
	maxRequests = 5
	// maxAskedWorkers is the maximum number of workers in one request, set by the
	// advising service.
	maxAskedWorkers = 100
)

func (a *adviceState) ticket(w *worker) string { return a.allowed[w.spec.ID].value }

// dropTicket forgets the ticket for a worker that refused it.
func (a *adviceState) dropTicket(workerID string) {
	if _, ok := a.allowed[workerID]; ok {
		a.allowed[workerID] = ticket{}
	}
}

// ticketFilter selects workers by the tickets that a step holds for them.
type ticketFilter string

const (
	withTicket          ticketFilter = "with ticket"
	withoutTicket       ticketFilter = "without ticket"
	withOrWithoutTicket ticketFilter = "with or without ticket"
)

// matches reports whether the filter selects workers whose ticket is valid, or not valid.
func (f ticketFilter) matches(valid bool) bool {
	return f == withOrWithoutTicket || valid == (f == withTicket)
}

// allowedWorkers iterates over the workers that a step may run on according to the advice
// received so far, as far as the filter selects them. Without an advising service these are
// all open workers with the given free CPU, in thousandths of a core, each with a valid
// ticket.
func (s *State) allowedWorkers(st *step, tickets ticketFilter, freeCPU int64) iter.Seq[*worker] {
	if st.job.queue.Advice == nil {
		if !tickets.matches(true) {
			return slices.Values[[]*worker](nil)
		}
		return slices.Values(s.index.withFreeCPU(freeCPU))
	}
	return func(yield func(*worker) bool) {
		expiry := s.now.Add(ticketMargin)
		for id, t := range st.advice.allowed {
			if !tickets.matches(t.expiresAt > expiry) {
				continue
			}
			if w := s.workers[id]; w != nil && !yield(w) {
				return
			}
		}
	}
}

// requestAdviceForTasks requests advice for the tasks of a step that were not placed.
// It renews expired tickets first and then asks about further workers.
func (s *State) requestAdviceForTasks(st *step) {
	if st.job.queue.Advice == nil || s.waitingForAdvice(st) {
		return
	}
	if st.advice.answered == nil {
		s.requestFurtherAdvice(st)
		return
	}
	fits := s.findFits(st, st.unassigned, withoutTicket)
	if len(fits) > 0 {
		s.requestAdvice(st, firstWorkers(fits, maxRequests*maxAskedWorkers))
		return
	}
	if s.now.Sub(st.advice.requestedAt) >= adviceRetryInterval {
		s.requestFurtherAdvice(st)
	}
}

// maxBusySteps is the number of steps of a queue for which no VM was free after which the
// others are not examined in the same round.
const maxBusySteps = 8

// requestFurtherAdvice requests advice about workers that a step was not asked about yet.
func (s *State) requestFurtherAdvice(st *step) {
	queue := st.job.doc.Queue
	if s.scratch.busyQueues[queue] >= maxBusySteps {
		return
	}
	if workers := s.candidates(st); len(workers) > 0 && !s.requestAdvice(st, workers) {
		s.scratch.busyQueues[queue]++
	}
}

// requestAdviceForGang renews tickets if the gang would fit with them, and reserves the
// capacity meanwhile. Otherwise it asks about further workers. It reports whether the
// gang waits for advice only, not for capacity.
func (s *State) requestAdviceForGang(st *step, need int) bool {
	if st.job.queue.Advice == nil {
		return false
	}
	if st.advice.answered == nil {
		s.requestFurtherAdvice(st)
		return true
	}
	if fits := s.gangFits(st, need, withOrWithoutTicket); fits != nil {
		if s.requestAdvice(st, firstWorkers(fits, maxRequests*maxAskedWorkers)) {
			s.reserveForGang(st, fits, need)
		}
		return true
	}
	if s.roomPending(st) {
		return true
	}
	if s.now.Sub(st.advice.requestedAt) >= adviceRetryInterval && s.totalCapacity(st, need) >= need {
		s.requestFurtherAdvice(st)
	}
	return false
}

// totalCapacity returns how many tasks of a step, at most limit, fit on the workers that
// are allowed or were not asked about yet.
func (s *State) totalCapacity(st *step, limit int) int {
	n := 0
	for _, w := range s.index.withFreeCPU(st.size.CPUMilli()) {
		_, allowed := st.advice.allowed[w.spec.ID]
		if suits(w, st) && (allowed || !st.advice.answered[w.spec.ID]) {
			n += s.capacityFor(w, st, limit-n)
		}
		if n >= limit {
			break
		}
	}
	return n
}

// waitingForAdvice reports whether a request of the step is in flight. A request that
// timed out is dropped.
func (s *State) waitingForAdvice(st *step) bool {
	if st.advice.pending > 0 && s.now.Sub(st.advice.requestedAt) >= adviceTimeout {
		st.advice.pending = 0
		s.releaseReserved(st)
	}
	return st.advice.pending > 0
}

func firstWorkers(fits []fit, limit int) []*worker {
	var out []*worker
	for _, f := range fits[:min(len(fits), limit)] {
		out = append(out, f.worker)
	}
	return out
}

// candidates returns the workers to ask about next, those with the most free CPU first.
// Before the first answer it includes workers without free capacity. It returns so many
// that the step's tasks are expected to fit on the allowed ones.
func (s *State) candidates(st *step) []*worker {
	var list []*worker
	limit := max(minAskedWorkers, workersPerBase(st.job.queue.Advice))
	need := spareRoom * float64(st.unassigned) / s.allowedShares.share(st.job.doc.Queue)
	open := s.index.open
	if st.advice.answered != nil {
		open = s.index.withFreeCPU(st.size.CPUMilli())
	}
	for _, w := range open {
		if len(list) >= limit && need <= 0 || len(list) == maxRequests*maxAskedWorkers {
			break
		}
		if !suits(w, st) || st.advice.answered[w.spec.ID] || !st.size.Fits(w.spec.Capacity) {
			continue
		}
		n := s.capacityFor(w, st, st.unassigned)
		if st.advice.answered != nil && n == 0 {
			continue
		}
		whenEmpty := fitCountVec(w.spec.Capacity, st.size, st.unassigned)
		need -= max(float64(n), emptyRoomShare*float64(whenEmpty))
		list = append(list, w)
	}
	return list
}

// workersPerBase returns the number of workers for which a call to the advising service
// takes twice its base time. A second call about further workers takes the base time
// again, and the capacity on the workers of the first one may be gone by then, so that
// asking about fewer workers at a time saves nothing.
func workersPerBase(q *rules.AdviceConfig) int {
	if q.PerWorkerMS <= 0 {
		return maxAskedWorkers
	}
	return int(min(maxAskedWorkers, q.BaseMS/q.PerWorkerMS))
}

// requestAdvice emits requests about the workers, as long as not all VMs are busy with calls
// to the advising service. It reports whether it emitted one.
func (s *State) requestAdvice(st *step, workers []*worker) bool {
	requests := (len(workers) + maxAskedWorkers - 1) / maxAskedWorkers
	for i := range requests {
		if !s.requestAdviceOnce(st, workers[i*len(workers)/requests:(i+1)*len(workers)/requests]) {
			return i > 0
		}
	}
	return requests > 0
}

// requestAdviceOnce emits one request unless all VMs are busy.
func (s *State) requestAdviceOnce(st *step, workers []*worker) bool {
	a := &st.advice
	cost := st.job.queue.Advice.CostMS(len(workers))
	vm, ok := s.cfg.ReserveAdviser(cost)
	if !ok {
		return false
	}
	a.pending++
	a.requestedAt = s.now
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.spec.ID)
	}
	s.emit(RequestAdvice{VM: vm, Step: st.tasks[0].id().StepName(), Workers: ids, CostMS: cost, Renewal: a.answered[ids[0]]})
	return true
}

// reserveForGang reserves capacity for the need tasks of a gang.
func (s *State) reserveForGang(st *step, fits []fit, need int) {
	for _, f := range fits {
		n := min(f.count, need)
		need -= n
		f.count = n
		f.worker.used = f.worker.used.Add(scale(st.size, n))
		s.index.update(f.worker, f.worker.open)
		st.advice.reserved = append(st.advice.reserved, f)
	}
}

// releaseReserved undoes reserveForGang.
func (s *State) releaseReserved(st *step) {
	for _, f := range st.advice.reserved {
		f.worker.used = f.worker.used.Sub(scale(st.size, f.count))
		s.index.update(f.worker, f.worker.open)
	}
	st.advice.reserved = nil
}

// Ticket allows a step to run on a worker for a limited time.
type Ticket struct {
	Worker, Value string
}

// AdviceReceived records the answer to a request about the workers asked. The tickets
// are valid until the given time. ok is false for a failed request. Answers that renew tickets
// say nothing about the share of the workers that is allowed: only allowed ones are asked about.
func (s *State) AdviceReceived(stepName string, asked []string, tickets []Ticket, until clock.Mono, ok bool) {
	st := s.lookupStep(stepName)
	if st == nil {
		return
	}
	a := &st.advice
	a.pending = max(0, a.pending-1)
	if a.pending == 0 {
		s.releaseReserved(st)
	}
	if !ok {
		return
	}
	renewal := len(asked) > 0 && a.answered[asked[0]]
	if len(asked) > 0 && !renewal {
		s.allowedShares.add(st.job.doc.Queue, float64(len(tickets))/float64(len(asked)))
	}
	a.add(asked)
	for _, id := range asked {
		delete(a.allowed, id)
	}
	allowed := make([]string, 0, len(tickets))
	for _, t := range tickets {
		a.allowed[t.Worker] = ticket{value: t.Value, expiresAt: until}
		allowed = append(allowed, t.Worker)
	}
	if q := st.job.queue.Advice; !renewal && q != nil && q.CostMS(len(asked)) >= minKeptAdviceMS {
		s.record(events.Advice(st.tasks[0].id(), allowed))
	}
}

// minKeptAdviceMS is the cost of a call to the advising service from which its answer is kept
// in the journal. After a takeover there are many steps to ask about at once, and the answers
// do not change.
const minKeptAdviceMS = 60

// add notes workers that advice was received about.
func (a *adviceState) add(asked []string) {
	if a.answered == nil {
		a.answered, a.allowed = make(map[string]bool), make(map[string]ticket)
	}
	for _, id := range asked {
		a.answered[id] = true
	}
}

// restore notes the workers that a former owner was allowed, whose tickets must be renewed.
func (a *adviceState) restore(allowed []string) {
	a.add(allowed)
	for _, id := range allowed {
		a.allowed[id] = ticket{}
	}
}

func (s *State) lookupStep(name string) *step {
	id, ok := parseStep(name)
	if !ok {
		return nil
	}
	t := s.lookupTask(id)
	if t == nil {
		return nil
	}
	return t.step
}

// parseStep parses a step's name as the name of its first task.
func parseStep(name string) (graph.TaskID, bool) { return graph.ParseTaskID(name + ".0") }

// allowedShares keeps, by queue, a moving average of the share of the workers asked about
// that the advising service allows.
type allowedShares struct{ mean map[string]float64 }

const (
	// initialAllowedShare is assumed before the first answer for a queue.
	initialAllowedShare = 0.5
	// minAllowedShare bounds the number of workers asked about for a queue that is allowed
	// on hardly any worker.
	minAllowedShare = 0.05
	// allowedShareWeight is the weight of the newest answer in the average.
	allowedShareWeight = 0.1
)

func (a *allowedShares) add(queue string, share float64) {
	if a.mean == nil {
		a.mean = make(map[string]float64)
	}
	old := a.share(queue)
	a.mean[queue] = old + allowedShareWeight*(share-old)
}

func (a *allowedShares) share(queue string) float64 {
	mean, ok := a.mean[queue]
	if !ok {
		return initialAllowedShare
	}
	return max(mean, minAllowedShare)
}
