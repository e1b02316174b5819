// Package clock provides a system clock and a fake clock for tests.
//
// # Usage
//
// Other packages take a Clock and never read the current time with package time:
//
//	c := clock.New()
//	deadline := c.Now().Add(owner.Term)
//	if c.Now().After(deadline) { ... }
//
// Mono is a reading of the monotonic clock, which steps of the wall clock do not
// affect. Wall time is used only for values that leave the process.
package clock

import (
	"sync"
	"time"
)

// Mono is a reading of the monotonic clock, in nanoseconds since an arbitrary
// start. Readings of different processes cannot be compared.
type Mono int64

// Add returns m plus d.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// Clock reads the time and provides timers.
type Clock interface {
	// Now reads the monotonic clock.
	Now() Mono
	// Wall reads the wall clock.
	Wall() time.Time
	// After returns a channel on which the time is sent once, after d.
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{ start time.Time }

// New returns the system clock.
func New() Clock { return systemClock{start: time.Now()} }

// Now implements Clock. It is always positive, so that 0 can stand for no reading.
func (s systemClock) Now() Mono                              { return Mono(time.Since(s.start)) + 1 }
func (s systemClock) Wall() time.Time                        { return time.Now().Round(0) }
func (s systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that moves only when a test moves it. It is safe for concurrent use.
type Fake struct {
	mu      sync.Mutex
	mono    Mono
	wall    time.Time
	waiters []waiter
}

// waiter is a call of After that is not due yet.
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

// After returns a channel on which the wall time is sent once, when the fake clock has
// advanced by d.
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

// Advance moves both clocks forward by d and sends on the channels that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mono = f.mono.Add(d)
	f.wall = f.wall.Add(d)
	waiting := f.waiters[:0]
	for _, w := range f.waiters {
		if w.at <= f.mono {
			w.ch <- f.wall
			continue
		}
		waiting = append(waiting, w)
	}
	f.waiters = waiting
}

// StepWall moves only the wall clock, as an operator or NTP may do to a real one.
func (f *Fake) StepWall(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(d)
}
