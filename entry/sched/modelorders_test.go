package sched

import (
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
)

// send delivers an order of the owner to a worker after a delay of milliseconds, or sometimes
// seconds. execute has the worker's incarnation of that time execute it, lost is called if the
// order is lost. While the worker is down, orders are lost or wait for its next incarnation.
func (m *model) send(w *modelWorker, execute, lost func()) {
	sent, meantFor := m.now, m.owner.conn(w.id).bootMS
	isLater := func() bool { return meantFor != 0 && meantFor != w.bootMS }
	var arrive func()
	arrive = func() {
		switch {
		case m.now < w.unreachableUntil, isLater() && m.now.Sub(sent) > modelMaxLate:
			lost()
		case w.isDown(m.now) && m.rng.IntN(2) == 0:
			lost()
		case w.isDown(m.now):
			m.after(w.bornAt.Sub(m.now)+m.randomMS(0, 20), arrive)
		default:
			execute()
		}
	}
	if m.faultFree || m.rng.IntN(40) > 0 {
		m.after(m.randomMS(0, 5), arrive)
		return
	}
	late := m.randomMS(2000, 10000)
	m.after(m.randomMS(0, int(modelMaxLate.Milliseconds())), func() {
		if isLater() {
			arrive()
			return
		}
		m.after(sent.Add(late).Sub(m.now), arrive)
	})
}

func (m *model) loseReply() bool { return !m.faultFree && m.rng.IntN(40) == 0 }

// start is the worker's handling of a start order.
func (m *model) start(w *modelWorker, o modelStart) StartOutcome {
	if o.token < w.token {
		return OutcomeFenced
	}
	w.token = o.token
	id, attempt := o.task, o.attempt
	w.extendLease(m.now, o.expiry)
	if r := w.runs[id]; r != nil && r.attempt == attempt {
		return OutcomeStarted
	}
	if attempt <= w.maxBarredAttempt[id] {
		return OutcomeStaleAttempt
	}
	if w.clock(m.now) > o.expiry {
		return OutcomeExpired
	}
	m.checkStart(w, id, attempt)
	spec := &m.jobs[id.Job].Steps[id.Step]
	r := &modelRun{task: id, attempt: attempt, cpu: spec.CPUMilli, outcome: events.RunDone}
	if !m.longRuns && m.rng.IntN(12) == 0 {
		r.outcome = events.RunFailed
	}
	r.endsAt = m.now.Add(time.Duration(200+m.rng.IntN(1500)) * time.Millisecond)
	if m.longRuns {
		r.endsAt = r.endsAt.Add(time.Duration(m.rng.IntN(20)) * time.Second)
	}
	if m.restarts.cut {
		r.endsAt = m.now.Add(modelLongRun + m.randomMS(0, 8000))
	}
	if spec.Gang {
		r.gangSize, r.gangStart = spec.Count, m.now
	}
	w.runs[id] = r
	w.sorted = append(w.sorted, id)
	m.starts++
	return OutcomeStarted
}

// checkStart fails the test if a start violates an invariant.
func (m *model) checkStart(w *modelWorker, id graph.TaskID, attempt int) {
	m.t.Helper()
	spec := &m.jobs[id.Job].Steps[id.Step]
	used := spec.CPUMilli
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > modelWorkerCPU {
		m.failf("worker %s exceeds its capacity with the start of %v", w.id, id)
	}
	if m.runningCPU()+spec.CPUMilli > modelAccountCPU {
		m.failf("the account exceeds its limit with the start of %v", id)
	}
	for _, o := range m.workers {
		if o.runs[id] != nil {
			m.failf("%v attempt %d: the task already runs on %s when it starts on %s", id, attempt, o.id, w.id)
		}
	}
	if m.ackedDone[id] {
		m.failf("%v starts after its end was acknowledged", id)
	}
	if m.ackedFailures[id] >= modelMaxAttempts {
		m.failf("%v starts after %d failed runs", id, m.ackedFailures[id])
	}
	for _, a := range spec.After {
		for k := range m.jobs[id.Job].Steps[a].Count {
			if dep := (graph.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: k}); !m.done[dep] {
				m.failf("%v starts before %v is done", id, dep)
			}
		}
	}
	if at, ok := m.cancels[id.Job]; ok && m.now.Sub(at) > 3*time.Second {
		m.failf("%v starts %v after its job was cancelled", id, m.now.Sub(at))
	}
}

// poll polls a worker. The order may be late or lost, and so may the reply.
func (m *model) poll(w *modelWorker) {
	owner := m.owner
	c := owner.conn(w.id)
	if c.openPoll != 0 {
		return
	}
	if m.now < w.unreachableUntil {
		owner.pollFailed(w.id)
		owner.state.WorkerUnresponsive(w.id)
		return
	}
	order := owner.newPoll(m.now, w.id)
	c.polls++
	n, sent := c.polls, m.now
	c.openPoll = n
	failed := func() {
		if c.openPoll == n {
			owner.pollFailed(w.id)
		}
	}
	m.after(modelPollTimeout, failed)
	m.send(w, func() { m.executePoll(w, owner, order, n, sent) }, failed)
}

