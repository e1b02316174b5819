package main

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/amount"
	"limpethitch.example/stand/bckend"
)

// sampleEvery is the time between two looks at every entry VM.
const sampleEvery = 200 * time.Millisecond

type vmStatus struct {
	VM            string `json:"vm"`
	PolicyVersion int64  `json:"policy_version"`
	Shards        []struct {
		Shard string `json:"shard"`
		Owner string `json:"owner"`
		Epoch int64  `json:"epoch"`
	} `json:"shards"`
	Teams []struct {
		Team    string     `json:"team"`
		Running amount.Vec `json:"running"`
	} `json:"teams"`
}

// watch samples what the entry VMs say of themselves.
type watch struct {
	c  *cluster
	mu sync.Mutex
	// version is the highest that each process showed; reverts counts returns
	// to a lower one.
	version map[string]int64
	reverts int
	samples int
	owners  map[string]string
	// requests is the largest sum of running requests of each team.
	requests map[string]int64
	// leftRuns is the number of runs of the leaving backend server when nothing
	// more may reach it.
	leftRuns int
	left     bool
	// paused are VMs that the demo has stopped for a while.
	paused map[string]bool
	// stuck are VMs that stopped answering without having ended.
	stuck []string
}

func newWatch(c *cluster) *watch {
	return &watch{c: c, version: map[string]int64{}, owners: map[string]string{}, requests: map[string]int64{}, paused: map[string]bool{}}
}

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.sample()
		select {
		case <-ctx.Done():
		case <-time.After(sampleEvery):
		}
	}
}

func (w *watch) sample() {
	requests := map[string]int64{}
	for _, e := range w.c.live() {
		if w.skipped(e.name) {
			continue
		}
		_, body, err := call(fasthttp.MethodGet, "http://"+e.http+"/v1/status", nil, "")
		var s vmStatus
		if errors.Is(err, fasthttp.ErrTimeout) && !w.skipped(e.name) {
			w.hung(e)
		}
		if err != nil || json.Unmarshal(body, &s) != nil {
			continue
		}
		w.mu.Lock()
		w.samples++
		if s.PolicyVersion < w.version[s.VM] {
			w.reverts++
		}
		w.version[s.VM] = max(w.version[s.VM], s.PolicyVersion)
		for _, sh := range s.Shards {
			if sh.Owner == s.VM {
				w.owners[sh.Shard] = s.VM
			}
		}
		w.mu.Unlock()
		for _, t := range s.Teams {
			requests[t.Team] += t.Running.Requests()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for t, n := range requests {
		w.requests[t] = max(w.requests[t], n)
	}
}

// hung notes a VM that takes connections and does not answer, and has it write its
// stacks into its log, which ends it.
func (w *watch) hung(e *entryVM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stuck = append(w.stuck, e.name)
	_ = e.cmd.Process.Signal(syscall.SIGQUIT)
}

// skip leaves a paused VM out of the samples.
func (w *watch) skip(name string, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[name] = paused
}

func (w *watch) skipped(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused[name]
}

func (w *watch) owns(vm string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.owners {
		if o == vm {
			return true
		}
	}
	return false
}

// markLeft notes how much a leaving backend server had run by now.
func (w *watch) markLeft(m machine) {
	n, err := runsAt(m)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leftRuns, w.left = n, true
}

func runsAt(m machine) (int, error) {
	_, body, err := call(fasthttp.MethodGet, "http://"+m.addr+"/control/stats", nil, "")
	if err != nil {
		return 0, err
	}
	var s bckend.Stats
	if err := json.Unmarshal(body, &s); err != nil {
		return 0, err
	}
	total := 0
	for _, n := range s.Runs {
		total += n
	}
	return total, nil
}
