package sched

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// PutWorker adds a worker or takes in what changed about it. Nothing is started
// on a worker before its first list was read.
func (s *State) PutWorker(spec WorkerSpec) {
	w := s.workers[spec.ID]
	if w == nil {
		w = s.addWorker(WorkerSpec{ID: spec.ID})
	}
	if w.spec.BornUnixMS != 0 && spec.BornUnixMS != 0 && w.spec.BornUnixMS != spec.BornUnixMS {
		s.reborn(w, spec.BornUnixMS)
	}
	if spec.BornUnixMS == 0 {
		spec.BornUnixMS = w.spec.BornUnixMS
	}
	w.spec, w.listed = spec, true
}

// DropWorker notes that a worker is not on the platform's list any more. It gets
// nothing new; what it runs stays until its end is certain.
func (s *State) DropWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.listed = false
		s.forgetWorker(w)
	}
}

func (s *State) forgetWorker(w *worker) {
	if !w.listed && len(w.runs) == 0 {
		delete(s.workers, w.spec.ID)
		s.sorted = slices.DeleteFunc(s.sorted, func(o *worker) bool { return o == w })
	}
}

// reborn takes in that another incarnation runs under the worker's id: what the
// earlier one listed is over. A start that was not listed yet may have reached
// either; the next list tells.
func (s *State) reborn(w *worker, born int64) {
	for _, r := range w.runs.copy() {
		if r.listedBorn != 0 && r.listedBorn != born {
			s.endRun(r, events.HowLost, "")
		}
	}
	w.spec.BornUnixMS = born
	s.renew(w)
}

// renew forgets what was known of an incarnation.
func (s *State) renew(w *worker) {
	w.seen, w.fresh, w.failStreak, w.suspectUntil = 0, false, 0, 0
	w.failJobs = nil
}

// Gone notes that an incarnation with another id answers at the worker's address.
func (s *State) Gone(id string) {
	w := s.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.runs.copy() {
		s.endRun(r, events.HowLost, "")
	}
	s.renew(w)
	s.forgetWorker(w)
}

// Leased notes that a worker may hold what it runs until lapse.
func (s *State) Leased(id string, lapse clock.Mono) {
	if w := s.workers[id]; w != nil {
		w.lapse = max(w.lapse, lapse)
	}
}

// Silent notes that a worker did not answer its last look.
func (s *State) Silent(id string) {
	if w := s.workers[id]; w != nil {
		w.silent = true
	}
}

// lapseSilent gives up what silent workers ran once every lease there has ended.
func (s *State) lapseSilent() {
	for _, w := range slices.Clone(s.sorted) {
		if !w.silent && w.listed || len(w.runs) == 0 || w.lapse == 0 || s.now < w.lapse {
			continue
		}
		for _, r := range w.runs.copy() {
			if s.now >= r.startBy {
				s.endRun(r, events.HowLost, "")
			}
		}
		s.forgetWorker(w)
	}
}

// copySilent lets tasks that may run twice start elsewhere while their worker is
// silent, instead of waiting for its lease to end.
func (s *State) copySilent() {
	for _, w := range s.sorted {
		if !w.silent {
			continue
		}
		for _, r := range w.runs {
			t := r.task
			if t.run != r || !t.step.spec.Duplicates || t.step.spec.Gang || t.done || t.step.job.final() {
				continue
			}
			t.run, t.avoid = nil, w
			t.step.open++
			s.enqueue(t.step)
		}
	}
}

// Running is one run that a worker lists.
type Running struct {
	Task    graph.TaskID
	Attempt int
	Saved   string
	Percent int
	// Load is the tail in milliseconds for a service task, else processors in use.
	Load int64
}

// Ended is one end that a worker lists.
type Ended struct {
	Number  int64
	Task    graph.TaskID
	Attempt int
	How     events.How
	Saved   string
}

// Report is what a worker said of its runs.
type Report struct {
	Worker     string
	BornUnixMS int64
	// SentAt is when the look was sent.
	SentAt  clock.Mono
	Running []Running
	Ended   []Ended
}

