package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// holdMax is the longest lease of a minion.
	holdMax = 10 * time.Second
	// stopTime is how long a minion takes to stop a run, startupTime how long a task that lasts
	// takes until it is at work.
	stopTime    = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
	// maxListedEnds is the number of ended runs in one answer.
	maxListedEnds = 500
)

// behaviour is what the tasks of a job do. It is the job's spec.
type behaviour struct {
	MS    int  `json:"ms"`    // how long a task runs
	Lasts bool `json:"lasts"` // whether it runs until it is stopped
	Fails bool `json:"fails"` // whether it ends as failed
}

// end is a run that ended.
type end struct {
	seq     int64
	task    string
	attempt int
	how     string
}

// start is a task that was started, and when.
type start struct {
	task string
	at   time.Time
}

// minion runs tasks. It starts whatever it is instructed to start.
type minion struct {
	id, zone, service, addr string
	cpu, memMB              int
	labels                  []string
	rec                     *record
	born                    int64
	started                 time.Time
	// maxConns is the number of connections that are open at a time; a further one is closed at
	// once. idleTimeout is when an unused one is closed.
	maxConns    int64
	idleTimeout time.Duration
	conns       atomic.Int64
	refused     atomic.Int64
	// unhealthy is whether starts are answered with 503.
	unhealthy atomic.Bool

	mu sync.Mutex
	// runsOf has the runs of all minions, by task.
	runsOf *runsOf
	srv    *http.Server
	// publicAddr is the address that the entry names, if another one than the minion's own.
	publicAddr string

	dead     bool // crashed
	token    int64
	expires  int64 // of the lease, on the minion's clock
	running  map[string]*taskRun
	highest  map[string]int // attempts up to this one are rejected, by task
	ends     []end
	lastSeq  int64
	wake     chan struct{}
	starts   []start
	callers  map[int64]bool // fencing tokens seen
	sequence int64
}

type taskRun struct {
	attempt int
	since   time.Time
	b       behaviour
	stopped bool
}

func newMinion(rec *record, runs *runsOf, id, zone, service string, cpu, memMB int, labels []string) *minion {
	return &minion{
		id: id, zone: zone, service: service, cpu: cpu, memMB: memMB, labels: labels, rec: rec, runsOf: runs,
		born: time.Now().UnixMilli(), started: time.Now(), maxConns: 64, idleTimeout: 60 * time.Second,
		running: make(map[string]*taskRun), highest: make(map[string]int), wake: make(chan struct{}), callers: make(map[int64]bool),
	}
}

// limitedListener closes connections beyond the minion's limit.
type limitedListener struct {
	net.Listener
	m *minion
}

type countedConn struct {
	net.Conn
	once sync.Once
	m    *minion
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.m.conns.Add(-1) })
	return c.Conn.Close()
}

func (l limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.m.conns.Add(1) > l.m.maxConns {
			l.m.conns.Add(-1)
			l.m.refused.Add(1)
			_ = c.Close()
			continue
		}
		return &countedConn{Conn: c, m: l.m}, nil
	}
}

// serve listens on a free port of an address and reports the minion to the store.
func (m *minion) serve(host string, st *store) error {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	m.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.start)
	mux.HandleFunc("POST /v1/run-stop", m.stop)
	mux.HandleFunc("POST /v1/hold", m.hold)
	mux.HandleFunc("POST /v1/pace", m.pace)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limpethitch-Instance-Id", m.id)
		w.WriteHeader(200)
	})
	m.srv = &http.Server{Handler: mux, IdleTimeout: m.idleTimeout}
	go func() { _ = m.srv.Serve(limitedListener{l, m}) }()
	go m.watchLease()
	m.report(st)
	go func() {
		for range time.Tick(heartbeat) {
			if m.isDead() {
				return
			}
			m.report(st)
		}
	}()
	return nil
}

func (m *minion) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

// crash ends the minion and all that runs on it.
func (m *minion) crash() {
	m.mu.Lock()
	m.dead = true
	for task := range m.running {
		m.runsOf.end(task, m.id)
	}
	m.running = make(map[string]*taskRun)
	m.mu.Unlock()
	_ = m.srv.Close()
}

// report writes the minion's entry to the store.
func (m *minion) report(st *store) {
	m.mu.Lock()
	m.sequence++
	seq := m.sequence
	m.mu.Unlock()
	st.put(map[string]any{"servers/" + m.id: map[string]any{
		"service": m.service, "address": cmp.Or(m.publicAddr, m.addr), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(), "sequence": seq, "born": m.born,
	}})
}

func (m *minion) clock() int64 { return time.Since(m.started).Milliseconds() + 1000 }

// order is the body of a call.
type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Expires  int64  `json:"expires_ms"`
	Token    int64  `json:"fencing_token"`
	Observed int64  `json:"observed"`
	WaitMS   int64  `json:"wait_ms"`
}

// accept decodes a call and checks its incarnation and its token. The caller holds m.mu after
// a true.
func (m *minion) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(w, 400, struct{}{})
		return o, false
	}
	if want := r.Header.Get("Limpethitch-Expected-Instance"); want != "" && want != m.id {
		reply(w, 421, struct{}{})
		return o, false
	}
	m.mu.Lock()
	if o.Token < m.token {
		m.mu.Unlock()
		m.refuse(w, "fence")
		return o, false
	}
	m.token = o.Token
	return o, true
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	reply(w, 409, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.born})
}

