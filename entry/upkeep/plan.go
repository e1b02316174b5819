package upkeep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpethitch.example/core/clock"
)

const (
	// maxDrainTime bounds how long a worker drains. A longer drain loses more capacity
	// than the work that it saves is worth.
	maxDrainTime = 12 * time.Second
	// slotMargin is the part of a VM's time slot in the wave that is reserved for the
	// delay of the order and the age of the list. A slot also contains the drain and the
	// downtime.
	slotMargin = time.Second
	// orderRetryDelay is the pause before an order that was not accepted is sent again.
	orderRetryDelay = time.Second
	// maxOrderDelay is how long after it was sent an order without an answer may still be executed.
	maxOrderDelay = 15 * time.Second
)

// Config holds the settings of a Plan.
type Config struct {
	// Downtime is how long a VM is down for its maintenance.
	Downtime time.Duration
	// MaxStopTime is how long a worker may take to stop a run.
	MaxStopTime time.Duration
}

// RunCounter returns the number of runs on a worker and whether the worker is known.
type RunCounter func(worker string) (runs int, known bool)

// vmProgress is the progress of a VM in a wave.
type vmProgress struct {
	// started is set before the first order, done when the maintenance is over.
	started, done bool
	// drainDeadline is when the worker's remaining runs are stopped; 0 means that the
	// worker does not drain yet.
	drainDeadline clock.Mono
	// orderDeadline is when the first order of this term is sent although the worker is
	// not known to be empty. It is set only for a VM that a former owner started: its
	// maintenance may be over, and then runs that cannot be stopped must not delay the
	// wave.
	orderDeadline clock.Mono
	// worker is the worker on the VM at the last order, of this owner or a former one.
	worker string
	// acceptedAt is when the platform accepted the order; orderedAt is when the order
	// was last sent.
	acceptedAt, orderedAt clock.Mono
	// skipped is set if, for the platform, the VM is not part of the wave.
	skipped bool
}

// wave is a Wave with its progress.
type wave struct {
	Wave
	deadlineUnixMS int64
	// addedAt is when this owner learned of the wave. Only a list of VMs that was requested later
	// shows which of the wave's VMs there are.
	addedAt  clock.Mono
	vms      map[string]*vmProgress
	stored   bool // a record is stored, or Next has returned one to store
	complete bool // no VM of the wave is left to maintain
}

// Plan holds the requested waves and decides which VM goes down next.
type Plan struct {
	cfg   Config
	waves map[int64]*wave
	vms   map[string]VM
	// listRequestedAt is when the current list of VMs was requested; 0 means that there
	// is none yet.
	listRequestedAt clock.Mono
}

// NewPlan returns a plan without waves.
func NewPlan(cfg Config) *Plan {
	return &Plan{cfg: cfg, waves: make(map[int64]*wave), vms: make(map[string]VM)}
}

// AddWave adds a wave, which is known at now, unless it is in the plan already. deadlineUnixMS is
// the wave's deadline in wall time, for the record.
func (p *Plan) AddWave(w Wave, deadlineUnixMS int64, now clock.Mono) {
	if p.waves[w.number] != nil {
		return
	}
	nw := &wave{Wave: w, deadlineUnixMS: deadlineUnixMS, addedAt: now, vms: make(map[string]*vmProgress, len(w.vms))}
	for _, name := range w.vms {
		nw.vms[name] = &vmProgress{}
	}
	p.waves[w.number] = nw
}

// Restore applies a stored record to its wave, which must have been added before.
// deadline is the record's deadline on this VM's clock; no order is sent before
// ordersFrom. The workers of started VMs drain from now on, because the former owner's
// order may not have been executed yet, or never will be.
func (p *Plan) Restore(r Record, deadline, ordersFrom clock.Mono) {
	w := p.waves[r.Number]
	if w == nil {
		return
	}
	w.deadline, w.deadlineUnixMS, w.stored, w.complete = deadline, r.DeadlineUnixMS, true, r.Complete
	remaining := len(w.vms)
	for _, name := range r.Done {
		if v := w.vms[name]; v != nil && !v.done {
			v.started, v.done = true, true
			remaining--
		}
	}
	for _, name := range r.Started {
		if v := w.vms[name]; v != nil && !v.done {
			v.started, v.worker = true, r.Workers[name]
			v.drainDeadline = ordersFrom.Add(p.drainTime(w, remaining, ordersFrom))
			v.orderDeadline = v.drainDeadline.Add(p.cfg.MaxStopTime + slotMargin)
		}
	}
}