// Observe takes in a worker's report and returns the number of the last end that
// it lists, which may be acknowledged once the events are stored.
func (s *State) Observe(r Report) int64 {
	w := s.workers[r.Worker]
	if w == nil {
		return 0
	}
	if r.BornUnixMS != 0 && r.BornUnixMS != w.spec.BornUnixMS {
		s.reborn(w, r.BornUnixMS)
	}
	w.silent = false
	for _, e := range r.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			s.ended(w, e)
		}
	}
	s.compare(w, r)
	s.paceFillers(w)
	w.fresh = true
	s.forgetWorker(w)
	return w.seen
}

// compare brings the runs known here in line with those that the worker lists.
func (s *State) compare(w *worker, rep Report) {
	listed := make(map[*run]bool, len(rep.Running))
	w.strays = 0
	for _, item := range rep.Running {
		r := s.findRun(w, item.Task, item.Attempt)
		if r == nil {
			s.stray(w, item)
			continue
		}
		listed[r] = true
		s.progress(r, item)
	}
	for _, r := range w.runs.copy() {
		if !listed[r] && s.vanished(w, r, rep.SentAt) {
			s.endRun(r, events.HowLost, "")
		}
	}
}

// vanished reports whether a run that a worker does not list is certainly over or
// never begins: the list was asked for after the run was confirmed, after the
// worker accepted its stop, or after the start had lapsed; or the run is of a
// former owner, whose orders the worker refuses since it saw this one's token.
func (s *State) vanished(w *worker, r *run, asked clock.Mono) bool {
	switch {
	case r.recovered:
		return true
	case r.confirmed, r.stopped:
		return asked > r.confirmedAt
	default:
		return asked > r.startBy
	}
}

func (s *State) findRun(w *worker, id graph.TaskID, attempt int) *run {
	t := s.taskOf(id)
	if t == nil {
		return nil
	}
	for _, r := range t.step.liveRuns {
		if r.task == t && r.worker == w && r.attempt == attempt {
			return r
		}
	}
	return nil
}

// stray stops a run that should not be there, unless its job is not known yet.
func (s *State) stray(w *worker, item Running) {
	w.strays++
	if t := s.taskOf(item.Task); t != nil {
		t.attempt = max(t.attempt, item.Attempt)
		t.step.attempt = max(t.step.attempt, item.Attempt)
	}
	s.emit(Stop{Task: item.Task, Attempt: item.Attempt, Worker: w.spec.ID, Reason: ReasonStray})
}

func (s *State) progress(r *run, item Running) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, s.now
		r.movedAt = s.now
	}
	r.recovered, r.listedBorn = false, r.worker.spec.BornUnixMS
	r.tail, r.listedAt = item.Load, s.now
	if item.Percent != r.percent {
		r.percent, r.movedAt = item.Percent, s.now
	}
	if item.Saved != "" {
		s.saved(r, item.Saved)
	}
	if r.task.done || r.task.step.job.final() {
		s.stop(r, ReasonEnded)
	}
}

func (s *State) saved(r *run, value string) {
	r.task.saved = value
	if r.task.step.spec.Gang {
		r.task.step.saved = value
	}
}

// ended takes in one end that a worker lists.
func (s *State) ended(w *worker, e Ended) {
	t := s.taskOf(e.Task)
	if t == nil {
		return
	}
	r := s.findRun(w, e.Task, e.Attempt)
	if r == nil {
		// A run given up earlier, or one whose start arrived late.
		if e.How == events.HowDone && !t.done {
			s.record(events.End(e.Task, e.Attempt, e.How, ""))
			s.doneBy(t)
		}
		return
	}
	s.endRun(r, e.How, e.Saved)
}

