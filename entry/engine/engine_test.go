package engine

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

const testJob = "00000000000000aa"

// fakeWorker is a worker on which every run succeeds immediately.
type fakeWorker struct {
	mu       sync.Mutex
	token    int64
	lastEnd  int64
	ended    []sched.RunEnd
	ackedEnd int64
	// withholdEnds keeps ended runs out of the replies until releaseEnd is called.
	withholdEnds bool
	withheld     []sched.RunEnd
	// maxListed is the number of ended runs in a reply; 0 is no limit. keepEnds keeps
	// acknowledged ones in the replies, as if their acknowledgement were late.
	maxListed int
	keepEnds  bool
	started   chan StartOrder
	polled    chan PollOrder
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{started: make(chan StartOrder, 64), polled: make(chan PollOrder, 1024)}
}

func (w *fakeWorker) Start(_ context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, _ := graph.ParseTaskID(o.Task)
	end := sched.RunEnd{Task: id, Attempt: o.Attempt, Outcome: events.RunDone}
	if w.withholdEnds {
		w.withheld = append(w.withheld, end)
	} else {
		w.addEnded(end)
	}
	w.started <- o
	return sched.OutcomeStarted, nil
}

// addEnded numbers an ended run and includes it in the following replies.
func (w *fakeWorker) addEnded(end sched.RunEnd) {
	w.lastEnd++
	end.Seq = w.lastEnd
	w.ended = append(w.ended, end)
}

// releaseEnd includes the first withheld ended run in the following replies.
func (w *fakeWorker) releaseEnd() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addEnded(w.withheld[0])
	w.withheld = w.withheld[1:]
}

func (w *fakeWorker) Stop(context.Context, StopOrder) error { return nil }

func (w *fakeWorker) Throttle(context.Context, ThrottleOrder) error { return nil }

func (w *fakeWorker) Release(string) {}

func (w *fakeWorker) Poll(ctx context.Context, o PollOrder) (PollReply, error) {
	select {
	case w.polled <- o:
	default:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		return PollReply{}, rcode.New(rcode.NotOwner, "an older token")
	}
	w.token, w.ackedEnd = o.Token, max(w.ackedEnd, o.AckThrough)
	reply := PollReply{ClockMS: 1000, BootUnixMS: 1}
	for _, e := range w.withheld {
		reply.Running = append(reply.Running, sched.RunStatus{Task: e.Task, Attempt: e.Attempt})
	}
	for _, e := range w.ended {
		if e.Seq > o.AckThrough || w.keepEnds {
			reply.Ended = append(reply.Ended, e)
		}
	}
	if w.maxListed > 0 && len(reply.Ended) >= w.maxListed {
		reply.Ended, reply.MoreEnds = reply.Ended[:w.maxListed], true
	}
	return reply, ctx.Err()
}

// maxEntries is the number of conditions and writes of a transaction that the platform accepts.
const maxEntries = 32

// gatedStore is a store that refuses writes of the journal while it is closed, and transactions of more
// than maxEntries.
type gatedStore struct {
	*store.Memory
	mu      sync.Mutex
	closed  bool
	refused chan struct{}
	// maxValue is the size of the largest value that the store accepts; 0 is no limit.
	maxValue int
}

func (g *gatedStore) Commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	g.mu.Lock()
	closed := g.closed
	for _, op := range t.Ops() {
		closed = closed || g.maxValue > 0 && len(op.Value()) > g.maxValue
	}
	g.mu.Unlock()
	if n := len(t.Conds()) + len(t.Ops()); n > maxEntries {
		return store.Result{}, rcode.New(rcode.StoreUnavailable, "a transaction of %d entries", n)
	}
	if closed && len(t.Ops()) > 0 && len(t.Ops()[0].Key()) > 4 && t.Ops()[0].Key()[:4] == events.Prefix {
		select {
		case g.refused <- struct{}{}:
		default:
		}
		return store.Result{}, rcode.New(rcode.StoreUnavailable, "the gate is closed")
	}
	return g.Memory.Commit(ctx, t)
}

func (g *gatedStore) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
}

// harness is an engine that becomes the owner, with its store, worker and elector.
type harness struct {
	store   *gatedStore
	worker  *fakeWorker
	elector *lead.Elector
	engine  *Engine
	ctx     context.Context
}

// newHarness runs an engine with one worker.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, func(*Config) {})
}