// extend extends the lease. The caller holds m.mu.
func (m *minion) extend(expires int64) {
	m.expires = max(m.expires, min(expires, m.clock()+holdMax.Milliseconds()))
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	defer m.mu.Unlock()
	if m.unhealthy.Load() {
		m.rec.printf("minion %s answers 503 to the start of %s attempt %d", m.id, o.Task, o.Attempt)
		reply(w, 503, struct{}{})
		return
	}
	run := m.running[o.Task]
	switch {
	case run != nil && run.attempt == o.Attempt:
		m.extend(o.Expires)
		reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born})
		return
	case run != nil || o.Attempt <= m.highest[o.Task]:
		m.extend(o.Expires)
		m.refuse(w, "old")
		return
	case m.clock() > o.Expires:
		m.refuse(w, "late")
		return
	}
	var b behaviour
	if err := json.Unmarshal([]byte(o.Spec), &b); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	m.extend(o.Expires)
	run = &taskRun{attempt: o.Attempt, since: time.Now(), b: b}
	m.running[o.Task] = run
	m.starts = append(m.starts, start{o.Task, time.Now()})
	m.rec.printf("minion %s (%s) starts %s attempt %d, token %d", m.id, m.zone, o.Task, o.Attempt, o.Token)
	m.runsOf.start(o.Task, m.id)
	if !b.Lasts {
		how := "done"
		if b.Fails {
			how = "failed"
		}
		time.AfterFunc(time.Duration(b.MS)*time.Millisecond, func() { m.finish(o.Task, o.Attempt, how) })
	}
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born})
}

// finish ends a run unless it has ended.
func (m *minion) finish(task string, attempt int, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run := m.running[task]
	if run == nil || run.attempt != attempt {
		return
	}
	delete(m.running, task)
	m.runsOf.end(task, m.id)
	m.highest[task] = max(m.highest[task], attempt)
	m.lastSeq++
	m.ends = append(m.ends, end{m.lastSeq, task, attempt, how})
	m.rec.printf("minion %s (%s) ends %s attempt %d: %s", m.id, m.zone, task, attempt, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
	m.mu.Unlock()
	time.AfterFunc(stopTime, func() { m.finish(o.Task, o.Attempt, "stopped") })
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born})
}

func (m *minion) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.accept(w, r); !ok {
		return
	}
	m.mu.Unlock()
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born})
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.accept(w, r)
	if !ok {
		return
	}
	if !m.callers[o.Token] {
		m.callers[o.Token] = true
		m.rec.printf("minion %s is polled with token %d for the first time, %d connections open", m.id, o.Token, m.conns.Load())
	}
	if o.Expires > 0 {
		m.extend(o.Expires)
	}
	m.ends = slices.DeleteFunc(m.ends, func(e end) bool { return e.seq <= o.Observed })
	wake, idle := m.wake, len(m.ends) == 0
	m.mu.Unlock()
	if idle && o.WaitMS > 0 {
		select {
		case <-wake:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range m.running {
		running = append(running, []any{task, run.attempt, "", run.percent(), 500})
	}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		ended = append(ended, []any{e.seq, e.task, e.attempt, e.how, ""})
	}
	m.mu.Unlock()
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born, "running": running, "ended": ended})
}

// percent returns how much of its work a run has done.
func (r *taskRun) percent() int {
	since := time.Since(r.since)
	switch {
	case !r.b.Lasts:
		return int(min(99, since.Milliseconds()*100/int64(max(1, r.b.MS))))
	case since >= startupTime:
		return 100
	default:
		return 0
	}
}

// watchLease kills all runs when the lease has expired.
func (m *minion) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		lapsed := make(map[string]int)
		if m.clock() > m.expires {
			for task, run := range m.running {
				lapsed[task] = run.attempt
			}
		}
		m.mu.Unlock()
		for task, attempt := range lapsed {
			m.finish(task, attempt, "lapsed")
		}
	}
}

// begun returns how many tasks of a job were started here.
func (m *minion) begun(job string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.starts {
		if strings.HasPrefix(s.task, job+".") {
			n++
		}
	}
	return n
}

// startsSince returns how many tasks were started here from a time on.
func (m *minion) startsSince(t time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.starts {
		if !s.at.Before(t) {
			n++
		}
	}
	return n
}

// runs returns the number of tasks that run here, of a job or, with an empty name, of all.
func (m *minion) runs(job string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for task := range m.running {
		if job == "" || strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

// runsOf has the minions on which each task runs.
type runsOf struct {
	rec *record

	mu   sync.Mutex
	on   map[string][]string
	both []string // what ran twice at the same time
}

func (r *runsOf) start(task, minion string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range r.on[task] {
		r.rec.printf("%s runs on %s and on %s", task, other, minion)
		r.both = append(r.both, fmt.Sprintf("%s ran on %s and on %s at the same time", task, other, minion))
	}
	r.on[task] = append(r.on[task], minion)
}

func (r *runsOf) end(task, minion string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on[task] = slices.DeleteFunc(r.on[task], func(m string) bool { return m == minion })
}

func minionID(i int) string { return "i-" + strconv.Itoa(1000+i) }

func rackLabel(i int) string { return fmt.Sprintf("r1-%d", i/4) }
