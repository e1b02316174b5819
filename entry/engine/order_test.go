package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/sched"
)

// busyWorkers are workers that answer an order when the test says so.
type busyWorkers struct {
	silentWorkers
	answer chan struct{}

	mu       sync.Mutex
	orders   []string // names of the orders that were received
	inFlight int
	most     int // the most orders in flight at a time
	released []string
}

func newBusyWorkers() *busyWorkers { return &busyWorkers{answer: make(chan struct{})} }

func (w *busyWorkers) receive(name string) {
	w.mu.Lock()
	w.orders = append(w.orders, name)
	w.inFlight++
	w.most = max(w.most, w.inFlight)
	w.mu.Unlock()
	<-w.answer
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

func (w *busyWorkers) Start(_ context.Context, o StartOrder) (sched.StartOutcome, error) {
	w.receive("start " + o.Task)
	return sched.OutcomeStarted, nil
}

func (w *busyWorkers) Stop(_ context.Context, o StopOrder) error {
	w.receive("stop " + o.Task)
	return nil
}

func (w *busyWorkers) Throttle(context.Context, ThrottleOrder) error {
	w.receive("throttle")
	return errors.New("no answer")
}

func (w *busyWorkers) Release(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = append(w.released, addr)
}

// waitForOrders waits until n orders were received and returns their names, sorted.
func (w *busyWorkers) waitForOrders(t *testing.T, n int) []string {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		names := slices.Sorted(slices.Values(w.orders))
		w.mu.Unlock()
		if len(names) >= n {
			return names
		}
		if time.Now().After(end) {
			t.Fatalf("%d orders were received, want %d: %q", len(names), n, names)
		}
	}
}

const busyJob = "00000000000000cc"

// newBusyTerm returns a term in which w0 has answered a poll and the starts of a job of n tasks were
// decided and sent.
func newBusyTerm(t *testing.T, w *busyWorkers, n int) *restartTerm {
	t.Helper()
	r := newRestartTerm(t)
	r.engine.cfg.Workers = w
	r.term.state.AddJob(&graph.Job{ID: busyJob, Queue: "q", Steps: []graph.Step{{Count: n, CPUMilli: 10, EstimateMS: 60_000}}})
	r.reply(PollReply{ClockMS: 1000, BootUnixMS: 1})
	r.term.decidedAt = r.clk.Now()
	for _, st := range r.engine.dispatch(r.term, r.term.state.Decide(r.clk.Now()), nil) {
		if st.Task.Job == busyJob {
			r.engine.sendStart(r.term, st)
		}
	}
	return r
}

// TestOrdersInFlight guards against an owner that opens a connection to a worker for each task of a
// job.
func TestOrdersInFlight(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ tasks, want int }{
		"small job": {tasks: maxShortQueue + 1, want: 1},
		"large job": {tasks: 40, want: maxOrdersInFlight},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newBusyWorkers()
			r := newBusyTerm(t, w, tt.tasks)
			w.waitForOrders(t, tt.want)
			close(w.answer)
			for range tt.tasks {
				r.handlePost()
			}
			w.waitForOrders(t, tt.tasks)
			if diff := cmp.Diff(tt.want, w.most); diff != "" {
				t.Errorf("orders in flight (-want +got):\n%s", diff)
			}
			const notSent = 1 // the run of testJob
			if diff := cmp.Diff(notSent, r.term.state.UnconfirmedRuns("w0")); diff != "" {
				t.Errorf("runs that were not started (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOrderAfterOthers guards against a start that waits for earlier orders and is sent when it is too
// old, when the worker no longer answers or when its run was given up, so that the task runs twice, and
// against a stop that waits for starts.
func TestOrderAfterOthers(t *testing.T) {
	t.Parallel()
	name := func(index int) string {
		return graph.TaskID{Job: busyJob, Index: index}.String()
	}
	first := []string{"start " + name(0)}
	tests := map[string]struct {
		wait    time.Duration
		prepare func(*restartTerm)
		want    []string
		// waiting is the number of tasks that wait for a worker in the end.
		waiting int
	}{
		"in time":             {wait: maxStartDelay / 2, want: append(slices.Clone(first), "start "+name(1))},
		"too old":             {wait: maxStartDelay/2 + 1, want: first, waiting: 1},
		"silent worker":       {prepare: func(r *restartTerm) { r.conn.failures = 1 }, want: first, waiting: 1},
		"worker's clock lost": {prepare: func(r *restartTerm) { r.conn.forgetIncarnation(r.clk.Now()) }, want: first, waiting: 1},
		"run ended meanwhile": {prepare: func(r *restartTerm) { r.term.state.WorkerReplaced("w0") }, want: first, waiting: 3},
		"job cancelled":       {prepare: func(r *restartTerm) { r.term.state.Cancel(busyJob) }, want: first, waiting: 1},
		"stop goes first": {
			prepare: func(r *restartTerm) {
				r.engine.sendStop(r.term, sched.Stop{Task: graph.TaskID{Job: testJob}, Attempt: 1, Worker: "w0"})
			},
			want: append(slices.Clone(first), "stop "+graph.TaskID{Job: testJob}.String()),
		},
		"stop that is too old": {
			wait: stopTimeout + 1,
			prepare: func(r *restartTerm) {
				r.engine.sendStop(r.term, sched.Stop{Task: graph.TaskID{Job: testJob}, Attempt: 1, Worker: "w0"})
			},
			want: append(slices.Clone(first), "start "+name(1)),
		},
		"throttle that is too old": {
			wait: stopTimeout + 1,
			prepare: func(r *restartTerm) {
				r.engine.sendThrottle(r.term, sched.Throttle{Task: graph.TaskID{Job: testJob}, Attempt: 1, Worker: "w0"})
			},
			want: append(slices.Clone(first), "start "+name(1)),
		},
	}
	for testName, tt := range tests {
		t.Run(testName, func(t *testing.T) {
			t.Parallel()
			w := newBusyWorkers()
			r := newBusyTerm(t, w, 2)
			w.waitForOrders(t, 1)
			if tt.prepare != nil {
				tt.prepare(r)
			}
			r.clk.Advance(tt.wait)
			w.answer <- struct{}{}
			r.handlePost()
			if diff := cmp.Diff(len(tt.want)-1, r.conn.orders.inFlight); diff != "" { // the first was answered
				t.Errorf("orders in flight (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.want, w.waitForOrders(t, len(tt.want))); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
			close(w.answer)
			if diff := cmp.Diff(tt.waiting, r.waitingTasks()); diff != "" {
				t.Errorf("tasks that wait for a worker (-want +got):\n%s", diff)
			}
		})
	}
}

// waitingTasks returns the number of tasks of busyJob that are not counted on a worker.
func (r *restartTerm) waitingTasks() int {
	const tasks = 2
	return tasks + 1 - r.term.state.Running() // one run is that of testJob
}

// TestReleaseAfterTerm guards against a former owner that keeps its connections to the workers, and against
// one of a worker that is gone.
func TestReleaseAfterTerm(t *testing.T) {
	t.Parallel()
	tests := map[string]func(r *restartTerm){
		"end of the term": func(r *restartTerm) { r.engine.endTerm() },
		"worker removed": func(r *restartTerm) {
			r.conn.listed = false
			r.term.state = sched.New(sched.Config{})
			r.engine.pollIdleWorkers()
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newBusyWorkers()
			r := newRestartTerm(t)
			r.engine.cfg.Workers = w
			end(r)
			if diff := cmp.Diff([]string{"w0"}, w.released); diff != "" {
				t.Errorf("released workers (-want +got):\n%s", diff)
			}
		})
	}
}
