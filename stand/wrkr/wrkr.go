// Package wrkr is the stand-in of a worker: it obeys any start, runs tasks
// under leases and reports usage with a lag.
//
// # Usage
//
//	w := wrkr.New(wrkr.Config{ID: "w1", Capacity: amount.New(32_000, 65_536, 0, 0)}, clock.New())
//	ln, err := httpd.Listen("127.0.0.1:9400")
//	err = w.Serve(ln)
//
// Tasks take time but do no work. The worker checks no capacity, no fencing
// token and no key, as the platform's workers do not; it records what it was
// told to run, so that a check can find an overfilled worker or a task that
// ran twice. docs/PROTOCOLS.md describes the protocol.
package wrkr

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/stand/httpd"
)

// Config holds the settings of a worker.
type Config struct {
	ID string
	// Capacity is reported in the stats; starts are not checked against it.
	Capacity amount.Vec
	// UsageLag is how old the reported usage is; 0 means 2 s.
	UsageLag time.Duration
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.UsageLag == 0 {
		c.UsageLag = 2 * time.Second
	}
}

// Control is the body of POST /control; it replaces the faults set before.
type Control struct {
	// FailAll fails every start immediately.
	FailAll bool `json:"fail_all"`
	// Pause holds every call until it is unset; calls are then served late.
	Pause bool `json:"pause"`
	// Dead drops all tasks and closes every call without an answer.
	Dead bool `json:"dead"`
}

// Worker is one worker with its HTTP interface.
type Worker struct {
	*httpd.Server
	cfg Config
	clk clock.Clock

	mu      sync.Mutex
	control Control
	resumed chan struct{}
	held    int
	tasks   map[string]*task
	order   []string
	peak    amount.Vec
	records ring
}

// New returns a worker without tasks.
func New(cfg Config, clk clock.Clock) *Worker {
	cfg.Defaults()
	w := &Worker{cfg: cfg, clk: clk, tasks: map[string]*task{}, records: ring{size: ringSize}}
	w.Server = httpd.New(w.handle)
	return w
}

// SetControl replaces the injected faults.
func (w *Worker) SetControl(c Control) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Pause && !w.control.Pause {
		w.resumed = make(chan struct{})
	}
	if !c.Pause && w.control.Pause {
		close(w.resumed)
	}
	w.control = c
	if c.Dead {
		w.die()
	}
}

func (w *Worker) die() {
	now := w.clk.Wall()
	w.advance(now)
	for _, t := range w.tasks {
		if t.running() {
			t.end(StateStopped, now)
		}
	}
	w.tasks, w.order = map[string]*task{}, nil
}

// advance brings all tasks to now; the caller holds w.mu.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		t.advance(now)
	}
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control" && ctx.IsPost():
		var c Control
		if httpd.Decode(ctx, &c) {
			w.SetControl(c)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
		return
	case path == "/control/stats" && ctx.IsGet():
		httpd.JSON(ctx, fasthttp.StatusOK, w.Stats())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitResumed()
	if w.control.Dead {
		httpd.Drop(ctx)
		return
	}
	now := w.clk.Wall()
	w.advance(now)
	w.serve(ctx, path, now)
}

func (w *Worker) serve(ctx *fasthttp.RequestCtx, path string, now time.Time) {
	switch {
	case path == "/v1/tasks" && ctx.IsPost():
		w.start(ctx, now)
	case path == "/v1/tasks" && ctx.IsGet():
		w.list(ctx, now)
	case path == "/v1/leases" && ctx.IsPost():
		w.renew(ctx, now)
	case strings.HasPrefix(path, "/v1/tasks/") && ctx.IsPost():
		w.act(ctx, strings.TrimPrefix(path, "/v1/tasks/"), now)
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

// waitResumed releases w.mu while the worker is paused.
func (w *Worker) waitResumed() {
	for w.control.Pause {
		resumed := w.resumed
		w.held++
		w.mu.Unlock()
		<-resumed
		w.mu.Lock()
		w.held--
	}
}

func (w *Worker) start(ctx *fasthttp.RequestCtx, now time.Time) {
	var s Start
	if !httpd.Decode(ctx, &s) {
		return
	}
	switch {
	case s.ID == "" || strings.Contains(s.ID, "/"):
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "id is empty or has a slash")
		return
	case w.tasks[s.ID] != nil:
		httpd.Refuse(ctx, fasthttp.StatusConflict, "the id runs or ended here")
		return
	case !now.Before(time.UnixMilli(s.LeaseUnixMS)):
		httpd.Refuse(ctx, fasthttp.StatusGone, "the lease has passed")
		return
	}
	r := w.records.add(s, now)
	t := newTask(s, now, r)
	w.tasks[s.ID] = t
	w.order = append(w.order, s.ID)
	if w.control.FailAll {
		t.end(StateFailed, now)
	}
	w.peak = w.peak.Max(w.setAside())
	ctx.SetStatusCode(fasthttp.StatusCreated)
}

// setAside is what the running tasks were started with; a throttled one counts
// with the processors that it is held to.
func (w *Worker) setAside() amount.Vec {
	var sum amount.Vec
	for _, t := range w.tasks {
		switch t.state {
		case StateRunning:
			sum = sum.Add(t.start.Size)
		case StateThrottled:
			s := t.start.Size
			sum = sum.Add(amount.New(min(s.CPUMilli(), t.use.CPUMilli()), s.MemoryMiB(), s.Accelerators(), 0))
		case StateDone, StateFailed, StateStopped, StateExpired:
		}
	}
	return sum
}

type renewal struct {
	LeaseUnixMS int64    `json:"lease_unix_ms"`
	Tasks       []string `json:"tasks"`
	Ack         []string `json:"ack"`
}

func (w *Worker) renew(ctx *fasthttp.RequestCtx, now time.Time) {
	var r renewal
	if !httpd.Decode(ctx, &r) {
		return
	}
	lease := time.UnixMilli(r.LeaseUnixMS)
	for _, id := range r.Tasks {
		// A delayed renewal must not shorten a lease that was extended since.
		if t := w.tasks[id]; t != nil && t.running() && lease.After(t.lease) {
			t.lease = lease
		}
	}
	w.acknowledge(r.Ack)
	w.list(ctx, now)
}

func (w *Worker) acknowledge(ids []string) {
	for _, id := range ids {
		if t := w.tasks[id]; t != nil && !t.running() {
			delete(w.tasks, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	rest := w.order[:0]
	for _, id := range w.order {
		if w.tasks[id] != nil {
			rest = append(rest, id)
		}
	}
	w.order = rest
}

func (w *Worker) list(ctx *fasthttp.RequestCtx, now time.Time) {
	out := struct {
		Tasks []Status `json:"tasks"`
	}{Tasks: make([]Status, 0, len(w.order))}
	for _, id := range w.order {
		out.Tasks = append(out.Tasks, w.tasks[id].status(now, w.cfg.UsageLag))
	}
	httpd.JSON(ctx, fasthttp.StatusOK, out)
}

func (w *Worker) act(ctx *fasthttp.RequestCtx, path string, now time.Time) {
	id, action, _ := strings.Cut(path, "/")
	t := w.tasks[id]
	if t == nil {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such task")
		return
	}
	switch action {
	case "checkpoint":
		if t.running() {
			t.checkpoint = t.progress
		}
	case "throttle":
		t.throttle(true, now)
	case "resume":
		t.throttle(false, now)
	case "stop":
		if t.running() {
			t.end(StateStopped, now)
		}
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such action")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}
