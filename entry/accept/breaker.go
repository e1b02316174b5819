package accept

import (
	"context"
	"sync"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/lead"
)

const (
	// maxUnanswered is how long writes may be in flight without any answer from the
	// store before it is uncertain whether the store can be reached.
	maxUnanswered = 200 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the pause between two probes while the store is unreachable.
	probeInterval = 150 * time.Millisecond
)

// storeBreaker is a circuit breaker for writes to the store from this VM. A write
// that is sent during a network partition may take effect when the partition ends:
// its caller can neither be told that the job was not accepted nor retry elsewhere.
// While it is uncertain whether the store can be reached, writes therefore wait for
// a read, which has no effect if it stays unanswered. It is safe for concurrent use.
type storeBreaker struct {
	st  store.Store
	clk clock.Clock

	mu sync.Mutex
	// inFlight is the number of writes that wait for an answer.
	inFlight int
	// lastResponseAt is when the store last answered, or when the first of the writes
	// in flight was sent if that is later.
	lastResponseAt clock.Mono
	// lastFailed is set if the last write or probe got no answer.
	lastFailed bool
	// unreachable is set once a probe got no answer. Probes go on until one is
	// answered.
	unreachable bool
	// firstProbe is closed when the first probe of an uncertain state has ended.
	firstProbe chan struct{}
}

func newStoreBreaker(st store.Store, clk clock.Clock) *storeBreaker {
	return &storeBreaker{st: st, clk: clk}
}

// begin registers a write that is about to be sent. The caller must call done with
// whether the write was answered.
func (b *storeBreaker) begin() (done func(answered bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight == 0 {
		b.lastResponseAt = b.clk.Now()
	}
	b.inFlight++
	return func(answered bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight--
		b.record(answered)
	}
}

// record records whether a write or probe was answered. The caller holds b.mu.
func (b *storeBreaker) record(answered bool) {
	b.lastFailed = !answered
	if answered {
		b.lastResponseAt, b.unreachable = b.clk.Now(), false
	}
}

// uncertain reports whether the store may be unreachable. The caller holds b.mu.
func (b *storeBreaker) uncertain(now clock.Mono) bool {
	return b.lastFailed || b.inFlight > 0 && now.Sub(b.lastResponseAt) > maxUnanswered
}

// allow reports whether a write may be sent. It waits for the first probe when the
// state has just become uncertain, and returns false immediately while the store is
// unreachable.
func (b *storeBreaker) allow(ctx context.Context) bool {
	b.mu.Lock()
	if !b.uncertain(b.clk.Now()) {
		b.mu.Unlock()
		return true
	}
	if b.unreachable {
		b.mu.Unlock()
		return false
	}
	if b.firstProbe == nil {
		b.firstProbe = make(chan struct{})
		go b.probeUntilAnswered(b.firstProbe)
	}
	firstProbe := b.firstProbe
	b.mu.Unlock()
	select {
	case <-firstProbe:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.unreachable
}

// probeUntilAnswered probes the store until it answers. It closes first after the
// first probe.
func (b *storeBreaker) probeUntilAnswered(first chan struct{}) {
	for !b.probe() {
		if first != nil {
			close(first)
			first = nil
		}
		<-b.clk.After(probeInterval)
	}
	if first != nil {
		close(first)
	}
}

// probe reads the ownership record, which is small and always present, and reports
// whether the store answered.
func (b *storeBreaker) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := b.st.Get(ctx, lead.RecordKey)
	answered := err == nil || rcode.Of(err) == rcode.NotFound
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(answered)
	b.unreachable = !answered
	if answered {
		b.firstProbe = nil
	}
	return answered
}
