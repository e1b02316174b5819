package quota

import (
	"sync"

	"limpethitch.example/core/amount"
)

// Ledger accounts for the usage of teams on one shard against their allotments. It is
// safe for concurrent use; its mutex is rarely contended.
type Ledger struct {
	mu    sync.Mutex
	teams map[string]*account
}

// account is the allotment and the usage of one team.
type account struct {
	allotment         amount.Vec
	running, reserved amount.Vec
	// blocked is set while the team may be over its limit on all shards together.
	blocked bool
	// peak and lastPeak are the highest usage in the current and the last period.
	peak, lastPeak amount.Vec
}

func (a *account) used() amount.Vec { return a.running.Add(a.reserved) }

func (a *account) updatePeak() { a.peak = a.peak.Max(a.used()) }

// NewLedger returns a ledger without allotments.
func NewLedger() *Ledger { return &Ledger{teams: map[string]*account{}} }

// update calls fn with a team's account, which it creates if needed.
func (l *Ledger) update(team string, fn func(*account)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.teams[team]
	if a == nil {
		a = &account{}
		l.teams[team] = a
	}
	fn(a)
}

// read returns the result of fn for a team's account, or zero if there is none.
func (l *Ledger) read(team string, fn func(*account) amount.Vec) amount.Vec {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.teams[team]; a != nil {
		return fn(a)
	}
	return amount.Vec{}
}

// Reserve reserves v for a start. It returns false if v does not fit the allotment.
func (l *Ledger) Reserve(team string, v amount.Vec) (ok bool) {
	l.update(team, func(a *account) {
		if a.blocked || v.HasNegative() || !a.used().Add(v).Fits(a.allotment) {
			return
		}
		a.reserved = a.reserved.Add(v)
		a.updatePeak()
		ok = true
	})
	return ok
}

// Release releases a reservation that was not started.
func (l *Ledger) Release(team string, v amount.Vec) {
	l.update(team, func(a *account) { a.reserved = a.reserved.Sub(v).ClampToZero() })
}

// Start turns a reservation into running work.
func (l *Ledger) Start(team string, v amount.Vec) {
	l.update(team, func(a *account) {
		a.reserved = a.reserved.Sub(v).ClampToZero()
		a.running = a.running.Add(v)
		a.updatePeak()
	})
}

// Stop subtracts work that has certainly stopped running.
func (l *Ledger) Stop(team string, v amount.Vec) {
	l.update(team, func(a *account) { a.running = a.running.Sub(v).ClampToZero() })
}

// Adopt adds work found running at recovery, even if it exceeds the allotment.
func (l *Ledger) Adopt(team string, v amount.Vec) {
	l.update(team, func(a *account) {
		a.running = a.running.Add(v)
		a.updatePeak()
	})
}

// SetAllotment sets a team's allotment, and whether its starts are blocked.
func (l *Ledger) SetAllotment(team string, allotment amount.Vec, blocked bool) {
	l.update(team, func(a *account) { a.allotment, a.blocked = allotment, blocked })
}

// Lower reduces the allotment by up to v, but not below the highest usage in the
// current and the last period. It returns by how much.
func (l *Ledger) Lower(team string, v amount.Vec) (lowered amount.Vec) {
	l.update(team, func(a *account) {
		lowered = v.ClampToZero().Min(a.idle())
		a.allotment = a.allotment.Sub(lowered)
	})
	return lowered
}

// Allotment returns a team's allotment on this shard.
func (l *Ledger) Allotment(team string) amount.Vec {
	return l.read(team, func(a *account) amount.Vec { return a.allotment })
}

// Running returns the amount that a team is running.
func (l *Ledger) Running(team string) amount.Vec {
	return l.read(team, func(a *account) amount.Vec { return a.running })
}

// Used returns the amount that a team is running or has reserved.
func (l *Ledger) Used(team string) amount.Vec { return l.read(team, (*account).used) }

// Excess returns by how much the usage exceeds the allotment. After a limit was
// lowered, that much work must be stopped.
func (l *Ledger) Excess(team string) amount.Vec {
	return l.read(team, func(a *account) amount.Vec { return a.used().Sub(a.allotment).ClampToZero() })
}

// Idle returns the part of the allotment that was not used in the current and the last
// period.
func (l *Ledger) Idle(team string) amount.Vec { return l.read(team, (*account).idle) }

func (a *account) idle() amount.Vec {
	return a.allotment.Sub(a.used().Max(a.peak).Max(a.lastPeak)).ClampToZero()
}

// Rotate starts a new period for Idle and Lower.
func (l *Ledger) Rotate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.teams {
		a.lastPeak, a.peak = a.peak, a.used()
	}
}

// Allotments returns the allotment of every team.
func (l *Ledger) Allotments() map[string]amount.Vec {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]amount.Vec, len(l.teams))
	for name, a := range l.teams {
		out[name] = a.allotment
	}
	return out
}
