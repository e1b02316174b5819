package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/stand/caller"
)

type interactiveLoad struct {
	Queue     string  `json:"queue"`
	Team      string  `json:"team"`
	PerSecond float64 `json:"per_second"`
	WorkMS    int64   `json:"work_ms"`
}

type jobLoad struct {
	Queue     string  `json:"queue"`
	Team      string  `json:"team"`
	PerSecond float64 `json:"per_second"`
	Members   int     `json:"members"`
	CPUMilli  int64   `json:"cpu_milli"`
	MemoryMiB int64   `json:"memory_mib"`
	RunMS     int64   `json:"run_ms"`
	DueMS     int64   `json:"due_ms"`
}

// sent is one request with its result.
type sent struct {
	id         string
	team       string
	repeatable bool
	atMS       int64
	waitMS     int64
	queue      string
	code       rcode.Code
	err        string
}

// job is one accepted job.
type job struct {
	id, key string
	load    jobLoad
	atMS    int64
	dueMS   int64
	state   string
	code    rcode.Code
	endMS   int64
	cancel  bool
	reason  string
}

// load offers all kinds of work and remembers what became of each piece.
type load struct {
	c      *cluster
	caller *caller.Caller
	clk    clock.Clock
	rng    *rand.Rand

	mu   sync.Mutex
	sent []sent
	jobs []*job
	// refused counts submissions by code.
	refused map[rcode.Code]int
	wg      sync.WaitGroup
}

func newLoad(c *cluster, seed uint64) *load {
	l := &load{c: c, clk: clock.New(), rng: rand.New(rand.NewPCG(seed, seed)), refused: map[rcode.Code]int{}}
	l.caller = caller.New(caller.Config{}, l.clk)
	l.refresh()
	return l
}

// refresh tells the caller which entry VMs the balancer knows.
func (l *load) refresh() {
	var addrs []string
	for _, e := range l.c.live() {
		addrs = append(addrs, e.http)
	}
	l.caller.SetAddrs(addrs)
}

// run offers load for length; arrivals are spread evenly with jitter from the
// seed.
func (l *load) run(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	var streams sync.WaitGroup
	for i, in := range l.c.dep.Load.Interactive {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), uint64(i)))
		streams.Go(func() {
			l.stream(ctx, end, in.PerSecond, rng, func(n int) { l.request(ctx, in, n) })
		})
	}
	for i, in := range l.c.dep.Load.Jobs {
		rng := rand.New(rand.NewPCG(l.rng.Uint64(), uint64(100+i)))
		seed := l.rng.Uint64()
		streams.Go(func() {
			l.stream(ctx, end, in.PerSecond, rng, func(n int) { l.submit(ctx, in, rand.New(rand.NewPCG(seed, uint64(n)))) })
		})
	}
	streams.Wait()
}

func (l *load) stream(ctx context.Context, end time.Time, perSecond float64, rng *rand.Rand, fn func(n int)) {
	gap := time.Duration(float64(time.Second) / perSecond)
	next := time.Now().Add(time.Duration(rng.Float64() * float64(gap)))
	for n := 0; next.Before(end); n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		l.wg.Go(func() { fn(n) })
		next = next.Add(time.Duration((0.5 + rng.Float64()) * float64(gap)))
	}
}

func (l *load) request(ctx context.Context, in interactiveLoad, n int) {
	s := sent{team: in.Team, repeatable: n%2 == 0, atMS: time.Now().UnixMilli()}
	r := caller.Request{
		Queue: in.Queue, Class: in.Queue, Key: l.c.secrets[in.Team], Deadline: time.Now().Add(10 * time.Second),
		Repeatable: s.repeatable, WorkMS: in.WorkMS, Body: fmt.Appendf(nil, "%s/%s/%d", in.Queue, in.Team, n),
	}
	if !s.repeatable {
		s.id = newID()
		r.ID = s.id
	}
	res := l.caller.Send(ctx, r)
	s.code, s.queue, s.waitMS = res.Code(), in.Queue, res.Latency().Milliseconds()
	if res.Err() != nil {
		s.err = res.Err().Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// submit offers one job. Its declared run time and size are wrong by up to 3
// times in either direction; the size that it uses is below what it declares.
func (l *load) submit(ctx context.Context, in jobLoad, rng *rand.Rand) {
	wrong := 1.0 / 3
	if rng.IntN(2) == 0 {
		wrong = 3
	}
	due := int64(0)
	if in.DueMS > 0 {
		due = time.Now().UnixMilli() + in.DueMS
	}
	run := in.RunMS/2 + rng.Int64N(in.RunMS)
	doc := map[string]any{
		"queue": in.Queue, "members": in.Members, "size": map[string]int64{"cpu_milli": in.CPUMilli, "memory_mib": in.MemoryMiB},
		"run_ms": int64(float64(in.RunMS) * wrong), "deadline_unix_ms": due, "repeatable": rng.IntN(4) > 0,
		"payload": map[string]any{
			"run_ms": run, "use": map[string]int64{"cpu_milli": in.CPUMilli * (2 + rng.Int64N(8)) / 10, "memory_mib": in.MemoryMiB * 6 / 10},
		},
	}
	if due == 0 {
		delete(doc, "deadline_unix_ms")
		doc["repeatable"] = true
	}
	j, res := l.caller.Submit(ctx, in.Queue+" (accept)", l.c.secrets[in.Team], doc)
	l.mu.Lock()
	defer l.mu.Unlock()
	if res.Code() != rcode.OK || j.ID == "" {
		l.refused[res.Code()]++
		return
	}
	l.jobs = append(l.jobs, &job{
		id: j.ID, key: l.c.secrets[in.Team], load: in, atMS: time.Now().UnixMilli(), dueMS: due, state: j.State, cancel: rng.IntN(20) == 0,
	})
}

// finish waits until every accepted job but the services has ended.
func (l *load) finish(ctx context.Context) {
	l.wg.Wait()
	until := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 64)
	for _, j := range l.jobs {
		if j.load.DueMS == 0 {
			// A service runs on; its state is read once.
			wg.Go(func() { l.await(ctx, j, time.Now().Add(time.Millisecond)) })
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			l.await(ctx, j, until)
		})
	}
	wg.Wait()
}

func (l *load) await(ctx context.Context, j *job, until time.Time) {
	for time.Now().Before(until) && ctx.Err() == nil {
		wait := min(5*time.Second, time.Until(until))
		got, res := l.caller.WaitJob(ctx, j.load.Queue+" (status)", j.key, j.id, time.Now().Add(wait))
		if res.Code() == rcode.JobUnknown {
			j.state, j.code = "forgotten", res.Code()
			return
		}
		if got.State != "" {
			j.state, j.code = got.State, got.Code
			j.reason = reasonOf(res.Body())
			j.endMS = endOf(res.Body())
		}
		switch j.state {
		case "done", "failed", "cancelled", "unknown":
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func reasonOf(body []byte) string {
	var v struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return v.Reason
}

func endOf(body []byte) int64 {
	var v struct {
		EndedMS int64 `json:"ended_unix_ms"`
	}
	if json.Unmarshal(body, &v) != nil {
		return 0
	}
	return v.EndedMS
}

// save writes one line for each request, for a closer look at a run.
func (l *load) save(path string) error {
	var b strings.Builder
	b.WriteString("at_unix_ms,queue,team,id,repeatable,wait_ms,code,error\n")
	for _, s := range l.sent {
		fmt.Fprintf(&b, "%d,%s,%s,%s,%t,%d,%s,%q\n", s.atMS, s.queue, s.team, s.id, s.repeatable, s.waitMS, s.code, s.err)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