// newHarnessWith runs an engine with one worker, after configure has changed its
// settings.
func newHarnessWith(t *testing.T, configure func(*Config)) *harness {
	t.Helper()
	return newHarnessOn(t, clock.New(), configure)
}

// newHarnessOn is newHarnessWith on the given clock.
func newHarnessOn(t *testing.T, clk clock.Clock, configure func(*Config)) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	h := &harness{store: &gatedStore{Memory: store.NewMemory(), refused: make(chan struct{}, 1)}, worker: newFakeWorker(), ctx: ctx}
	self := lead.Holder{VM: "vm1", Name: "vm1-a", Addr: "vm1"}
	h.listWorker(t, 1)
	h.elector = lead.New(lead.Config{Store: h.store, Self: self}, clk, zap.NewNop())
	cfg := Config{
		Self: self, Store: h.store, Elector: h.elector, Workers: h.worker, StoreAge: func() time.Duration { return 0 }, Metrics: stats.New(func() int64 { return 0 }), WorkerPrefix: "workers/", Lease: 7 * time.Second,
		ParseWorker: func(id string, value []byte, _ clock.Mono) (sched.WorkerSpec, bool) {
			bootMS, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil {
				bootMS = 1
			}
			return sched.WorkerSpec{ID: id, Addr: id, DataCentre: "dc", Service: "svc", Capacity: amount.New(8000, 8000, 0, 0), BootUnixMS: bootMS}, true
		},
	}
	configure(&cfg)
	h.engine = New(cfg, clk, zap.NewNop())
	h.engine.SetRules(rules.New(1, []rules.Queue{{Name: "q", Service: "svc", MaxAttempts: 2, StretchFactor: 2}}, nil, rules.Limits{}))
	go func() { _ = h.engine.Run(ctx); done <- struct{}{} }()
	go func() { _ = h.elector.Run(ctx); done <- struct{}{} }()
	return h
}

// listWorker writes the entry of an incarnation of the worker in the platform's list.
func (h *harness) listWorker(t *testing.T, bootMS int64) {
	t.Helper()
	if _, err := h.store.Commit(h.ctx, store.NewTxn().Put("workers/w0", strconv.AppendInt(nil, bootMS, 10))); err != nil {
		t.Fatal(err)
	}
}

// submit stores the job testJob in the way that a VM does when it accepts a job.
func (h *harness) submit(t *testing.T) { h.submitAs(t, testJob) }

func (h *harness) submitAs(t *testing.T, id string) {
	t.Helper()
	job := graph.Job{ID: id, Team: "a", Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: 1000, EstimateMS: 100}}}
	raw, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.store.Commit(h.ctx, store.NewTxn().If(JobPrefix+job.ID, 0).Put(JobPrefix+job.ID, raw)); err != nil {
		t.Fatal(err)
	}
}

// waitForStatus waits until the owner reports a status of testJob that accept returns true for.
func (h *harness) waitForStatus(t *testing.T, accept func(JobStatus) bool) JobStatus {
	t.Helper()
	return h.waitForStatusOf(t, testJob, accept)
}

