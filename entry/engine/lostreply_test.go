package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/sched"
)

// TestPollWait guards against ends of runs that stay unknown for over a second because
// replies are lost, and against polls that a slow owner cannot carry.
func TestPollWait(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lost     int // of 100 polls
		workers  int
		cpuMilli int64
		want     time.Duration
		// calm is the wait after many replies.
		calm time.Duration
	}{
		"no loss":                   {workers: 48, cpuMilli: 400, want: maxPollWait, calm: maxPollWait},
		"one lost":                  {lost: 1, workers: 48, cpuMilli: 400, want: maxPollWait, calm: maxPollWait},
		"many lost":                 {lost: 6, workers: 48, cpuMilli: 400, want: minPollWait, calm: maxPollWait},
		"many lost, large":          {lost: 6, workers: 540, cpuMilli: 800, want: 337500 * time.Microsecond, calm: maxPollWait},
		"many lost, slow owner":     {lost: 6, workers: 540, cpuMilli: 192, want: 1406250 * time.Microsecond, calm: 1406250 * time.Microsecond},
		"many lost, CPU not known":  {lost: 6, workers: 48, want: maxPollWait, calm: maxPollWait},
		"all lost, as in an outage": {lost: 100, workers: 48, cpuMilli: 400, want: minPollWait, calm: maxPollWait},
		"many workers":              {workers: 3000, cpuMilli: 800, want: 1875 * time.Millisecond, calm: 1875 * time.Millisecond},
		"more workers than it can":  {workers: 15_000, cpuMilli: 800, want: longestPollWait, calm: longestPollWait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var l replyLoss
			for i := range 400 {
				l.observe((i*7)%100 < tt.lost)
			}
			if diff := cmp.Diff(tt.want, l.pollWait(tt.workers, tt.cpuMilli)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
			for range 2000 {
				l.observe(false)
			}
			if diff := cmp.Diff(tt.calm, l.pollWait(tt.workers, tt.cpuMilli)); diff != "" {
				t.Errorf("wait after 2,000 replies (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReplySlack guards against taking a worker that answers slowly for one that is lost,
// which would let the leases of its runs end.
func TestReplySlack(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		conn workerConn
		loss replyLoss
		want time.Duration
	}{
		"first poll":        {conn: workerConn{}, want: slowPollReplySlack},
		"after a reply":     {conn: workerConn{clockMS: 1}, want: pollReplySlack},
		"replies are lost":  {conn: workerConn{clockMS: 1}, loss: replyLoss{share: 0.05}, want: lossyPollReplySlack},
		"lost again":        {conn: workerConn{clockMS: 1, failures: 2}, loss: replyLoss{share: 0.05}, want: slowPollReplySlack},
		"after one failure": {conn: workerConn{clockMS: 1, failures: 1}, want: pollReplySlack},
		"after two":         {conn: workerConn{clockMS: 1, failures: 2}, want: slowPollReplySlack},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if diff := cmp.Diff(tt.want, tt.conn.replySlack(tt.loss)); diff != "" {
				t.Errorf("slack (-want +got):\n%s", diff)
			}
		})
	}
}

// silentStarts is a worker that leaves the first start orders unanswered.
type silentStarts struct {
	*fakeWorker
	mu       sync.Mutex
	silent   int
	timeouts []time.Duration // of the unanswered orders
	attempts []int
}

func (w *silentStarts) Start(ctx context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.mu.Lock()
	w.attempts = append(w.attempts, o.Attempt)
	silent := len(w.attempts) <= w.silent
	if at, ok := ctx.Deadline(); ok && silent {
		w.timeouts = append(w.timeouts, time.Until(at))
	}
	w.mu.Unlock()
	if !silent {
		return w.fakeWorker.Start(ctx, o)
	}
	<-ctx.Done()
	return sched.OutcomeUnknown, ctx.Err()
}

// TestUnansweredStart guards against an order whose answer was lost and that is repeated only
// after a time in which a short task would have ended, or repeated as another attempt.
func TestUnansweredStart(t *testing.T) {
	t.Parallel()
	w := &silentStarts{fakeWorker: newFakeWorker(), silent: 2}
	h := newHarnessWith(t, func(cfg *Config) { cfg.Workers = w })
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	w.mu.Lock()
	defer w.mu.Unlock()
	if diff := cmp.Diff([]int{1, 1, 1}, w.attempts); diff != "" {
		t.Errorf("attempts of the orders (-want +got):\n%s", diff)
	}
	// The shortest tasks take a second.
	limits := []time.Duration{200 * time.Millisecond, 300 * time.Millisecond}
	for i, timeout := range w.timeouts {
		if timeout > limits[i] {
			t.Errorf("order %d is repeated after %v, want at most %v", i, timeout, limits[i])
		}
	}
}