// endRun takes a run out and applies how it ended to its task and job.
func (s *State) endRun(r *run, how events.How, saved string) {
	t, st, w := r.task, r.task.step, r.worker
	if saved != "" {
		s.saved(r, saved)
	}
	s.record(events.End(t.id(), r.attempt, how, t.saved))
	w.runs.remove(r)
	w.used = w.used.Sub(r.size)
	tm := s.team(st.job.doc.Team)
	tm.used = tm.used.Sub(r.charged)
	st.liveRuns.remove(r)
	if t.run == r {
		t.run = nil
		if !t.done {
			st.open++
		}
	}
	s.judge(w, r, how)
	switch how {
	case events.HowDone:
		if r.confirmed && !s.replaying {
			s.learned.add(st.job.doc.Queue, s.now.Sub(r.confirmedAt))
		}
		s.doneBy(t)
	case events.HowFailed:
		t.avoid = w
		s.failed(r)
	case events.HowStopped, events.HowLost:
	}
	s.again(r)
}

// doneBy notes that a task is done; for a gang one member's end is the end of all.
func (s *State) doneBy(t *task) {
	st := t.step
	if st.spec.Service {
		return
	}
	if st.spec.Gang {
		for _, m := range st.tasks {
			s.doneTask(m)
		}
		return
	}
	s.doneTask(t)
	for _, r := range st.liveRuns.copy() {
		if r.task == t {
			s.stop(r, ReasonEnded)
		}
	}
}

// failed counts a failed run against the bound on attempts.
func (s *State) failed(r *run) {
	t, st := r.task, r.task.step
	if st.spec.Service {
		return
	}
	n := &t.failures
	if st.spec.Gang {
		// The other members' ends of the same attempt count once.
		if r.attempt <= st.failedAttempt {
			return
		}
		st.failedAttempt = r.attempt
		n = &st.failures
	}
	*n++
	if *n >= max(1, st.job.queue.MaxAttempts) && !st.job.final() {
		s.finish(st.job, JobFailed)
	}
}

// again has a task, or a whole gang once all its members ended, wait for a worker
// again.
func (s *State) again(r *run) {
	t, st := r.task, r.task.step
	if st.job.final() || t.done {
		return
	}
	if !st.spec.Gang {
		s.enqueue(st)
		return
	}
	st.broken = true
	if len(st.liveRuns) > 0 {
		for _, m := range st.liveRuns.copy() {
			s.stop(m, ReasonBroken)
		}
		return
	}
	st.broken = false
	s.enqueue(st)
}

// stop has a run stopped; it keeps its room until its end is listed.
func (s *State) stop(r *run, why Reason) {
	if r.stopping {
		return
	}
	r.stopping, r.stopAt = true, s.now
	s.emit(Stop{Task: r.task.id(), Attempt: r.attempt, Worker: r.worker.spec.ID, Reason: why})
}

func (s *State) emit(d Decision) {
	if !s.replaying {
		s.decisions = append(s.decisions, d)
	}
}

// stopAgain is after how long a stop without effect is sent again.
const stopAgain = 800 * time.Millisecond

// repeatStops sends stops again whose runs have not ended.
func (s *State) repeatStops() {
	for _, w := range s.sorted {
		if w.silent {
			continue
		}
		for _, r := range w.runs.copy() {
			if r.stopping && s.now.Sub(r.stopAt) >= stopAgain {
				r.stopAt = s.now
				s.emit(Stop{Task: r.task.id(), Attempt: r.attempt, Worker: w.spec.ID, Reason: ReasonRepeated})
			}
		}
	}
}

// Outcome is a worker's answer to a start.
type Outcome string

// Answers to a start. Only OutcomeUnknown leaves open whether the run begins.
const (
	OutcomeStarted   Outcome = "started"
	OutcomeNoRoom    Outcome = "no room"
	OutcomeNoTicket  Outcome = "no ticket"
	OutcomeLate      Outcome = "late"
	OutcomeOld       Outcome = "old attempt"
	OutcomeFenced    Outcome = "fenced"
	OutcomeUnhealthy Outcome = "unhealthy"
	OutcomeRejected  Outcome = "rejected"
	// OutcomeUnreached: no connection to the worker was made.
	OutcomeUnreached Outcome = "unreached"
	// OutcomeWithdrawn: the start was not sent.
	OutcomeWithdrawn Outcome = "withdrawn"
	OutcomeUnknown   Outcome = "unknown"
)