// RetainWaves removes the waves that the operators no longer request.
func (p *Plan) RetainWaves(requested func(number int64) bool) {
	maps.DeleteFunc(p.waves, func(number int64, _ *wave) bool { return !requested(number) })
}

// HasOpenWaves reports whether any wave is not complete.
func (p *Plan) HasOpenWaves() bool {
	for _, w := range p.waves {
		if !w.complete {
			return true
		}
	}
	return false
}

// HasWaveSince reports whether an open wave was added at a time or later, so that a list of VMs that
// was requested then does not count for it.
func (p *Plan) HasWaveSince(at clock.Mono) bool {
	for _, w := range p.waves {
		if !w.complete && w.addedAt >= at {
			return true
		}
	}
	return false
}

// SetVMs sets the platform's complete list of VMs, which was requested at requestedAt.
func (p *Plan) SetVMs(list []VM, requestedAt clock.Mono) {
	p.vms, p.listRequestedAt = make(map[string]VM, len(list)), requestedAt
	for _, vm := range list {
		p.vms[vm.name] = vm
	}
}

// MarkAccepted records that the platform accepted the order for a VM at now.
func (p *Plan) MarkAccepted(number int64, vm string, now clock.Mono) {
	if v := p.progress(number, vm); v != nil {
		v.acceptedAt = now
	}
}

// MarkUnstored records that a wave's record was not stored. Next returns it again
// before the next order.
func (p *Plan) MarkUnstored(number int64) {
	if w := p.waves[number]; w != nil {
		w.stored, w.complete = false, false
	}
}

// MarkSkipped records that, for the platform, a VM is not part of the wave.
func (p *Plan) MarkSkipped(number int64, vm string) {
	if v := p.progress(number, vm); v != nil {
		v.skipped = true
	}
}

// progress returns the progress of a VM in a wave, or nil if the plan does not contain
// the wave or the wave does not contain the VM.
func (p *Plan) progress(number int64, vm string) *vmProgress {
	w := p.waves[number]
	if w == nil {
		return nil
	}
	return w.vms[vm]
}

// DrainDeadlines returns the workers that drain for maintenance and get no new runs,
// each with the time at which its remaining runs are to be stopped.
func (p *Plan) DrainDeadlines() map[string]clock.Mono {
	var out map[string]clock.Mono
	for _, w := range p.waves {
		for name, v := range w.vms {
			if w.complete || v.done || v.skipped || v.drainDeadline == 0 || v.acceptedAt != 0 {
				continue
			}
			if worker := p.workerOf(name, v); worker != "" {
				if out == nil {
					out = make(map[string]clock.Mono)
				}
				out[worker] = v.drainDeadline
			}
		}
	}
	return out
}

// workerOf returns the worker on a VM, or "" if there is none. Before the first list it
// is the one that the record names, so that a worker drains also while the platform does
// not answer.
func (p *Plan) workerOf(name string, v *vmProgress) string {
	if p.listRequestedAt == 0 {
		return v.worker
	}
	return p.vms[name].worker
}

// Next returns the steps to execute now, in order. It returns none for a wave before SetVMs has
// set a list that was requested after the wave was added.
func (p *Plan) Next(now clock.Mono, runs RunCounter) []Step {
	var out []Step
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; !w.complete && w.addedAt < p.listRequestedAt {
			out = append(out, p.nextForWave(w, now, runs)...)
		}
	}
	return out
}

// mayGiveUpSlot reports whether a VM that is down without maintenance takes no part in the wave until
// it is up again, so that others go before it: it only drained, or no order for it can be executed
// any more.
func (v *vmProgress) mayGiveUpSlot(now clock.Mono) bool {
	switch {
	case v.done, v.skipped, v.acceptedAt != 0:
		return false
	case !v.started:
		return v.drainDeadline != 0
	case v.orderedAt == 0: // a former owner's order
		return now >= max(v.orderDeadline, v.drainDeadline.Add(maxOrderDelay))
	default:
		return now.Sub(v.orderedAt) >= maxOrderDelay
	}
}

