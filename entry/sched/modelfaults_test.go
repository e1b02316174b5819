package sched

import (
	"fmt"
	"slices"
	"time"

	"limpethitch.example/core/clock"
)

// formerOwner is an owner that is cut off from the store and goes on extending leases.
type formerOwner struct {
	*modelOwner
	until clock.Mono
	// reachesAll is whether it reaches the workers that the new owner does not reach.
	reachesAll bool
}

// extendByFormer has the former owner extend the leases of a worker. It learns of another
// incarnation from the answer to an order that was meant for the former one, and extends no more
// leases then, as it cannot store the restart.
func (m *model) extendByFormer(w *modelWorker) {
	f := &m.former
	if f.modelOwner == nil || m.now >= f.until || f.conn(w.id).restarted || w.isDown(m.now) || m.now < w.unreachableUntil && !f.reachesAll || !f.mayExtend(w.id) {
		return
	}
	c := f.conn(w.id)
	if f.tokenFor(w.id) < w.token {
		return
	}
	w.token = f.tokenFor(w.id)
	if c.bootMS == w.bootMS {
		c.leaseExpiry = max(c.leaseExpiry, c.clock(m.now)+modelLease)
	}
	w.extendLease(m.now, c.leaseExpiry)
	c.heard(m.now, w.bootMS, w.clock(m.now))
}

// injectTakeoverOf replaces the owner around a partition of a worker: it lasts, or it ends and begins
// again at the takeover.
func (m *model) injectTakeoverOf(w *modelWorker) {
	ms := func(least, n int) clock.Mono {
		return m.now.Add(time.Duration(least+m.rng.IntN(n)) * time.Millisecond)
	}
	lasts := m.rng.IntN(2) == 0
	w.unreachableUntil = ms(400, 1000)
	takeOverAt := max(ms(300, 4000), w.unreachableUntil)
	if lasts {
		w.unreachableUntil = ms(3000, 12000)
	}
	m.messages = append(m.messages, message{at: takeOverAt, apply: func() {
		m.takeOver()
		if !lasts {
			w.unreachableUntil = m.now.Add(12 * time.Second)
		}
	}})
}

// crash ends the incarnation of a worker. The next one begins after downTime.
func (m *model) crash(w *modelWorker, downTime time.Duration) {
	if w.isDown(m.now) {
		return
	}
	m.sentStarts = slices.DeleteFunc(m.sentStarts, func(o *sentStart) bool { return m.now.Sub(o.sentAt) > modelMaxLate })
	for _, o := range m.sentStarts {
		if o.worker == w.id && w.endedAttempts[o.task] >= o.attempt {
			o.ended = true
		}
	}
	w.formerBootMS = w.bootMS
	w.incarnation = newIncarnation(w.bootMS+100, m.now.Add(downTime), w.clockRate)
	m.after(downTime+m.randomMS(0, 250), func() { m.list(m.owner.state, w) })
}

// restartAndCut crashes a worker, which is back after downTime, and cuts it off from the owner after
// another time, for modelCut.
func (m *model) restartAndCut(w *modelWorker, downTime, upTime time.Duration) {
	m.crash(w, downTime)
	m.after(downTime+upTime, func() { w.unreachableUntil = m.now.Add(modelCut) })
}

// modelRestarts are restarts of workers under their ids.
type modelRestarts struct {
	interval int // steps between two; 0 is none
	workers  int // number of workers that restart together
	// cut is whether they are cut off soon after, while runs last for modelLongRun or longer.
	cut bool
	// takeOver is whether the owner is replaced soon after.
	takeOver bool
}

// restartWorkers restarts the next workers in turn.
func (m *model) restartWorkers() {
	for range m.restarts.workers {
		m.restarted++
		if w := m.workers[m.restarted%len(m.workers)]; m.restarts.cut {
			m.restartAndCut(w, modelDownTime, m.randomMS(500, 1500))
		} else {
			m.crash(w, m.randomMS(0, 600))
		}
	}
	if m.restarts.takeOver {
		m.after(m.randomMS(300, 2000), m.takeOver)
	}
}

// injectFault injects a random fault, a takeover or a cancellation.
func (m *model) injectFault() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	if m.longRuns {
		switch m.rng.IntN(4) {
		case 0, 1:
			m.injectTakeoverOf(w)
			return
		case 2:
			m.restartAndCut(w, m.randomMS(200, 2800), m.randomMS(0, 2500))
			return
		}
	}
	switch m.rng.IntN(4) {
	case 0: // a crash and a restart with the same ID
		downTime := time.Duration(0)
		if m.rng.IntN(2) == 0 {
			downTime = m.randomMS(200, 2800)
		}
		m.crash(w, downTime)
	case 1: // a network partition
		w.unreachableUntil = m.now.Add(time.Duration(500+m.rng.IntN(9000)) * time.Millisecond)
	case 2:
		m.takeOver()
	case 3:
		id := fmt.Sprintf("%016x", 1+m.rng.IntN(max(1, m.jobCount)))
		if _, ok := m.cancels[id]; !ok && m.jobs[id] != nil {
			m.cancels[id] = m.now
			m.owner.state.Cancel(id)
		}
	}
}

// injectFaults injects the faults of a step.
func (m *model) injectFaults(step int) {
	switch {
	case m.faultFree:
	case m.restarts.interval > 0:
		if step%m.restarts.interval == m.restarts.interval-1 {
			m.restartWorkers()
		}
	case m.rng.IntN(150) == 0:
		m.injectFault()
	}
}
