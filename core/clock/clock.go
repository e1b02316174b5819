// Package clock provides the time sources of the system and a fake for tests.
//
// # Usage
//
// Code takes a Clock and never calls package time for the current time:
//
//	c := clock.New()
//	deadline := c.Now().Add(owner.Term)
//	if c.Now().After(deadline) { ... }
//
// Mono is a reading of the monotonic clock and is not affected when the wall
// clock is stepped. Wall time is used only where a value leaves the process.
package clock

import (
	"sync"
	"time"
)

// Mono is a reading of the monotonic clock, in nanoseconds since an arbitrary
// start. It is only comparable inside one process.
type Mono int64

// Add returns m moved by d.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// Clock reads time and waits.
type Clock interface {
	// Now reads the monotonic clock.
	Now() Mono
	// Wall reads the wall clock.
	Wall() time.Time
	// After sends once when d has passed on the monotonic clock.
	After(d time.Duration) <-chan time.Time
}

type system struct{ start time.Time }

// New returns the clock of the machine.
func New() Clock { return system{start: time.Now()} }

func (s system) Now() Mono                              { return Mono(time.Since(s.start)) + 1 }
func (s system) Wall() time.Time                        { return time.Now().Round(0) }
func (s system) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that moves only when told. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	mono    Mono
	wall    time.Time
	waiters []waiter
}

type waiter struct {
	at Mono
	ch chan time.Time
}

// NewFake returns a fake clock whose wall time starts at wall.
func NewFake(wall time.Time) *Fake { return &Fake{mono: 1, wall: wall} }

// Now reads the fake monotonic clock.
func (f *Fake) Now() Mono {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mono
}

// Wall reads the fake wall clock.
func (f *Fake) Wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wall
}

// After sends once the fake clock has advanced by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- f.wall
		return ch
	}
	f.waiters = append(f.waiters, waiter{at: f.mono.Add(d), ch: ch})
	return ch
}

// Advance moves both clocks forward by d and releases the waiters due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mono = f.mono.Add(d)
	f.wall = f.wall.Add(d)
	rest := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at <= f.mono {
			w.ch <- f.wall
			continue
		}
		rest = append(rest, w)
	}
	f.waiters = rest
}

// StepWall moves only the wall clock, as an operator or NTP may do.
func (f *Fake) StepWall(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(d)
}
