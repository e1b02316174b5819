package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// holdMax is the longest lease, stopTime what a stop takes.
	holdMax  = 10 * time.Second
	stopTime = 100 * time.Millisecond
	// startupTime is how long a lasting task starts before it is at work.
	startupTime = 300 * time.Millisecond
)

// run is an attempt of a task on a minion.
type run struct {
	task      string
	attempt   int
	spec      string
	begunAt   time.Time
	endsAt    time.Time // zero for a task that lasts
	stoppedAt time.Time // when it ends by a stop; zero is none
}

// percent is the progress of a run.
func (r *run) percent(now time.Time) int {
	total := startupTime
	if !r.endsAt.IsZero() {
		total = r.endsAt.Sub(r.begunAt)
	}
	return int(min(100, 100*now.Sub(r.begunAt)/max(1, total)))
}

// minion is one life of a machine. It does not guard its capacity.
type minion struct {
	id, machine, addr, zone string
	labels                  []string
	cpu, memMB              int
	w                       *world
	born                    time.Time

	mu       sync.Mutex
	sequence int
	token    int64
	runs     map[string]*run
	highest  map[string]int // highest attempt that was stopped or has ended, by task
	ended    [][]any
	endCount int64
	expires  int64 // when everything is killed, on the minion's clock
	wake     chan struct{}
	dead     bool

	ctx    context.Context
	cancel context.CancelFunc
	server *http.Server
}

// startMinion starts a minion on a machine and registers it.
func (w *world) startMinion(m *machine) *minion {
	w.mu.Lock()
	w.minionCount++
	life := w.minionCount
	w.mu.Unlock()
	return w.startMinionAs(m, fmt.Sprintf("%s-life-%d", m.name, life), "127.0.0.1:0")
}

// startMinionAs starts a minion with an id at an address.
func (w *world) startMinionAs(m *machine, id, addr string) *minion {
	n := &minion{
		id: id, machine: m.name, zone: m.zone, labels: m.labels, cpu: m.cpu, memMB: m.memMB,
		w: w, born: time.Now(), runs: make(map[string]*run), highest: make(map[string]int), wake: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", addr)
	if err != nil {
		w.fail("minion: %v", err)
	}
	n.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", n.unlessKept(n.runStart))
	mux.HandleFunc("POST /v1/run-stop", n.unlessKept(n.runStop))
	mux.HandleFunc("POST /v1/hold", n.unlessKept(n.hold))
	mux.HandleFunc("POST /v1/pace", n.unlessKept(n.pace))
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(l) }()
	go n.beat()
	go n.work()
	w.rec.line("minion %s on machine %s listens at %s", n.id, n.machine, n.addr)
	return n
}

// keptOrder is an order that a minion leaves unanswered, to carry it out later or never.
type keptOrder struct {
	path string
	body []byte
}

// unlessKept handles an order unless the case keeps it.
func (n *minion) unlessKept(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if n.w.keeps == nil {
			f(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !n.w.keeps(n, keptOrder{r.URL.Path, body}) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			f(w, r)
			return
		}
		select {
		case <-r.Context().Done():
		case <-n.ctx.Done():
		}
		panic(http.ErrAbortHandler)
	}
}

// noAnswer drops the answer to an order that nobody waits for any more.
type noAnswer struct{ status int }

func (a *noAnswer) Header() http.Header         { return http.Header{} }
func (a *noAnswer) Write(p []byte) (int, error) { return len(p), nil }
func (a *noAnswer) WriteHeader(status int)      { a.status = status }

// carryOut carries out an order that was kept, and returns the status of its answer.
func (n *minion) carryOut(o keptOrder) int {
	r, err := http.NewRequest("POST", o.path, bytes.NewReader(o.body))
	if err != nil {
		n.w.fail("late order: %v", err)
	}
	r.Header.Set("Limpethitch-Expected-Instance", n.id)
	a := new(noAnswer)
	n.w.rec.line("minion %s carries out late: %s %s", n.id, o.path, o.body)
	if o.path == "/v1/run-start" {
		n.runStart(a, r)
	} else {
		n.hold(a, r)
	}
	return a.status
}

// beat registers the minion and renews its entry. The store removes the entry after three intervals
// of silence.
func (n *minion) beat() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		n.sequence++
		entry := map[string]any{
			"service": "emisor", "address": n.addr, "zone": n.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"sequence": n.sequence, "born": n.born.UnixMilli(), "labels": n.labels,
			"capacity": map[string]any{"cpu": n.cpu, "mem_mb": n.memMB, "gpu": 0},
		}
		n.mu.Unlock()
		n.w.store.put("servers/"+n.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-n.ctx.Done():
		}
	}
}

func (n *minion) clock() int64 { return time.Since(n.born).Milliseconds() + 1 }

// call checks the incarnation and the fencing token of a call. n.mu is held.
func (n *minion) call(w http.ResponseWriter, r *http.Request, token int64) bool {
	if r.Header.Get("Limpethitch-Expected-Instance") != n.id {
		reply(w, 421, struct{}{})
		return false
	}
	if token < n.token {
		reply(w, 409, map[string]any{"clock_ms": n.clock(), "reason": "fence"})
		return false
	}
	n.token = token
	return true
}

// extend takes an expiry from an order. n.mu is held.
func (n *minion) extend(expires int64) {
	n.expires = max(n.expires, min(expires, n.clock()+holdMax.Milliseconds()))
}

