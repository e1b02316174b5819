package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	maxHoldWait = 2 * time.Second
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
	// minionClockStart is a minion's clock at its start, in milliseconds.
	minionClockStart = 1000
)

// start is one task that a minion began on an order.
type start struct {
	task, how string // how is empty while it runs
	attempt   int
	minion    string
	at, ended time.Time
	runTime   time.Duration
	seq       int64 // number of the end
	// noted is when an order's observed reached the end.
	noted time.Time
}

// end is the end of a run as a minion lists it.
type end struct {
	seq   int64
	start *start
}

// minion stands in for one minion. It starts whatever it is told to start.
type minion struct {
	w           *world
	id          string
	zone        string
	service     string
	addr        string
	born        time.Time
	mu          sync.Mutex
	fence       int64
	lease       int64 // on the minion's clock
	running     map[string]*start
	rejected    map[string]int // highest attempt that was stopped or ended, by task
	ends        []end
	lastSeq     int64
	changed     chan struct{}
	server      *http.Server
	heartbeatNo int64
	nextBeat    time.Time
	// failing is whether all that the minion starts fails.
	failing bool
	stopped chan struct{}
}

func newMinion(w *world, id, zone, service, addr string) *minion {
	return &minion{
		w: w, id: id, zone: zone, service: service, addr: addr, born: time.Now(), running: make(map[string]*start),
		rejected: make(map[string]int), changed: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (m *minion) clock() int64 { return minionClockStart + time.Since(m.born).Milliseconds() }

// run sends heartbeats and ends lapsed leases.
func (m *minion) run() {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	check := time.NewTicker(20 * time.Millisecond)
	defer check.Stop()
	m.heartbeat()
	for {
		select {
		case <-beat.C:
			if !m.w.store.isDown() {
				m.heartbeat()
			}
		case <-check.C:
			m.endLapsed()
		case <-m.stopped:
			return
		}
	}
}

func (m *minion) heartbeat() {
	m.heartbeatNo++
	m.mu.Lock()
	m.nextBeat = time.Now().Add(heartbeat)
	m.mu.Unlock()
	m.w.store.put("servers/"+m.id, map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": minionCPU, "mem_mb": minionMemMB, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": m.clock(), "sequence": m.heartbeatNo, "born": m.born.UnixMilli(),
	})
}

// endLapsed kills everything when the lease has expired.
func (m *minion) endLapsed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.running) == 0 || m.clock() < m.lease {
		return
	}
	for _, s := range m.running {
		m.finish(s, "lapsed")
	}
}

// finish ends a run. The caller holds m.mu.
func (m *minion) finish(s *start, how string) {
	if m.running[s.task] != s {
		return
	}
	delete(m.running, s.task)
	m.lastSeq++
	m.w.mu.Lock()
	s.how, s.ended, s.seq = how, time.Now(), m.lastSeq
	m.w.mu.Unlock()
	m.rejected[s.task] = max(m.rejected[s.task], s.attempt)
	m.ends = append(m.ends, end{seq: m.lastSeq, start: s})
	close(m.changed)
	m.changed = make(chan struct{})
}