// Started takes in the answer to a start.
func (s *State) Started(id graph.TaskID, attempt int, workerID string, o Outcome) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	r := s.findRun(w, id, attempt)
	if r == nil {
		return
	}
	switch o {
	case OutcomeStarted:
		if !r.confirmed {
			r.confirmed, r.confirmedAt, r.movedAt = true, s.now, s.now
		}
		if r.task.done || r.task.step.job.final() {
			s.stop(r, ReasonEnded)
		}
		return
	case OutcomeUnknown:
		s.stop(r, ReasonUnknown)
		return
	case OutcomeNoTicket:
		delete(r.task.step.adv.tickets, workerID)
	case OutcomeUnhealthy:
		w.suspectUntil = max(w.suspectUntil, s.now.Add(suspectFor))
	case OutcomeUnreached, OutcomeRejected:
		// The next look tells whether the worker is there; until then the work goes
		// elsewhere.
		w.suspectUntil = max(w.suspectUntil, s.now.Add(unreachedFor))
	case OutcomeNoRoom, OutcomeLate, OutcomeOld, OutcomeFenced, OutcomeWithdrawn:
	}
	s.endRun(r, events.HowLost, "")
}

// Stopped takes in that a worker accepted a stop: the run has ended, ends soon or
// never begins.
func (s *State) Stopped(id graph.TaskID, attempt int, workerID string) {
	w := s.workers[workerID]
	if w == nil {
		return
	}
	if r := s.findRun(w, id, attempt); r != nil && !r.stopped && !r.confirmed {
		r.stopped, r.confirmedAt = true, s.now.Add(s.cfg.StopSlack)
	}
}

const (
	// suspectFor is how long a worker that fails different jobs gets nothing.
	suspectFor = 4 * time.Second
	// unreachedFor is how long a worker that a start did not reach gets nothing.
	unreachedFor = 600 * time.Millisecond
	// suspectAfter is how many failures in a row make a worker suspect; one is
	// within what sound workers show.
	suspectAfter = 2
)

// judge keeps evidence about a worker: failures of different jobs without a
// success between them.
func (s *State) judge(w *worker, r *run, how events.How) {
	if s.replaying {
		return // evidence of the past says nothing of the worker now
	}
	switch how {
	case events.HowDone:
		w.failStreak, w.failJobs = 0, nil
	case events.HowFailed:
		if w.failJobs == nil {
			w.failJobs = make(map[string]struct{})
		}
		if _, again := w.failJobs[r.task.step.job.doc.ID]; again {
			return
		}
		w.failJobs[r.task.step.job.doc.ID] = struct{}{}
		w.failStreak++
		if w.failStreak >= suspectAfter {
			w.suspectUntil = s.now.Add(suspectFor)
		}
	case events.HowStopped, events.HowLost:
	}
}

// newRun charges a run to its worker and team.
func (s *State) newRun(t *task, w *worker, attempt int) *run {
	st := t.step
	r := &run{task: t, attempt: attempt, worker: w, size: st.size, charged: st.spec.Declared(), movedAt: s.now, pace: paceFull}
	r.startBy = s.now.Add(s.cfg.StartWithin)
	t.attempt = attempt
	st.attempt = max(st.attempt, attempt)
	t.run = r
	st.open--
	st.liveRuns.add(r)
	w.runs.add(r)
	w.used = w.used.Add(r.size)
	tm := s.team(st.job.doc.Team)
	tm.used = tm.used.Add(r.charged)
	if !st.job.begun && !s.replaying {
		st.job.begunAt = s.now // a replay does not tell when it was
	}
	st.job.begun = true
	if st.job.state == JobQueued {
		st.job.state = JobRunning
	}
	return r
}

// Knows reports whether a worker is listed or may still run something.
func (s *State) Knows(id string) bool { return s.workers[id] != nil }
