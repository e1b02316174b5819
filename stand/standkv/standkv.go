// Package standkv is the stand-in of the platform's key-value service, in the
// form of the etcd v3 JSON gateway.
//
// # Usage
//
//	srv := standkv.New(standkv.Config{}, clock.New())
//	ln, err := httpd.Listen("127.0.0.1:2379")
//	err = srv.Serve(ln)
//
// Served: /v3/kv/range, /v3/kv/txn, /v3/watch, /v3/lease/grant, keepalive and
// revoke. POST /control injects faults, GET /control/stats returns counts and
// the history of writes. docs/PROTOCOLS.md describes all of them.
package standkv

import (
	"bytes"
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/stand/httpd"
)

// Config holds the settings of the service.
type Config struct {
	// WritesPerSecond and ReadsPerSecond are the rates above which calls are
	// answered with 429.
	WritesPerSecond int
	ReadsPerSecond  int
	// LogEntries bounds the changes that a watch may start from; 0 means the
	// bound of store.NewMemory.
	LogEntries int
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.WritesPerSecond == 0 {
		c.WritesPerSecond = 300
	}
	if c.ReadsPerSecond == 0 {
		c.ReadsPerSecond = 2000
	}
}

// Control is the body of POST /control; it replaces the faults set before.
type Control struct {
	// Down closes every call without an answer and ends all watches.
	Down bool `json:"down"`
	// SlowMS delays every call before it is taken up.
	SlowMS int64 `json:"slow_ms"`
	// LoseReplyEvery applies every n-th write and closes its connection
	// without an answer; Seed chooses which of the n writes that is.
	LoseReplyEvery int64 `json:"lose_reply_every"`
	Seed           int64 `json:"seed"`
}

// Server is the service with its HTTP interface.
type Server struct {
	*httpd.Server
	clk clock.Clock
	mem *store.Memory

	// writes is held from the check of a transaction to its record in the
	// history, so that history and leases follow the order of revisions.
	writes sync.Mutex
	leases *leases

	mu      sync.Mutex
	control Control
	upset   chan struct{}
	sent    int64
	counts  counts
	history history
}

// New returns an empty service.
func New(cfg Config, clk clock.Clock) *Server {
	cfg.Defaults()
	s := &Server{
		clk: clk, mem: newMemory(cfg), leases: newLeases(), upset: make(chan struct{}),
		counts: newCounts(cfg), history: history{maxCount: historyCount, maxBytes: historyBytes},
	}
	s.Server = httpd.New(s.handle)
	return s
}

func newMemory(cfg Config) *store.Memory {
	if cfg.LogEntries == 0 {
		return store.NewMemory()
	}
	return store.NewMemoryBounded(cfg.LogEntries, math.MaxInt)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control" && ctx.IsPost():
		s.handleControl(ctx)
	case path == "/control/stats" && ctx.IsGet():
		s.stats(ctx)
	case ctx.IsPost() && bytes.HasPrefix(ctx.Path(), []byte("/v3/")):
		s.call(ctx, path)
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	var c Control
	if !httpd.Decode(ctx, &c) {
		return
	}
	s.SetControl(c)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// SetControl replaces the injected faults; going down ends all watches.
func (s *Server) SetControl(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = c
	s.sent = 0
	if c.Down {
		close(s.upset)
		s.upset = make(chan struct{})
	}
}

func (s *Server) faults() Control {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control
}

var kinds = map[string]kind{
	"/v3/kv/range":        kindRange,
	"/v3/kv/txn":          kindTxn,
	"/v3/watch":           kindWatch,
	"/v3/lease/grant":     kindLease,
	"/v3/lease/keepalive": kindLease,
	"/v3/lease/revoke":    kindLease,
}

func (s *Server) call(ctx *fasthttp.RequestCtx, path string) {
	if c := s.faults(); c.SlowMS > 0 {
		<-s.clk.After(time.Duration(c.SlowMS) * time.Millisecond)
	}
	if s.faults().Down {
		s.counts.dropped(&s.mu)
		httpd.Drop(ctx)
		return
	}
	k, ok := kinds[path]
	if !ok {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such call")
		return
	}
	if !s.admit(k) {
		httpd.Refuse(ctx, fasthttp.StatusTooManyRequests, "too many requests")
		return
	}
	s.expire()
	switch path {
	case "/v3/kv/range":
		s.rangeKeys(ctx)
	case "/v3/kv/txn":
		s.txn(ctx)
	case "/v3/watch":
		s.watch(ctx)
	case "/v3/lease/grant":
		s.grant(ctx)
	case "/v3/lease/keepalive":
		s.keepalive(ctx)
	case "/v3/lease/revoke":
		s.revoke(ctx)
	}
	if k.write() && ctx.Response.StatusCode() == fasthttp.StatusOK && s.loses() {
		httpd.Drop(ctx)
	}
}

// loses reports whether the reply of this write is lost.
func (s *Server) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.control.LoseReplyEvery
	if n <= 0 {
		return false
	}
	s.sent++
	if (s.sent+s.control.Seed)%n != 0 {
		return false
	}
	s.counts.lost++
	return true
}