// order is the body of a call.
type order struct {
	Task      string `json:"task"`
	Attempt   int    `json:"attempt"`
	Spec      string `json:"spec"`
	ExpiresMS int64  `json:"expires_ms"`
	Token     int64  `json:"fencing_token"`
	Ticket    string `json:"ticket"`
	Observed  int64  `json:"observed"`
	WaitMS    int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Limpethitch-Expected-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /healthz":
		w.WriteHeader(http.StatusOK)
	case "POST /v1/run-start":
		m.reply(w, m.start(o))
	case "POST /v1/run-stop":
		m.reply(w, m.stop(o))
	case "POST /v1/pace":
		m.reply(w, m.checkFence(o))
	case "POST /v1/hold":
		m.hold(w, r, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply answers with 200, or 409 and the reason.
func (m *minion) reply(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
	if reason == "" {
		writeJSON(w, http.StatusOK, body)
		return
	}
	body["reason"] = reason
	writeJSON(w, http.StatusConflict, body)
}

// checkFence returns "fence" for an order with a token lower than the highest seen.
func (m *minion) checkFence(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fenced(o)
}

func (m *minion) fenced(o order) string {
	if o.Token < m.fence {
		return "fence"
	}
	m.fence = o.Token
	return ""
}

func (m *minion) extend(expiresMS int64) {
	m.lease = max(m.lease, min(expiresMS, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) start(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason := m.fenced(o); reason != "" {
		return reason
	}
	if o.ExpiresMS < m.clock() {
		return "late"
	}
	m.extend(o.ExpiresMS)
	if s := m.running[o.Task]; s != nil && s.attempt == o.Attempt {
		return ""
	}
	if o.Attempt <= m.rejected[o.Task] {
		return "old"
	}
	if m.w.needsTicket(o.Task) && !m.w.adviser.valid(o.Task, m.id, o.Ticket) {
		return "ticket"
	}
	s := &start{task: o.Task, attempt: o.Attempt, minion: m.id, at: time.Now(), runTime: runTime(o.Spec)}
	m.running[o.Task] = s
	m.w.addStart(s)
	if size := m.w.gangSize(o.Task); size > 0 {
		m.w.joinGang(m, s, size)
		return ""
	}
	how := "done"
	if m.failing {
		how = "failed"
	}
	m.finishAfter(s.runTime, s, how)
	return ""
}

// finishAfter ends a run after a while.
func (m *minion) finishAfter(d time.Duration, s *start, how string) {
	time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(s, how)
	})
}

// listen serves the minion's address.
func (m *minion) listen() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	go m.run()
	return nil
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	close(m.stopped)
	_ = m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for _, s := range m.running {
		s.how, s.ended = "gone", time.Now()
	}
	clear(m.running)
}

// untilNextBeat returns the time until the next heartbeat.
func (m *minion) untilNextBeat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.nextBeat)
}

// setFailing has the minion fail all that it starts, or stop doing so.
func (m *minion) setFailing(failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = failing
}

// runTime reads the run time of a task from its spec, which is a number of milliseconds.
func runTime(spec string) time.Duration {
	ms, err := strconv.Atoi(spec)
	if err != nil {
		panic(fmt.Sprintf("the spec %q is not a number", spec))
	}
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) stop(o order) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if reason := m.fenced(o); reason != "" {
		return reason
	}
	m.rejected[o.Task] = max(m.rejected[o.Task], o.Attempt)
	if s := m.running[o.Task]; s != nil && s.attempt == o.Attempt {
		m.finishAfter(stopTime, s, "stopped")
	}
	return ""
}

// hold extends the lease, forgets observed ends and answers with both lists.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if reason := m.fenced(o); reason != "" {
		m.mu.Unlock()
		m.reply(w, reason)
		return
	}
	if o.ExpiresMS > 0 {
		m.extend(o.ExpiresMS)
	}
	m.observe(o.Observed)
	timeout := time.After(min(maxHoldWait, time.Duration(o.WaitMS)*time.Millisecond))
	for over := o.WaitMS == 0; len(m.ends) == 0 && !over; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, s := range m.running {
		percent := min(99, int(100*time.Since(s.at)/s.runTime))
		running = append(running, []any{s.task, s.attempt, "", percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		ended = append(ended, []any{e.seq, e.start.task, e.start.attempt, e.start.how, ""})
	}
	unlisted := len(m.ends) - len(ended)
	m.mu.Unlock()
	if unlisted > 0 {
		m.w.rec.log("minion %s lists %d running, %d ended; %d further ends wait for the next answer", m.id, len(running), len(ended), unlisted)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "ended": ended})
}

// observe forgets the ends up to a number. The caller holds m.mu.
func (m *minion) observe(through int64) {
	for len(m.ends) > 0 && m.ends[0].seq <= through {
		m.w.mu.Lock()
		m.ends[0].start.noted = time.Now()
		m.w.mu.Unlock()
		m.ends = m.ends[1:]
	}
}

// stepOf returns the name of a task's step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
