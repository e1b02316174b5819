package engine

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/upkeep"
)

// WavePrefix is the key prefix of the records of maintenance waves.
const WavePrefix = "upkeep/"

// MaintainOutcome is the platform's reply to a MaintainOrder.
type MaintainOutcome string

// Outcomes of a MaintainOrder. The order is sent again after an error and after any
// outcome except MaintainAccepted and MaintainNotInWave.
const (
	MaintainAccepted MaintainOutcome = "accepted"
	// MaintainNotInWave means that, for the platform, the VM is not part of the wave.
	MaintainNotInWave MaintainOutcome = "not in the wave"
	MaintainRetry     MaintainOutcome = "to be sent again"
)

// MaintainOrder has the platform take a VM down for a wave.
type MaintainOrder struct {
	VM   string
	Wave int64
	// Holder is the name of the owner and Token the fencing token of its term.
	Holder string
	Token  int64
}

// Fleet lists the VMs of the workers and takes them down for maintenance. WaveStatus
// returns the key and value that report the progress of a wave to the operators.
type Fleet interface {
	VMs(ctx context.Context) ([]upkeep.VM, error)
	Maintain(ctx context.Context, o MaintainOrder) (MaintainOutcome, error)
	WaveStatus(wave int64, complete bool) (key string, value []byte)
}

const (
	// vmListInterval is the time between two reads of the VM list while a wave is open.
	vmListInterval = 700 * time.Millisecond
	// maxStoredWaves bounds the waves that one transaction stores: the platform accepts 32
	// entries, three for each wave and one for the condition on the term.
	maxStoredWaves = 10
	// fleetTimeout bounds a call to the platform and the store for maintenance.
	fleetTimeout = 2 * time.Second
)

// maintenance is the state of the maintenance waves in a term.
type maintenance struct {
	plan *upkeep.Plan
	// unrestored are the records of former owners whose waves are not in the plan yet,
	// by the wave's number.
	unrestored map[int64]upkeep.Record
	// notBefore is the time from which no order of a former owner can arrive between
	// the orders of this one.
	notBefore clock.Mono
	// listing is set while a read of the VM list is in flight; listRequestedAt is when
	// the last read was sent. storing is set while records are being written.
	listing         bool
	listRequestedAt clock.Mono
	storing         bool
	// recordRevisions are the revisions of the stored records, by key. A write depends on that of
	// the one before: one without an answer may be executed late, and must not undo a later one.
	recordRevisions map[string]int64
}

// SetWaves sets the maintenance waves that the operators request.
func (e *Engine) SetWaves(waves map[int64]upkeep.Wave) {
	e.post(func() {
		e.requestedWaves = waves
		if e.term != nil && e.term.ready {
			e.syncWaves(e.term)
		}
	})
}

// initMaintenance sets up the plan of a new term from the records of former owners.
func (e *Engine) initMaintenance(t *term, stored []store.KV) {
	m := &t.maintenance
	m.plan = upkeep.NewPlan(upkeep.Config{Downtime: e.cfg.MaintenanceDuration, MaxStopTime: e.cfg.MaxStopTime})
	m.notBefore = e.clk.Now().Add(e.cfg.HolderLease + lead.AuthorityDuration + fleetTimeout)
	m.unrestored = make(map[int64]upkeep.Record, len(stored))
	m.recordRevisions = make(map[string]int64, len(stored))
	for _, kv := range stored {
		m.recordRevisions[kv.Key()] = kv.ModRevision()
		r, err := upkeep.DecodeRecord(kv.Value())
		if err != nil {
			e.log.Error("failed to decode stored wave", append(logs.Err(err), zap.String("key", kv.Key()))...)
			continue
		}
		m.unrestored[r.Number] = r
	}
	e.syncWaves(t)
}

