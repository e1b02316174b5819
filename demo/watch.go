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

// sampleInterval is the time between two samples of all entry VMs.
const sampleInterval = 200 * time.Millisecond

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

// monitor samples the status reported by the entry VMs.
type monitor struct {
	cluster *cluster
	mu      sync.Mutex
	// maxVersion is the highest policy version that each VM reported; reverts counts
	// reports of a lower one afterwards.
	maxVersion map[string]int64
	reverts    int
	samples    int
	owners     map[string]string
	// peakRequests is the largest total of running requests of each team.
	peakRequests map[string]int64
	// leavingRuns is the number of runs of the leaving backend server at the time
	// after which it must receive no more requests.
	leavingRuns     int
	leavingRecorded bool
	// paused holds the VMs whose processes the demo has suspended.
	paused map[string]bool
	// hungVMs are VMs that stopped responding although their processes were running.
	hungVMs []string
}

func newMonitor(c *cluster) *monitor {
	return &monitor{cluster: c, maxVersion: map[string]int64{}, owners: map[string]string{}, peakRequests: map[string]int64{}, paused: map[string]bool{}}
}

func (w *monitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.sample()
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
}

func (w *monitor) sample() {
	requests := map[string]int64{}
	for _, e := range w.cluster.live() {
		if w.isPaused(e.name) {
			continue
		}
		_, body, err := call(fasthttp.MethodGet, "http://"+e.http+"/v1/status", nil, "")
		var s vmStatus
		if errors.Is(err, fasthttp.ErrTimeout) && !w.isPaused(e.name) {
			w.recordHung(e)
		}
		if err != nil || json.Unmarshal(body, &s) != nil {
			continue
		}
		w.mu.Lock()
		w.samples++
		if s.PolicyVersion < w.maxVersion[s.VM] {
			w.reverts++
		}
		w.maxVersion[s.VM] = max(w.maxVersion[s.VM], s.PolicyVersion)
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
		w.peakRequests[t] = max(w.peakRequests[t], n)
	}
}

// recordHung records a VM that accepts connections but does not respond. SIGQUIT makes
// it write its stack traces to its log and exit.
func (w *monitor) recordHung(e *entryVM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hungVMs = append(w.hungVMs, e.name)
	_ = e.cmd.Process.Signal(syscall.SIGQUIT)
}

// setPaused excludes a paused VM from the samples, or includes it again.
func (w *monitor) setPaused(name string, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused[name] = paused
}

func (w *monitor) isPaused(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paused[name]
}

func (w *monitor) owns(vm string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range w.owners {
		if o == vm {
			return true
		}
	}
	return false
}

// recordLeavingRuns records the number of runs of a leaving backend server so far.
func (w *monitor) recordLeavingRuns(m serverVM) {
	n, err := readRuns(m)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingRuns, w.leavingRecorded = n, true
}

func readRuns(m serverVM) (int, error) {
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
