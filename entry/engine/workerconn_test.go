package engine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/store"
	"limpethitch.example/entry/sched"
)

// partitionedWorkers is a set of workers of which some do not reply to polls.
type partitionedWorkers struct {
	*fakeWorker
	mu sync.Mutex
	// unreachable are the workers that do not reply; timeouts counts the polls that
	// timed out.
	unreachable map[string]bool
	timeouts    int
	// timeoutsAtFirstPoll is the value of timeouts at the first poll of each worker that
	// replies.
	timeoutsAtFirstPoll map[string]int
	// loseReplies is how many polls that wait for a run to end get no reply.
	loseReplies int
	waits       []time.Duration
	// timeout is the timeout of the last poll whose reply was lost.
	timeout time.Duration
}

func (w *partitionedWorkers) Poll(ctx context.Context, o PollOrder) (PollReply, error) {
	w.mu.Lock()
	unreachable := w.unreachable[o.Instance]
	if o.Wait > 0 && w.loseReplies > 0 {
		w.loseReplies--
		unreachable = true
		if at, ok := ctx.Deadline(); ok {
			w.timeout = time.Until(at)
		}
	}
	w.waits = append(w.waits, o.Wait)
	if _, seen := w.timeoutsAtFirstPoll[o.Instance]; !unreachable && !seen {
		w.timeoutsAtFirstPoll[o.Instance] = w.timeouts
	}
	w.mu.Unlock()
	if !unreachable {
		return w.fakeWorker.Poll(ctx, o)
	}
	<-ctx.Done()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeouts++
	return PollReply{}, ctx.Err()
}

// TestFirstPollsSkipPartitionedWorkers guards against a new owner whose first polls
// are delayed by workers behind a network partition, which occupy the immediate polls
// until they time out.
func TestFirstPollsSkipPartitionedWorkers(t *testing.T) {
	t.Parallel()
	const reachable, partitioned = 10, 90
	w := &partitionedWorkers{fakeWorker: newFakeWorker(), unreachable: make(map[string]bool), timeoutsAtFirstPoll: make(map[string]int)}
	h := newHarnessWith(t, func(cfg *Config) {
		cfg.Workers = w
		for i := range reachable + partitioned {
			id := fmt.Sprintf("x%02d", i)
			w.unreachable[id] = i < partitioned // first in the list
			if _, err := cfg.Store.Commit(context.Background(), store.NewTxn().Put("workers/"+id, []byte("{}"))); err != nil {
				t.Error(err)
			}
		}
	})
	h.waitForStatus(t, func(JobStatus) bool { return true })
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		n := len(w.timeoutsAtFirstPoll)
		w.mu.Unlock()
		if n == reachable+1 { // and w0
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d workers were polled", n, reachable+1)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, timeouts := range w.timeoutsAtFirstPoll {
		if timeouts > 0 {
			t.Errorf("%s was first polled after %d polls of others had timed out", id, timeouts)
		}
	}
}

// TestLostPollReply guards against a run's end that stays unknown because the reply to
// a poll was lost: the poll must time out soon, and the next one must not wait for a
// run to end.
func TestLostPollReply(t *testing.T) {
	t.Parallel()
	w := &partitionedWorkers{fakeWorker: newFakeWorker(), timeoutsAtFirstPoll: make(map[string]int), loseReplies: 1}
	h := newHarnessWith(t, func(cfg *Config) { cfg.Workers = w })
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	w.mu.Lock()
	defer w.mu.Unlock()
	want := []time.Duration{0, maxPollWait, 0}
	if diff := cmp.Diff(want, w.waits[:min(3, len(w.waits))]); diff != "" {
		t.Errorf("wait times of the first polls (-want +got):\n%s", diff)
	}
	if w.timeout <= 0 || w.timeout > maxPollWait+pollReplySlack {
		t.Errorf("a poll without a reply times out after %v, want at most %v", w.timeout, maxPollWait+pollReplySlack)
	}
}

// TestCutListOfEnds guards against tasks that run again because their ends did not fit into a
// worker's reply.
func TestCutListOfEnds(t *testing.T) {
	t.Parallel()
	const otherJob = "00000000000000bb"
	h := newHarness(t)
	h.worker.mu.Lock()
	h.worker.withholdEnds, h.worker.maxListed, h.worker.keepEnds = true, 1, true
	h.worker.mu.Unlock()
	h.submit(t)
	h.submitAs(t, otherJob)
	for range 2 {
		<-h.worker.started
	}
	h.worker.releaseEnd()
	h.worker.releaseEnd()
	for len(h.worker.polled) > 0 {
		<-h.worker.polled
	}
	for range 5 { // polls whose replies list the first end only
		<-h.worker.polled
	}
	h.worker.mu.Lock()
	h.worker.keepEnds = false
	h.worker.mu.Unlock()
	for _, id := range []string{testJob, otherJob} {
		h.waitForStatusOf(t, id, func(s JobStatus) bool { return s.State == sched.JobDone })
	}
	if diff := cmp.Diff(0, len(h.worker.started)); diff != "" {
		t.Errorf("further starts (-want +got):\n%s", diff)
	}
}