// syncWaves adds the requested waves to the plan and removes the others.
func (e *Engine) syncWaves(t *term) {
	m := &t.maintenance
	now, wall := e.clk.Now(), e.clk.Wall().UnixMilli()
	for number, w := range e.requestedWaves {
		m.plan.AddWave(w, wall+w.Deadline().Sub(now).Milliseconds(), now)
		if r, ok := m.unrestored[number]; ok {
			m.plan.Restore(r, now.Add(time.Duration(r.DeadlineUnixMS-wall)*time.Millisecond), max(now, m.notBefore))
			delete(m.unrestored, number)
		}
	}
	m.plan.RetainWaves(func(number int64) bool { _, ok := e.requestedWaves[number]; return ok })
	t.applyDrainDeadlines()
}

// applyDrainDeadlines has the scheduler drain the workers that the plan drains.
func (t *term) applyDrainDeadlines() {
	t.drainDeadlines = t.maintenance.plan.DrainDeadlines()
	t.state.SetDrainDeadlines(t.drainDeadlines)
}

// runMaintenance advances the open waves.
func (e *Engine) runMaintenance(t *term) {
	m := &t.maintenance
	if e.cfg.Fleet == nil || !m.plan.HasOpenWaves() {
		if len(t.drainDeadlines) > 0 {
			t.drainDeadlines = nil
			t.state.SetDrainDeadlines(nil)
		}
		return
	}
	e.refreshVMs(t)
	// Also before notBefore: a former owner's order may still end what runs on a worker
	// whose VM it started.
	t.applyDrainDeadlines()
	now := e.clk.Now()
	if m.storing || now < m.notBefore {
		return
	}
	if _, ok := e.cfg.Elector.Authority(); !ok {
		return
	}
	steps := m.plan.Next(now, t.state.RunCount)
	t.applyDrainDeadlines()
	e.executeSteps(t, steps)
}

// refreshVMs reads the platform's list of VMs if the last read is older than vmListInterval, or than
// an open wave.
func (e *Engine) refreshVMs(t *term) {
	m := &t.maintenance
	requestedAt := e.clk.Now()
	isRecent := m.listRequestedAt != 0 && requestedAt.Sub(m.listRequestedAt) < vmListInterval
	if m.listing || isRecent && !m.plan.HasWaveSince(m.listRequestedAt) {
		return
	}
	m.listing, m.listRequestedAt = true, requestedAt
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, fleetTimeout)
		defer cancel()
		list, err := e.cfg.Fleet.VMs(ctx)
		e.post(func() {
			m.listing = false
			if err != nil {
				e.log.Warn("failed to list the VMs of workers", logs.Err(err)...)
				return
			}
			m.plan.SetVMs(list, requestedAt)
		})
	}()
}

// deferWaves returns the steps without those of the waves whose records do not fit into one
// transaction. The plan returns these again.
func (m *maintenance) deferWaves(steps []upkeep.Step) []upkeep.Step {
	stored, deferred := 0, make(map[int64]bool)
	for _, s := range steps {
		r, ok := s.(upkeep.StoreRecord)
		if !ok {
			continue
		}
		if stored++; stored > maxStoredWaves {
			deferred[r.Record.Number] = true
			m.plan.MarkUnstored(r.Record.Number)
		}
	}
	return slices.DeleteFunc(steps, func(s upkeep.Step) bool {
		switch s := s.(type) {
		case upkeep.StoreRecord:
			return deferred[s.Record.Number]
		case upkeep.TakeDown:
			return deferred[s.Wave]
		default:
			return false
		}
	})
}

