package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// delay is a proxy before one minion. It passes calls on to the minion's present life, and holds
// the starts of one job that come while holding is set: they get no answer.
type delay struct {
	rec *record

	mu      sync.Mutex
	target  string // address of the present life, or empty
	holding bool
	held    []heldCall
}

// heldCall is a call that gets no answer and is carried out late.
type heldCall struct {
	header http.Header
	path   string
	body   []byte
	at     time.Duration
}

func (d *delay) set(target string, holding bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.target, d.holding = target, holding
}

// ServeHTTP implements http.Handler.
func (d *delay) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	d.mu.Lock()
	target, hold := d.target, d.holding && r.URL.Path == "/v1/run-start"
	if hold {
		d.held = append(d.held, heldCall{r.Header.Clone(), r.URL.Path, body, d.rec.now()})
	}
	d.mu.Unlock()
	if hold {
		d.rec.printf("proxy: holds %s %s", r.URL.Path, body)
		<-r.Context().Done()
		return
	}
	resp, err := send(target, r.URL.Path, r.Header, body)
	if err != nil {
		panic(http.ErrAbortHandler) // resets the connection
	}
	defer func() { _ = resp.Body.Close() }()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(rw, resp.Body)
}

// send passes a call on to a minion.
func send(target, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequest("POST", "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	return http.DefaultClient.Do(req)
}

// deliver passes on what was held, for the first time.
func (d *delay) deliver() {
	d.mu.Lock()
	held, target := d.held, d.target
	d.held = nil
	d.mu.Unlock()
	for _, c := range held[:min(1, len(held))] {
		resp, err := send(target, c.path, c.header, c.body)
		if err != nil {
			d.rec.printf("proxy: failed to deliver: %v", err)
			continue
		}
		_ = resp.Body.Close()
		d.rec.printf("proxy: delivers what it held for %.1f s: %d", (d.rec.now() - c.at).Seconds(), resp.StatusCode)
	}
}

// lateCase has one minion carry out a start late, after it has crashed and started again under its
// id.
func lateCase(w *world) (verdict, string) {
	const minions = 12
	t := tenant{name: "one", key: "key-one", cpu: 0}
	label := func(i int) []string {
		if i == 0 {
			return []string{"s"}
		}
		return nil
	}
	if err := w.addMinions(minions, label); err != nil {
		return couldNot, err.Error()
	}
	m := w.minions[0]
	d := &delay{rec: w.rec, target: m.addr}
	addr, err := listen(d)
	if err != nil {
		return couldNot, err.Error()
	}
	m.publicAddr = addr
	m.report(w.store)
	w.store.put(map[string]any{"op/config": w.config(routes, []tenant{t})})
	if err := w.startNodes(3); err != nil {
		return couldNot, err.Error()
	}
	time.Sleep(4 * time.Second) // the minion's clock is well ahead of that of its next life

	// The first task of the job goes to the minion, by its id.
	job := jobID()
	d.set(m.addr, w.trouble)
	if !w.submit(batch, t.key, job, behaviour{MS: 15_000}, step{Count: 2, CPU: 20_000, MemMB: 1024, EstimateMS: 15_000}) {
		return couldNot, "the job was not accepted"
	}
	time.Sleep(1200 * time.Millisecond)
	d.set(m.addr, false)
	// Urgent work waits for the minion, so that the task is started elsewhere.
	w.submit(urgent, t.key, jobID(), behaviour{MS: 1500}, step{Count: 1, CPU: 25_000, MemMB: 1024, EstimateMS: 1500, Requirements: "s"})
	time.Sleep(3300 * time.Millisecond)
	if w.running(job) != 2 {
		return couldNot, fmt.Sprintf("%d tasks of the job run", w.running(job))
	}
	if w.trouble {
		w.rec.printf("minion %s crashes", m.id)
		m.crash()
		time.Sleep(400 * time.Millisecond)
		next := newMinion(w.rec, w.runsOf, m.id, m.zone, m.service, m.cpu, m.memMB, m.labels)
		next.publicAddr = addr
		if err := next.serve("127.0.0.1", w.store); err != nil {
			return couldNot, err.Error()
		}
		w.minions[0] = next
		d.set(next.addr, false)
		w.rec.printf("minion %s is back under its id", next.id)
		time.Sleep(20 * time.Millisecond)
		d.deliver()
	}
	time.Sleep(4 * time.Second)
	w.runsOf.mu.Lock()
	defer w.runsOf.mu.Unlock()
	if len(w.runsOf.both) > 0 {
		return broken, strings.Join(w.runsOf.both, "; ")
	}
	return held, "no task ran twice"
}
