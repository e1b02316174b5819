package standkv

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/stand/httpd"
)

type kind string

const (
	kindRange kind = "range"
	kindTxn   kind = "txn"
	kindWatch kind = "watch"
	kindLease kind = "lease"
)

func (k kind) write() bool { return k == kindTxn || k == kindLease }

// counts holds the number of calls in total and in the current second.
type counts struct {
	cfg                                Config
	byKind                             map[kind]int64
	refused, lostReplies, droppedCalls int64
	windowStart                        clock.Mono
	reads, writes                      int
	peakReads, peakWrites              int
	watches                            int
}

func newCounts(cfg Config) counts { return counts{cfg: cfg, byKind: map[kind]int64{}} }

func (c *counts) countDropped(mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
	c.droppedCalls++
}

// admit counts a call and reports whether it is within the rate limit of its kind.
func (s *Server) admit(k kind) bool {
	now := s.clk.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.reads, c.writes = now, 0, 0
	}
	n, limit, peak := &c.reads, c.cfg.ReadsPerSecond, &c.peakReads
	if k.write() {
		n, limit, peak = &c.writes, c.cfg.WritesPerSecond, &c.peakWrites
	}
	if *n >= limit {
		c.refused++
		return false
	}
	*n++
	*peak = max(*peak, *n)
	c.byKind[k]++
	return true
}

// Stats is the response to GET /control/stats.
type Stats struct {
	Calls            map[string]int64 `json:"calls"`
	Total            int64            `json:"total"`
	Reads            int64            `json:"reads"`
	Writes           int64            `json:"writes"`
	Refused          int64            `json:"refused"`
	Dropped          int64            `json:"dropped"`
	LostReplies      int64            `json:"lost_replies"`
	PeakReadsPerSec  int              `json:"peak_reads_per_second"`
	PeakWritesPerSec int              `json:"peak_writes_per_second"`
	Watches          int              `json:"watches"`
	Revision         int64            `json:"revision"`
	HistoryDropped   int64            `json:"history_dropped"`
	History          []Write          `json:"history,omitempty"`
}

// Write is one change of one key in the history.
type Write struct {
	Revision int64  `json:"revision"`
	AtUnixMS int64  `json:"at_unix_ms"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	// Size is the length of the value. Value is empty if it exceeds
	// maxHistoryValueBytes.
	Size    int  `json:"size"`
	Deleted bool `json:"deleted,omitempty"`
}

// Stats returns the counts so far, without the history.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	out := Stats{
		Calls: map[string]int64{}, Refused: c.refused, Dropped: c.droppedCalls, LostReplies: c.lostReplies,
		PeakReadsPerSec: c.peakReads, PeakWritesPerSec: c.peakWrites, Watches: c.watches,
		Revision: s.mem.Revision(), HistoryDropped: s.history.dropped,
	}
	for k, n := range c.byKind {
		out.Calls[string(k)] = n
		out.Total += n
		if k.write() {
			out.Writes += n
			continue
		}
		out.Reads += n
	}
	return out
}

// History returns the writes of keys with the prefix, starting at revision from.
func (s *Server) History(prefix string, from int64) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []Write{}
	for _, w := range s.history.writes {
		if w.Revision >= from && strings.HasPrefix(w.Key, prefix) {
			out = append(out, w)
		}
	}
	return out
}

func (s *Server) stats(ctx *fasthttp.RequestCtx) {
	out := s.Stats()
	if q := ctx.QueryArgs(); q.Has("history") {
		out.History = s.History(string(q.Peek("history")), int64(q.GetUintOrZero("from")))
	}
	httpd.JSON(ctx, fasthttp.StatusOK, out)
}

// Limits of the history. Values above maxHistoryValueBytes are buckets of job records,
// whose content no check reads from the history.
const (
	maxHistoryValueBytes = 64 << 10
	maxHistoryBytes      = 256 << 20
	maxHistoryWrites     = 500_000
)

// history holds the most recent writes: at most maxCount of them, with at most
// maxBytes of values in total.
type history struct {
	maxCount, maxBytes int
	writes             []Write
	bytes              int
	dropped            int64
}

func (h *history) add(rev int64, at time.Time, o store.Op) {
	w := Write{Revision: rev, AtUnixMS: at.UnixMilli(), Key: o.Key(), Size: len(o.Value()), Deleted: o.IsDelete()}
	if w.Size <= maxHistoryValueBytes {
		w.Value = o.Value()
	}
	h.writes = append(h.writes, w)
	h.bytes += len(w.Value)
	for len(h.writes) > h.maxCount || h.bytes > h.maxBytes {
		h.bytes -= len(h.writes[0].Value)
		h.writes[0] = Write{}
		h.writes = h.writes[1:]
		h.dropped++
	}
}