func (h *harness) waitForStatusOf(t *testing.T, id string, accept func(JobStatus) bool) JobStatus {
	t.Helper()
	ctx, cancel := context.WithTimeout(h.ctx, 20*time.Second)
	defer cancel()
	for {
		status, err := h.engine.Job(ctx, id)
		if err == nil && accept(status) {
			return status
		}
		if ctx.Err() != nil {
			t.Fatalf("status %+v, error %v after the deadline", status, err)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestJobRunsOnce guards against a job that runs but is never reported as done, and
// against an ended run that is never acknowledged.
func TestJobRunsOnce(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.submit(t)
	status := h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	if diff := cmp.Diff(JobStatus{State: sched.JobDone, Known: true}, status); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	for {
		select {
		case o := <-h.worker.polled:
			if o.AckThrough == 1 {
				return
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the ended run was not acknowledged")
		}
	}
}

// TestUnstoredEndIsNotAcknowledged guards against acknowledging an ended run whose
// event was not stored because another VM took over: that VM would run the task again.
func TestUnstoredEndIsNotAcknowledged(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.submit(t)
	<-h.worker.started
	h.store.setClosed(true)
	h.waitForStatus(t, func(s JobStatus) bool { return s.Known })
	select {
	case <-h.store.refused:
	case <-time.After(20 * time.Second):
		t.Fatal("the engine did not try to store the end of the run")
	}
	if _, err := h.store.Commit(h.ctx, store.NewTxn().Put(lead.TermKey, []byte("{}")).Put(lead.RecordKey,
		[]byte(`{"holder":{"vm":"vm2","name":"vm2-b","addr":"vm2"},"epoch":9}`))); err != nil {
		t.Fatal(err)
	}
	h.store.setClosed(false)
	for {
		if _, owner := h.elector.Term(); !owner {
			break
		}
		time.Sleep(time.Millisecond)
	}
	// Wait for the polls that were in flight when the term ended.
	time.Sleep(50 * time.Millisecond)
	h.worker.mu.Lock()
	defer h.worker.mu.Unlock()
	if diff := cmp.Diff(int64(0), h.worker.ackedEnd); diff != "" {
		t.Errorf("last acknowledged run (-want +got):\n%s", diff)
	}
}

// TestCompactWaitsForStoredRound guards against compacting a job whose run ended while
// a round was being written, and so is in no round yet: its record would be reduced to
// "done" before the journal contains the end.
func TestCompactWaitsForStoredRound(t *testing.T) {
	t.Parallel()
	const other = "00000000000000bb"
	h := newHarness(t)
	h.worker.withholdEnds = true
	h.submit(t)
	h.submitAs(t, other)
	<-h.worker.started
	<-h.worker.started
	h.store.setClosed(true)
	h.worker.releaseEnd()
	select {
	case <-h.store.refused:
	case <-time.After(20 * time.Second):
		t.Fatal("the engine did not try to store the first end")
	}
	h.worker.releaseEnd()
	// The next poll that begins reports the second end. Between two later polls the
	// compactor runs several times.
	for len(h.worker.polled) > 0 {
		<-h.worker.polled
	}
	for range 3 {
		select {
		case <-h.worker.polled:
		case <-time.After(20 * time.Second):
			t.Fatal("the worker is no longer polled")
		}
	}
	for _, id := range []string{testJob, other} {
		kv, err := h.store.Get(h.ctx, JobPrefix+id)
		if err != nil {
			t.Fatal(err)
		}
		job, err := graph.Decode(kv.Value())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("", job.FinalState); diff != "" {
			t.Errorf("job %s compacted before its end is stored (-want +got):\n%s", id, diff)
		}
	}
}

// TestDeliver guards against a delivered job that waits for the store's watch, and
// against one that runs twice when the watch reports it as well.
func TestDeliver(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.waitForStatus(t, func(JobStatus) bool { return true })
	job := graph.Job{ID: testJob, Team: "a", Queue: "q", Steps: []graph.Step{{Count: 1, CPUMilli: 1000, EstimateMS: 100}}}
	raw, err := job.Encode()
	if err != nil {
		t.Fatal(err)
	}
	// The key is not in the store yet, so the watch does not report it.
	if err := h.engine.Deliver(h.ctx, JobPrefix+testJob, raw); err != nil {
		t.Fatal(err)
	}
	h.waitForStatus(t, func(s JobStatus) bool { return s.State.Final() })
	h.submit(t)
	h.submitAs(t, "00000000000000bb")
	first, second := <-h.worker.started, <-h.worker.started
	if diff := cmp.Diff([]string{testJob + ".0.0.0", "00000000000000bb.0.0.0"}, []string{first.Task, second.Task}); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

// TestAbandonedCall guards against a caller that reads an answer while the loop still writes it,
// after the caller's time has ended. The race detector reports it.
func TestAbandonedCall(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.Known })
	ctx, cancel := context.WithCancel(h.ctx)
	cancel()
	// A channel that this test closes would order the loop's writes after the reads below.
	h.engine.post(func() { <-time.After(20 * time.Millisecond) })
	status, err := h.engine.Job(ctx, testJob)
	reply, helloErr := h.engine.Hello(ctx, HelloRequest{})
	if diff := cmp.Diff([]any{JobStatus{}, HelloReply{}}, []any{status, reply}); err == nil || helloErr == nil || diff != "" {
		t.Errorf("errors %v, %v, answers (-want +got):\n%s", err, helloErr, diff)
	}
	h.waitForStatus(t, func(s JobStatus) bool { return s.Known })
}