func (n *minion) runStart(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
		Spec    string `json:"spec"`
		Expires int64  `json:"expires_ms"`
		Token   int64  `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.call(w, r, o.Token) {
		return
	}
	refuse := func(reason string) {
		n.w.rec.line("minion %s refuses %s attempt %d: %s", n.id, o.Task, o.Attempt, reason)
		reply(w, 409, map[string]any{"clock_ms": n.clock(), "reason": reason})
	}
	current := n.runs[o.Task]
	switch {
	case n.clock() > o.Expires:
		refuse("late")
		return
	case current != nil && current.attempt == o.Attempt:
		n.extend(o.Expires)
	case current != nil || o.Attempt <= n.highest[o.Task]:
		n.extend(o.Expires)
		refuse("old")
		return
	default:
		n.extend(o.Expires)
		a := &run{task: o.Task, attempt: o.Attempt, spec: o.Spec, begunAt: time.Now()}
		if d := runTime(o.Spec, o.Task); d > 0 {
			a.endsAt = a.begunAt.Add(d)
		}
		n.runs[o.Task] = a
		n.w.rec.line("minion %s starts %s attempt %d (token %d)", n.id, o.Task, o.Attempt, o.Token)
		n.w.began(n, a)
	}
	reply(w, 200, map[string]any{"clock_ms": n.clock()})
}

// runTime returns how long a task takes, or 0 if it lasts. The spec holds the milliseconds of the tasks
// of each step, separated by blanks.
func runTime(spec, task string) time.Duration {
	fields, parts := strings.Fields(spec), strings.Split(task, ".")
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(fields) {
		return 0
	}
	ms, err := strconv.Atoi(fields[step])
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (n *minion) runStop(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Task    string `json:"task"`
		Attempt int    `json:"attempt"`
		Token   int64  `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.call(w, r, o.Token) {
		return
	}
	n.highest[o.Task] = max(n.highest[o.Task], o.Attempt)
	if a := n.runs[o.Task]; a != nil && a.attempt <= o.Attempt && a.stoppedAt.IsZero() {
		a.stoppedAt = time.Now().Add(stopTime)
		n.w.rec.line("minion %s is told to stop %s attempt %d, at %d percent", n.id, o.Task, a.attempt, a.percent(time.Now()))
		n.w.stopping(n, a, "a stop")
	}
	reply(w, 200, map[string]any{"clock_ms": n.clock()})
}

func (n *minion) pace(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Token int64 `json:"fencing_token"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.call(w, r, o.Token) {
		reply(w, 200, map[string]any{"clock_ms": n.clock()})
	}
}

// maxListedEnds is the number of ends in an answer.
const maxListedEnds = 500

func (n *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Token    int64 `json:"fencing_token"`
		Observed int64 `json:"observed"`
		Expires  int64 `json:"expires_ms"`
		WaitMS   int64 `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	n.mu.Lock()
	if !n.call(w, r, o.Token) {
		n.mu.Unlock()
		return
	}
	if o.Expires > 0 {
		n.extend(o.Expires)
	}
	for len(n.ended) > 0 && n.ended[0][0].(int64) <= o.Observed {
		n.w.noted(n.ended[0])
		n.ended = n.ended[1:]
	}
	wake, waits := n.wake, len(n.ended) == 0 && o.WaitMS > 0
	n.mu.Unlock()
	if waits {
		select {
		case <-wake:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now, running := time.Now(), [][]any{}
	for _, a := range n.runs {
		running = append(running, []any{a.task, a.attempt, "", a.percent(now), 10})
	}
	reply(w, 200, map[string]any{
		"clock_ms": n.clock(), "born": n.born.UnixMilli(), "running": running, "ended": append([][]any{}, n.ended[:min(len(n.ended), maxListedEnds)]...),
	})
}

// work ends runs that are done, stopped or without a lease.
func (n *minion) work() {
	for n.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		n.mu.Lock()
		now := time.Now()
		for _, a := range n.runs {
			switch {
			case !a.stoppedAt.IsZero() && now.After(a.stoppedAt):
				n.end(a, "stopped")
			case !a.endsAt.IsZero() && now.After(a.endsAt):
				n.end(a, "done")
			case n.clock() > n.expires:
				n.end(a, "lapsed")
			}
		}
		n.mu.Unlock()
	}
}

// end ends a run and lists its end. n.mu is held.
func (n *minion) end(a *run, how string) {
	delete(n.runs, a.task)
	n.highest[a.task] = max(n.highest[a.task], a.attempt)
	n.endCount++
	n.ended = append(n.ended, []any{n.endCount, a.task, a.attempt, how, ""})
	n.w.rec.line("minion %s ends %s attempt %d: %s", n.id, a.task, a.attempt, how)
	n.w.over(n, a, how)
	close(n.wake)
	n.wake = make(chan struct{})
}

// crash ends the minion and all that it runs. Its entry stays until three heartbeats are missing.
func (n *minion) crash(why string) {
	n.die(why)
	_ = n.server.Close()
}

// die ends the minion and all that it runs. Its machine does not answer until the server is closed.
func (n *minion) die(why string) {
	n.mu.Lock()
	if n.dead {
		n.mu.Unlock()
		return
	}
	n.dead = true
	n.w.rec.line("minion %s is gone: %s", n.id, why)
	for _, a := range n.runs {
		n.w.over(n, a, "gone with its minion")
	}
	n.runs = make(map[string]*run)
	n.mu.Unlock()
	n.cancel()
}
