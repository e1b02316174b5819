// Package usage computes what client accounts have used of the fleet over hours, and ranks
// the accounts by it. It does no input or output.
//
// # Usage
//
//	t := usage.New(usage.Config{HalfLife: 2 * time.Hour})
//	t.Add("a", held, 300*time.Millisecond) // for each span in which the account's use is constant
//	t.Expect("b")                          // it has work that waits
//	t.Refresh(now, capacity, weight)       // once a second
//	level := t.Level("a")
//
// An account's use is the mean dominant share of the fleet that it held, in which a moment
// counts half as much for each half-life that has passed since. The dominant share is the
// largest of the shares of processors, memory and accelerators. Times are those of the
// monotonic clock.
//
// # State
//
// Encode returns the use of all accounts as a record, which outlives the process. The next
// one reads it with Decode and adds it with Restore.
package usage

import (
	"cmp"
	"math"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// MaxLevel is the level of the accounts with the highest past use.
const MaxLevel = 4

const (
	// MinHalfLife and MaxHalfLife bound Config.HalfLife. A record is written every 15 s, and
	// much of a shorter half-life would be lost with the owner.
	MinHalfLife = 10 * time.Second
	MaxHalfLife = 168 * time.Hour
	// levelsPerDoubling is the number of levels by which an account rises when its use doubles.
	levelsPerDoubling = 2
	// maxDebt is the use, as a multiple of the account's part of the fleet, beyond which
	// nothing more is recorded. It bounds the time until an account's debt has decayed.
	maxDebt = 4
	// minTotal is the least total use, as a share of the fleet, that the accounts' parts are
	// compared with. Below it, small amounts would count as debt in an idle fleet.
	minTotal = 0.05
	// negligible is the use below which an account without waiting work is forgotten. A second
	// of a thousandth of the fleet counts for more at the longest half-life.
	negligible = 1e-9
	// maxUnweighted is the number of accounts without a weight that are kept. They may have
	// been removed from the configuration for a while only.
	maxUnweighted = 1000
	// maxWeight bounds a weight, so that the sum of all weights stays finite.
	maxWeight = 1e100
)

// Config holds the settings of a Tracker.
type Config struct {
	// HalfLife is the time after which past use counts half.
	HalfLife time.Duration
}

// Check returns an error with the code rcode.SettingInvalid if the settings are invalid.
func (c Config) Check() error {
	if c.HalfLife < MinHalfLife || c.HalfLife > MaxHalfLife {
		return rcode.New(rcode.SettingInvalid, "usage.Config: half-life %v is not between %v and %v", c.HalfLife, MinHalfLife, MaxHalfLife)
	}
	return nil
}

// Account is the past use of a client account.
type Account struct {
	// Name is the account's name.
	Name string
	// Share is the mean share of the fleet that it held, from 0 to 1.
	Share float64
	// Weight is its weight in jobs per second; 0 is none.
	Weight float64
	// Ratio is its part of all use, divided by its part of all weights.
	Ratio float64
	// Level is its place in the order, 0 first and MaxLevel last.
	Level int
}

// account is an Account with what it used since the last refresh.
type account struct {
	Account
	// cpu, memory and accelerators are sums of use times seconds.
	cpu, memory, accelerators float64
	expected                  bool
}

// Tracker holds the past use of all accounts. It is not safe for concurrent use.
type Tracker struct {
	halfLife  time.Duration
	accounts  map[string]*account
	startedAt clock.Mono // the first refresh
	updatedAt clock.Mono // the last refresh
}

// New returns a Tracker without any use.
func New(cfg Config) *Tracker {
	return &Tracker{halfLife: cfg.HalfLife, accounts: make(map[string]*account)}
}

func (t *Tracker) account(name string) *account {
	a := t.accounts[name]
	if a == nil {
		a = &account{Account: Account{Name: name}}
		t.accounts[name] = a
	}
	return a
}

// Add records that an account held capacity for d.
func (t *Tracker) Add(name string, held amount.Vec, d time.Duration) {
	if d <= 0 || held.IsZero() {
		return
	}
	a, seconds := t.account(name), d.Seconds()
	a.cpu += float64(held.CPUMilli()) * seconds
	a.memory += float64(held.MemoryMiB()) * seconds
	a.accelerators += float64(held.Accelerators()) * seconds
}

// Expect records that an account has work that waits. It counts among those that share the
// fleet until the next refresh, also if it has used nothing.
func (t *Tracker) Expect(name string) { t.account(name).expected = true }

// decay returns the factor by which use decays in d.
func (t *Tracker) decay(d time.Duration) float64 {
	return math.Exp2(-max(0, d).Seconds() / t.halfLife.Seconds())
}

// Refresh adds the use since the last refresh and computes the levels. capacity is that of the
// fleet, weight returns the weight of an account, 0 for one that has none.
func (t *Tracker) Refresh(now clock.Mono, capacity amount.Vec, weight func(name string) float64) {
	if t.startedAt == 0 {
		t.startedAt, t.updatedAt = now, now
	}
	elapsed := max(0, now.Sub(t.updatedAt))
	t.updatedAt = max(t.updatedAt, now)
	for _, a := range t.accounts {
		a.Weight = min(max(0, weight(a.Name)), maxWeight)
		a.update(t.decay(elapsed), elapsed, capacity)
		if a.Share < negligible && !a.expected {
			delete(t.accounts, a.Name)
		}
		a.expected = false
	}
	t.forgetUnweighted()
	t.rank()
}

// forgetUnweighted removes the accounts without a weight beyond maxUnweighted, those with the
// least use first.
func (t *Tracker) forgetUnweighted() {
	var list []*account
	for _, a := range t.accounts {
		if a.Weight == 0 {
			list = append(list, a)
		}
	}
	if len(list) <= maxUnweighted {
		return
	}
	slices.SortFunc(list, func(a, b *account) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name)) })
	for _, a := range list[maxUnweighted:] {
		delete(t.accounts, a.Name)
	}
}