// executePoll is the worker's handling of a poll.
func (m *model) executePoll(w *modelWorker, owner *modelOwner, order modelPoll, n int, sent clock.Mono) {
	c := owner.conn(w.id)
	if order.token < w.token {
		if owner == m.owner && c.openPoll == n {
			if order.token == owner.tokenFor(w.id) {
				m.failf("worker %s has a newer token", w.id)
			}
			c.openPoll, c.seenToken = 0, order.token+1
		}
		return
	}
	w.token = order.token
	m.forgetEnds(w, order.ack)
	w.extendLease(m.now, order.expiry)
	rep := Report{Worker: w.id, BootUnixMS: w.bootMS, Token: order.token, PolledAt: sent}
	for _, id := range w.sorted {
		r := w.runs[id]
		rep.Running = append(rep.Running, RunStatus{Task: r.task, Attempt: r.attempt, Percent: int(m.now/clock.Mono(modelTick)) % 100})
	}
	rep.Ended = append(rep.Ended, w.ended[:min(len(w.ended), modelListedEnds)]...)
	rep.MoreEnds = len(w.ended) >= modelListedEnds
	if m.loseReply() {
		return
	}
	workerClock := w.clock(m.now)
	m.after(m.randomMS(0, 60), func() {
		if c.openPoll != n || owner != m.owner {
			return
		}
		c.openPoll = 0
		c.heard(m.now, rep.BootUnixMS, workerClock)
		c.seenToken = max(c.seenToken, rep.Token)
		m.observe(owner, c, rep)
	})
}

// observe passes a report to the owner and stores its events.
func (m *model) observe(owner *modelOwner, c *modelConn, rep Report) {
	owner.state.SetNow(m.now, m.wall())
	seq := owner.state.Observe(rep)
	if !m.writing {
		c.acked = seq
		m.store(owner.state.TakeEvents())
	}
}

// forgetEnds removes the ends of a worker that a poll acknowledges.
func (m *model) forgetEnds(w *modelWorker, ack int64) {
	keep := w.ended[:0:0]
	for _, e := range w.ended {
		if e.Seq > ack {
			keep = append(keep, e)
			continue
		}
		switch e.Outcome {
		case events.RunDone:
			m.ackedDone[e.Task] = true
		case events.RunFailed:
			m.ackedFailures[e.Task]++
		case events.RunStopped, events.RunLost:
		}
	}
	w.ended = keep
}

// sendStart has a worker start a run. Some orders are sent twice, because the owner repeats those
// whose answer is late; it gets the second answer then.
func (m *model) sendStart(decidedAt clock.Mono, d Start) {
	w, state := m.worker(d.Worker), m.owner.state
	order, ok := m.owner.newStart(m.now, decidedAt, d)
	if !ok {
		state.StartAnswered(d.Task, d.Attempt, d.Worker, OutcomeNotSent)
		return
	}
	c := m.owner.conn(w.id)
	leastClock := c.workerClock + time.Duration(float64(m.now.Sub(c.clockAt))*(1-modelClockDrift))
	meantFor, sent := c.bootMS, &sentStart{modelStart: order, worker: w.id, sentAt: m.now}
	m.sentStarts = append(m.sentStarts, sent)
	execute := func() StartOutcome {
		if sent.ended && w.bootMS != meantFor {
			return OutcomeUnknown
		}
		return m.start(w, order)
	}
	repeated := !m.faultFree && m.rng.IntN(40) == 0
	if repeated {
		m.send(w, func() { execute() }, func() {})
	}
	m.send(w, func() {
		o := execute()
		// The owner waits for an answer until modelStartTimeout. Only an order that was delayed for longer
		// can be overtaken by one with a higher token that was decided later.
		isLate := (w.bootMS != meantFor || o == OutcomeFenced) && m.now.Sub(sent.sentAt) > modelStartTimeout
		switch {
		case m.loseReply(), isLate, repeated && o != OutcomeStarted:
			o = OutcomeUnknown
		case repeated:
			o = OutcomeStartedOnRetry
		case o == OutcomeStarted && w.clock(m.now) < leastClock:
			o = OutcomeStartedByLater
		}
		state.SetNow(m.now, m.wall())
		state.StartAnswered(d.Task, d.Attempt, d.Worker, o)
	}, func() { state.StartAnswered(d.Task, d.Attempt, d.Worker, OutcomeUnknown) })
}

// sendStop has a worker stop a run.
func (m *model) sendStop(d Stop) {
	w, state, token := m.worker(d.Worker), m.owner.state, m.owner.tokenFor(d.Worker)
	m.send(w, func() {
		if token < w.token {
			return
		}
		w.token = token
		w.maxBarredAttempt[d.Task] = max(w.maxBarredAttempt[d.Task], d.Attempt)
		if r := w.runs[d.Task]; r != nil && r.attempt <= d.Attempt {
			r.stopsAt = m.now.Add(300 * time.Millisecond)
		}
		if !m.loseReply() {
			state.SetNow(m.now, m.wall())
			state.StopAccepted(d.Task, d.Attempt, d.Worker)
		}
	}, func() {})
}