// isOver reports whether a VM's maintenance is over: a list that was requested after the order's
// acceptance shows the VM up again or down, or no longer contains it.
func (v *vmProgress) isOver(vm VM, listed bool, listRequestedAt clock.Mono) bool {
	if !v.started || v.acceptedAt == 0 || v.acceptedAt >= listRequestedAt {
		return false
	}
	return !listed || vm.state == StateUp || vm.state == StateDown
}

// nextForWave advances a wave.
func (p *Plan) nextForWave(w *wave, now clock.Mono, runs RunCounter) []Step {
	changed := !w.stored
	waiting, inProgress := 0, 0
	for name, v := range w.vms {
		vm, listed := p.vms[name]
		if !v.done && v.isOver(vm, listed, p.listRequestedAt) {
			v.done, changed = true, true
		}
		if listed && vm.state == StateDown && v.mayGiveUpSlot(now) {
			changed = changed || v.started
			*v = vmProgress{}
		}
		switch {
		case v.done, v.skipped, !listed:
		case v.started, v.drainDeadline != 0:
			inProgress++
		default:
			waiting++
		}
	}
	p.startDrains(w, now, waiting, w.maxDown-inProgress, runs)
	var takeDowns []Step
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		v, vm := w.vms[name], p.vms[name]
		if !v.orderDue(vm, now, runs) {
			continue
		}
		changed = changed || !v.started
		v.started, v.orderedAt, v.worker = true, now, vm.worker
		takeDowns = append(takeDowns, TakeDown{Wave: w.number, VM: name, Worker: vm.worker})
	}
	if waiting+inProgress == 0 {
		w.complete, changed = true, true
	}
	if changed {
		w.stored = true
		return append([]Step{StoreRecord{w.record()}}, takeDowns...)
	}
	return takeDowns
}

// orderDue reports whether to send the VM's order now, for the first time or again. A
// former owner's order counts neither as executed nor as lost: the first order of this
// term also waits for an empty worker, unless the VM is down already or its order
// deadline has passed.
func (v *vmProgress) orderDue(vm VM, now clock.Mono, runs RunCounter) bool {
	switch {
	case v.done, v.skipped, v.acceptedAt != 0, vm.name == "", vm.state == StateDown:
		return false
	case v.orderedAt != 0:
		return now.Sub(v.orderedAt) >= orderRetryDelay
	case v.started && (vm.state != StateUp || now >= v.orderDeadline):
		return true
	case v.drainDeadline == 0, vm.state != StateUp:
		return false
	}
	n, known := runs(vm.worker)
	return known && n == 0
}

// drainTime returns how long a worker may drain from now on. The time left until the
// wave's deadline is divided into equal slots, in each of which maxDown of the remaining
// VMs are maintained.
func (p *Plan) drainTime(w *wave, remaining int, now clock.Mono) time.Duration {
	rounds := (remaining + w.maxDown - 1) / w.maxDown
	slotTime := w.deadline.Sub(now) / time.Duration(rounds)
	return min(maxDrainTime, max(0, slotTime-p.cfg.Downtime-slotMargin))
}

// startDrains starts the drain of up to maxStarts workers, those with the fewest runs
// first.
func (p *Plan) startDrains(w *wave, now clock.Mono, waiting, maxStarts int, runs RunCounter) {
	if maxStarts <= 0 || waiting == 0 {
		return
	}
	drainTime := p.drainTime(w, waiting, now)
	type candidate struct {
		v    *vmProgress
		name string
		runs int
	}
	var list []candidate
	for name, v := range w.vms {
		vm := p.vms[name]
		if v.done || v.skipped || v.started || v.drainDeadline != 0 || vm.state != StateUp {
			continue
		}
		if n, known := runs(vm.worker); known {
			list = append(list, candidate{v: v, name: name, runs: n})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.runs, b.runs), cmp.Compare(a.name, b.name)) })
	for _, c := range list[:min(maxStarts, len(list))] {
		c.v.drainDeadline = now.Add(drainTime)
	}
}

// record returns the progress of the wave as it is to be stored.
func (w *wave) record() Record {
	r := Record{Number: w.number, DeadlineUnixMS: w.deadlineUnixMS, Complete: w.complete}
	for _, name := range slices.Sorted(maps.Keys(w.vms)) {
		switch v := w.vms[name]; {
		case v.done:
			r.Done = append(r.Done, name)
		case v.started:
			r.addStarted(name, v.worker)
		}
	}
	return r
}