// update applies what an account used in the elapsed time, and forgets it.
func (a *account) update(decay float64, elapsed time.Duration, capacity amount.Vec) {
	if elapsed <= 0 {
		return
	}
	held := max(shareOf(a.cpu, capacity.CPUMilli()), shareOf(a.memory, capacity.MemoryMiB()), shareOf(a.accelerators, capacity.Accelerators()))
	a.Share = a.Share*decay + min(1, held/elapsed.Seconds())*(1-decay)
	a.cpu, a.memory, a.accelerators = 0, 0, 0
}

// shareOf returns used as a share of capacity, or 0 if there is no capacity.
func shareOf(used float64, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return used / float64(capacity)
}

// rank computes the ratios and levels of all accounts, and applies the bound on their use.
func (t *Tracker) rank() {
	weights, total := 0.0, 0.0
	for _, a := range t.accounts {
		weights += a.Weight
	}
	for _, a := range t.accounts {
		if a.Weight > 0 {
			a.Share = min(a.Share, maxDebt*a.Weight/weights)
		}
		total += a.Share
	}
	for _, a := range t.accounts {
		a.Ratio, a.Level = 0, 0
		if a.Weight > 0 {
			a.Ratio = a.Share / max(total, minTotal) / (a.Weight / weights)
			a.Level = levelOf(a.Ratio)
		}
	}
}

func levelOf(ratio float64) int {
	if ratio <= 1 {
		return 0
	}
	return int(min(MaxLevel, math.Round(levelsPerDoubling*math.Log2(ratio))))
}

// Level returns the level of an account as of the last refresh, 0 for an unknown one.
func (t *Tracker) Level(name string) int {
	if a := t.accounts[name]; a != nil {
		return a.Level
	}
	return 0
}

// Accounts returns all accounts as of the last refresh, those with the highest use in
// proportion to their weight first.
func (t *Tracker) Accounts() []Account {
	out := make([]Account, 0, len(t.accounts))
	for _, a := range t.accounts {
		out = append(out, a.Account)
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Level, a.Level), cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(a.Name, b.Name))
	})
	return out
}
