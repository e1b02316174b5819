// Package probe gives up calls to a service whose answers were lost. After an outage the
// service answers new calls at once, but never those that were sent while it was away. A
// caller that waits for such an answer until its deadline adds that time to the outage.
//
// While a call is unanswered, a Monitor sends probes, which have no effect on the service.
// Once the service has answered a probe that was sent after the call and still leaves the
// call unanswered, the call ends with rcode.OutcomeUnknown. A service that is only slow
// answers probes as late as calls, so that its calls are not given up.
//
// # Usage
//
//	m := probe.New(func(ctx context.Context) bool { return ping(ctx) == nil }, clock.New())
//	err := m.Do(ctx, probe.Allowance(len(body)), func(ctx context.Context) error { return call(ctx, body) })
//
// The function may go on after Do has returned an error, so the caller must not use what it
// writes to then.
package probe

import (
	"context"
	"sync"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/guard"
	"limpethitch.example/core/rcode"
)

const (
	// firstProbeAfter is how long a call is unanswered before the first probe is sent.
	firstProbeAfter = 200 * time.Millisecond
	// interval is the time between two probes.
	interval = 150 * time.Millisecond
	// timeout bounds a probe. Several are in flight while the service is silent.
	timeout = 450 * time.Millisecond
	// minAllowance is how much longer than a probe a small call may take.
	minAllowance = 250 * time.Millisecond
	// minBytesPerSecond is the slowest transfer of a large message. The slowest links
	// carry 10 Mbit/s, and several transfers may share one.
	minBytesPerSecond = 250_000
)

// Allowance returns how much longer than a probe a call may take that sends or receives the
// given number of bytes.
func Allowance(bytes int) time.Duration {
	return minAllowance + time.Duration(bytes)*time.Second/minBytesPerSecond
}

// Monitor watches the calls to one service. It is safe for concurrent use.
type Monitor struct {
	ping func(context.Context) bool
	clk  clock.Clock

	mu    sync.Mutex
	calls calls
}

// New returns a Monitor. ping sends a probe and reports whether the service answered it.
func New(ping func(context.Context) bool, clk clock.Clock) *Monitor {
	return &Monitor{ping: ping, clk: clk, calls: newCalls()}
}

// Do runs f, which makes one call to the service, and returns its error. It returns
// rcode.OutcomeUnknown without waiting for f if ctx ends, or if the service answered a probe
// that was sent after the call and allowance has passed since. A panic in f becomes one in
// Do's caller, unless Do has returned.
func (m *Monitor) Do(ctx context.Context, allowance time.Duration, f func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	c := m.calls.begin(m.clk.Now(), allowance)
	m.mu.Unlock()
	defer m.end(c)
	result := make(chan outcome, 1)
	go func() { result <- run(ctx, f) }()
	for {
		wait, lost := m.check(ctx, c)
		if lost {
			return rcode.New(rcode.OutcomeUnknown, "probe.Do: no answer, although later calls were answered")
		}
		select {
		case o := <-result:
			if o.panicked {
				panic(o.err)
			}
			return o.err
		case <-ctx.Done():
			return rcode.Wrap(ctx.Err(), rcode.OutcomeUnknown, "probe.Do")
		case <-c.probeAnswered:
		case <-m.clk.After(wait):
		}
	}
}

// outcome is the error that a function returned, or the panic that ended it.
type outcome struct {
	err      error
	panicked bool
}

func run(ctx context.Context, f func(context.Context) error) (o outcome) {
	o.err = guard.Run(func(error) { o.panicked = true }, func() error { return f(ctx) })
	return o
}

func (m *Monitor) end(c *call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.calls.pending, c)
}

// check reports whether a call is lost. Otherwise it sends a probe if one is due, and
// returns how long to wait until the next check.
func (m *Monitor) check(ctx context.Context, c *call) (wait time.Duration, lost bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	if c.isLost(now) {
		return 0, true
	}
	if m.calls.probeDue(c, now) {
		go m.probe(context.WithoutCancel(ctx), now)
	}
	return m.calls.nextCheck(c).Sub(now), false
}

// probe sends a probe and records its answer.
func (m *Monitor) probe(ctx context.Context, sentAt clock.Mono) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answered := false
	o := run(ctx, func(ctx context.Context) error { answered = m.ping(ctx); return nil })
	if o.panicked || !answered {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.probeAnswered(sentAt)
}
