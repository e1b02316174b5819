// Package pause notices that this process did not run for a while, for example because its VM
// was frozen or it got no CPU. What the process knew before may have been withdrawn meanwhile.
//
// # Usage
//
//	d := pause.NewDetector(clk)
//	go d.Run(ctx)
//	readAt := clk.Now()
//	keys := read()
//	if d.PausedSince(readAt) { ... } // read again before using keys
//
// The clock must count the time during which the VM is suspended (clock.NewBoot).
package pause

import (
	"context"
	"sync"
	"time"

	"limpethitch.example/core/clock"
)

const (
	// checkInterval is the time between two checks of whether the process runs.
	checkInterval = 200 * time.Millisecond
	// MinPause is the shortest time without a check that counts as a pause. A process that
	// gets little CPU may miss a few checks.
	MinPause = time.Second
)

// Detector notices pauses of this process. It is safe for concurrent use.
type Detector struct {
	clk     clock.Clock
	resumed chan struct{}

	mu sync.Mutex
	// checkedAt is when Run last checked, resumedAt when the last pause ended.
	checkedAt, resumedAt clock.Mono
}

// NewDetector returns a Detector. It notices no pause until Run is called.
func NewDetector(clk clock.Clock) *Detector {
	return &Detector{clk: clk, resumed: make(chan struct{}, 1)}
}

// Run checks regularly whether the process was paused, until ctx ends.
func (d *Detector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.check()
		select {
		case <-d.clk.After(checkInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// check notes a pause that has ended.
func (d *Detector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clk.Now()
	if d.isPaused(now) {
		d.resumedAt = now
		select {
		case d.resumed <- struct{}{}:
		default:
		}
	}
	d.checkedAt = now
}

// isPaused reports whether the last check is so long ago that the process must have been
// paused. The caller holds d.mu.
func (d *Detector) isPaused(now clock.Mono) bool {
	return d.checkedAt != 0 && now.Sub(d.checkedAt) >= MinPause
}

// PausedSince reports whether the process was paused after at, also if the pause has just
// ended and Run has not noticed it yet.
func (d *Detector) PausedSince(at clock.Mono) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumedAt > at || d.isPaused(d.clk.Now())
}

// Resumed returns a channel that receives a value after a pause has ended.
func (d *Detector) Resumed() <-chan struct{} { return d.resumed }