// executeSteps stores the records of the waves and then sends the orders, so that a
// new owner knows of every VM that may have been ordered down.
func (e *Engine) executeSteps(t *term, steps []upkeep.Step) {
	steps = t.maintenance.deferWaves(steps)
	txn := store.NewTxn().If(lead.TermKey, t.Token())
	var records []upkeep.Record
	var orders []upkeep.TakeDown
	for _, s := range steps {
		switch s := s.(type) {
		case upkeep.StoreRecord:
			raw, err := s.Record.Encode()
			if err != nil {
				e.log.Error("failed to encode wave", logs.Err(err)...)
				return
			}
			records = append(records, s.Record)
			recordKey := s.Record.Key(WavePrefix)
			key, value := e.cfg.Fleet.WaveStatus(s.Record.Number, s.Record.Complete)
			txn.If(recordKey, t.maintenance.recordRevisions[recordKey]).Put(recordKey, raw).Put(key, value)
		case upkeep.TakeDown:
			orders = append(orders, s)
		}
	}
	if len(records) == 0 {
		e.sendMaintainOrders(t, orders)
		return
	}
	t.maintenance.storing = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, fleetTimeout)
		defer cancel()
		res, err := e.cfg.Store.Commit(ctx, txn)
		var revisions map[string]int64
		if err == nil {
			revisions, err = e.recordRevisions(ctx, records, res)
		}
		e.post(func() {
			t.maintenance.storing = false
			if e.term != t {
				return
			}
			maps.Copy(t.maintenance.recordRevisions, revisions)
			stored := err == nil && res.Succeeded()
			for _, r := range records {
				e.log.Info("maintenance wave", zap.Int64("wave", r.Number), zap.Int("begun", len(r.Started)), zap.Int("done", len(r.Done)),
					zap.Bool("complete", r.Complete), zap.Bool("stored", stored))
				if !stored {
					t.maintenance.plan.MarkUnstored(r.Number)
				}
			}
			if stored {
				e.sendMaintainOrders(t, orders)
			}
		})
	}()
}

// recordRevisions returns the revisions of the waves' records after a write that was answered. If a
// condition of the write did not hold, an earlier one may have been executed late, and they are read.
func (e *Engine) recordRevisions(ctx context.Context, records []upkeep.Record, res store.Result) (map[string]int64, error) {
	revisions := make(map[string]int64, len(records))
	for _, r := range records {
		key := r.Key(WavePrefix)
		if res.Succeeded() {
			revisions[key] = res.Revision()
			continue
		}
		kv, err := e.cfg.Store.Get(ctx, key)
		switch {
		case err == nil:
			revisions[key] = kv.ModRevision()
		case rcode.Of(err) == rcode.NotFound:
			revisions[key] = 0
		default:
			return nil, rcode.Wrap(err, rcode.Of(err), "engine.recordRevisions")
		}
	}
	return revisions, nil
}

// sendMaintainOrders sends the orders. The plan repeats an order that is not accepted, or was not sent
// because it would end more tasks of a service than may be unavailable.
func (e *Engine) sendMaintainOrders(t *term, orders []upkeep.TakeDown) {
	for _, takeDown := range orders {
		if !t.state.MayEndRuns(takeDown.Worker) {
			e.log.Info("maintenance order waits for tasks of a service", zap.String("vm", takeDown.VM), zap.Int64("wave", takeDown.Wave),
				zap.String("worker", takeDown.Worker))
			continue
		}
		order := MaintainOrder{VM: takeDown.VM, Wave: takeDown.Wave, Holder: e.cfg.Self.Name, Token: t.Token()}
		go func() {
			if _, ok := e.cfg.Elector.Authority(); !ok {
				return
			}
			ctx, cancel := context.WithTimeout(t.ctx, fleetTimeout)
			defer cancel()
			outcome, err := e.cfg.Fleet.Maintain(ctx, order)
			e.post(func() {
				if e.term != t {
					return
				}
				e.log.Info("maintenance order sent", append(logs.Err(err), zap.String("vm", order.VM), zap.Int64("wave", order.Wave),
					zap.String("worker", takeDown.Worker), zap.String("outcome", string(outcome)))...)
				switch outcome {
				case MaintainAccepted:
					t.maintenance.plan.MarkAccepted(order.Wave, order.VM, e.clk.Now())
				case MaintainNotInWave:
					t.maintenance.plan.MarkSkipped(order.Wave, order.VM)
				case MaintainRetry:
				}
			})
		}()
	}
}
