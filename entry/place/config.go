package place

import (
	"math/rand/v2"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
)

// Limiter enforces the upper limits of teams. Reserve is the last check before a
// start is issued; Release is called when the task has ended.
type Limiter interface {
	// Reserve charges v to the team's limit and reports whether the limit allows
	// it. Nothing is charged otherwise.
	Reserve(team string, v amount.Vec) bool
	// Release returns an amount that Reserve charged.
	Release(team string, v amount.Vec)
}

// Default values of Config.
const (
	// DefaultCheckpointGrace and DefaultStopGrace take 4 s of the 6.8 s within
	// which urgent work must start, which leaves 2.8 s for the rest.
	DefaultCheckpointGrace = 2500 * time.Millisecond
	DefaultStopGrace       = 1500 * time.Millisecond
	// DefaultThrottleGrace covers one usage report, which lags by a second.
	DefaultThrottleGrace = 2 * time.Second
	DefaultOfferAfter    = 5 * time.Second
	DefaultReserveAfter  = 2 * time.Second
	// DefaultReserveFor bounds how long a reservation waits for an overrunning
	// task before another gang may reserve.
	DefaultReserveFor     = 60 * time.Second
	DefaultQuarantineBase = 10 * time.Second
	DefaultQuarantineMax  = 10 * time.Minute
	DefaultRetryBase      = time.Second
	// DefaultMemoryMargin applies to memory only, because a task that exceeds its
	// memory allocation must be stopped, while one that exceeds its CPU can be
	// throttled without losing work. In TestCompare a margin of 1.15 for both
	// lowered the packing of long jobs by a tenth.
	DefaultMemoryMargin = 1.05
	DefaultMaxKinds     = 4096
	DefaultMaxMembers   = 100_000
	DefaultMaxReserved  = 4
)

// Config are the settings of a State.
type Config struct {
	// Limiter enforces upper limits; nil allows everything.
	Limiter Limiter
	// CellCapacity returns how many tasks of a size the whole cell, all shards
	// together, holds when empty. Nil counts the workers of this shard only.
	CellCapacity func(size amount.Vec) int
	// Seed seeds the random source for samples and jitter.
	Seed uint64
	// CheckpointGrace is how long a preempted task may take to checkpoint before it
	// is stopped, StopGrace how long a stop may take, and ThrottleGrace how long a
	// task may take to obey a throttle.
	CheckpointGrace, StopGrace, ThrottleGrace time.Duration
	// OfferAfter is how long a job waits for free capacity before it is offered to
	// other shards; negative means never.
	OfferAfter time.Duration
	// ReserveAfter is how long a job waits for free capacity before capacity is
	// reserved for it, ReserveFor how long a reservation lasts past its planned
	// start.
	ReserveAfter, ReserveFor time.Duration
	// QuarantineBase is the first backoff of a worker that fails different jobs in
	// a row, QuarantineMax the longest one.
	QuarantineBase, QuarantineMax time.Duration
	// RetryBase is the delay after the first failure of a task.
	RetryBase time.Duration
	// MemoryMargin is the factor by which the learned p95 of memory is multiplied.
	MemoryMargin float64
	// MaxKinds bounds the number of kinds with estimates, MaxMembers the tasks of a
	// job, and MaxReserved the number of concurrent reservations.
	MaxKinds, MaxMembers, MaxReserved int
}

// unlimited is a Limiter without limits.
type unlimited struct{}

func (unlimited) Reserve(string, amount.Vec) bool { return true }
func (unlimited) Release(string, amount.Vec)      {}

// defaultDuration sets *d to v if it is zero.
func defaultDuration(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// defaultInt sets *n to v if it is zero.
func defaultInt(n *int, v int) {
	if *n == 0 {
		*n = v
	}
}

// Defaults sets each field that is zero to its default.
func (c *Config) Defaults() {
	if c.Limiter == nil {
		c.Limiter = unlimited{}
	}
	defaultDuration(&c.CheckpointGrace, DefaultCheckpointGrace)
	defaultDuration(&c.StopGrace, DefaultStopGrace)
	defaultDuration(&c.ThrottleGrace, DefaultThrottleGrace)
	defaultDuration(&c.OfferAfter, DefaultOfferAfter)
	defaultDuration(&c.ReserveAfter, DefaultReserveAfter)
	defaultDuration(&c.ReserveFor, DefaultReserveFor)
	defaultDuration(&c.QuarantineBase, DefaultQuarantineBase)
	defaultDuration(&c.QuarantineMax, DefaultQuarantineMax)
	defaultDuration(&c.RetryBase, DefaultRetryBase)
	if c.MemoryMargin == 0 {
		c.MemoryMargin = DefaultMemoryMargin
	}
	defaultInt(&c.MaxKinds, DefaultMaxKinds)
	defaultInt(&c.MaxMembers, DefaultMaxMembers)
	defaultInt(&c.MaxReserved, DefaultMaxReserved)
}

// Check returns an error for each field that is out of range.
func (c *Config) Check() []error {
	var faults []error
	require := func(ok bool, field string) {
		if !ok {
			faults = append(faults, rcode.New(rcode.SettingInvalid, "place.Config: %s is out of range", field))
		}
	}
	require(c.Limiter != nil, "limiter")
	require(c.CheckpointGrace > 0, "checkpoint grace")
	require(c.StopGrace > 0, "stop grace")
	require(c.ThrottleGrace > 0, "throttle grace")
	require(c.ReserveAfter > 0, "reserve after")
	require(c.ReserveFor > 0, "reserve for")
	require(c.QuarantineBase > 0 && c.QuarantineBase <= c.QuarantineMax, "quarantine base")
	require(c.RetryBase > 0, "retry base")
	require(c.MemoryMargin >= 1 && c.MemoryMargin <= 4, "margin")
	require(c.MaxKinds > 0, "max kinds")
	require(c.MaxMembers > 0, "max members")
	require(c.MaxReserved > 0, "max reserved")
	return faults
}

func (c *Config) randSource() *rand.Rand { return rand.New(rand.NewPCG(c.Seed, 0x6c696d706574)) }
