// Package bckend is the stand-in of a backend server: it answers requests in a
// bounded number of slots and connections and counts what it ran.
//
// # Usage
//
//	b := bckend.New(bckend.Config{ID: "b1", Service: "badges"}, clock.New())
//	ln, err := httpd.Listen("127.0.0.1:9500")
//	err = b.Serve(ln)
//
// The response to a POST is the request's id, a line feed and the request's
// body, so that a caller can check that it got its own and the whole of it.
// docs/PROTOCOLS.md describes headers, faults and stats.
package bckend

import (
	"bytes"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/stand/httpd"
)

// Headers of the protocol between entry VMs and backend servers.
const (
	HeaderID     = "X-Request-Id"
	HeaderWorkMS = "X-Work-Ms"
	// ArgWorkMS is the query argument with the meaning of HeaderWorkMS, which an
	// entry VM passes on.
	ArgWorkMS     = "work_ms"
	HeaderOutcome = "X-Outcome"
	OutcomeNotRun = "not-run"
)

// controlConns is how many connections beyond the bound are accepted, so that
// control calls get through while all others are taken.
const controlConns = 16

// Config holds the settings of a backend server.
type Config struct {
	ID, Service string
	// Slots and Connections default to 8 and 64.
	Slots, Connections int
	// WorkMS is the time a request takes without X-Work-Ms; 0 means 5.
	WorkMS int64
	// OversizeBytes is the size of a response under the fault oversize; 0
	// means 16 MiB.
	OversizeBytes int
	// Seed is that of the failures chosen by fail_rate.
	Seed uint64
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.Slots == 0 {
		c.Slots = 8
	}
	if c.Connections == 0 {
		c.Connections = 64
	}
	if c.WorkMS == 0 {
		c.WorkMS = 5
	}
	if c.OversizeBytes == 0 {
		c.OversizeBytes = 16 << 20
	}
}

// Control is the body of POST /control; it replaces the faults set before.
type Control struct {
	// FailRate is the part of requests answered with 500 after they ran.
	FailRate float64 `json:"fail_rate"`
	// SlowMS lengthens the work of each request.
	SlowMS int64 `json:"slow_ms"`
	// Truncate closes the connection in the middle of each response.
	Truncate bool `json:"cut"`
	// Misdeliver answers each request with the response of the one before it.
	Misdeliver bool `json:"cross"`
	// LateMS delays each response after its slot is free again.
	LateMS int64 `json:"late_ms"`
	// Oversize answers with OversizeBytes of body.
	Oversize bool `json:"oversize"`
	// Leaving refuses new requests; running ones are completed.
	Leaving bool `json:"leaving"`
}

// Backend is one backend server with its HTTP interface.
type Backend struct {
	*httpd.Server
	cfg Config
	clk clock.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	control Control
	running int
	conns   int
	open    int
	// crossed is the response kept back under the fault cross.
	crossed reply
	stats   Stats
	runs    runs
}

type reply struct {
	id   string
	body []byte
}

// New returns an idle backend server.
func New(cfg Config, clk clock.Clock) *Backend {
	cfg.Defaults()
	b := &Backend{cfg: cfg, clk: clk, rng: rand.New(rand.NewPCG(cfg.Seed, 0)), runs: newRuns(runsSize)}
	b.stats.ID, b.stats.Service, b.stats.Seed = cfg.ID, cfg.Service, cfg.Seed
	b.Server = httpd.New(b.handle)
	return b
}

// Serve answers connections of ln until Close.
func (b *Backend) Serve(ln net.Listener) error { return b.Server.Serve(&bounded{Listener: ln, b: b}) }

// SetControl replaces the injected faults.
func (b *Backend) SetControl(c Control) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control = c
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control" && ctx.IsPost():
		var c Control
		if httpd.Decode(ctx, &c) {
			b.SetControl(c)
			ctx.SetStatusCode(fasthttp.StatusNoContent)
		}
	case path == "/control/stats" && ctx.IsGet():
		httpd.JSON(ctx, fasthttp.StatusOK, b.Stats())
	case path == "/healthz" && ctx.IsGet():
		b.health(ctx)
	case ctx.IsPost():
		b.work(ctx)
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (b *Backend) health(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.control.Leaving {
		httpd.Refuse(ctx, fasthttp.StatusServiceUnavailable, "leaving")
	}
}

func refuse(ctx *fasthttp.RequestCtx, id, reason string) {
	httpd.Refuse(ctx, fasthttp.StatusServiceUnavailable, reason)
	ctx.Response.Header.Set(HeaderID, id)
	ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
}

// take occupies a slot, or refuses the request before any of its work.
func (b *Backend) take(ctx *fasthttp.RequestCtx, id string) (Control, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.count(ctx.Conn()):
		b.stats.RefusedConnections++
		ctx.SetConnectionClose()
		refuse(ctx, id, "all connections are taken")
	case b.control.Leaving:
		b.stats.Refused++
		b.stats.RefusedLeaving++
		refuse(ctx, id, "leaving")
	case b.running >= b.cfg.Slots:
		b.stats.Refused++
		refuse(ctx, id, "all slots are busy")
	default:
		b.running++
		b.stats.PeakRunning = max(b.stats.PeakRunning, b.running)
		b.runs.add(id)
		return b.control, true
	}
	return Control{}, false
}

func (b *Backend) work(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderID))
	ms := b.cfg.WorkMS
	v := ctx.Request.Header.Peek(HeaderWorkMS)
	if len(v) == 0 {
		v = ctx.QueryArgs().Peek(ArgWorkMS)
	}
	if len(v) > 0 {
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || n < 0 {
			httpd.Refuse(ctx, fasthttp.StatusBadRequest, HeaderWorkMS+" is not a number")
			return
		}
		ms = n
	}
	c, ok := b.take(ctx, id)
	if !ok {
		return
	}
	b.wait(ms + c.SlowMS)
	own := reply{id: id, body: append([]byte(id+"\n"), ctx.PostBody()...)}
	out, failed := b.release(own, c)
	b.wait(c.LateMS)
	b.respond(ctx, out, failed, c)
}

func (b *Backend) wait(ms int64) {
	if ms > 0 {
		<-b.clk.After(time.Duration(ms) * time.Millisecond)
	}
}

// release frees the slot and chooses the response.
func (b *Backend) release(own reply, c Control) (out reply, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	failed = c.FailRate > 0 && b.rng.Float64() < c.FailRate
	if !c.Misdeliver {
		return own, failed
	}
	out, b.crossed = b.crossed, own
	return out, failed
}

func (b *Backend) respond(ctx *fasthttp.RequestCtx, out reply, failed bool, c Control) {
	ctx.Response.Header.Set(HeaderID, out.id)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(out.body)
	if c.Oversize {
		ctx.Response.AppendBody(bytes.Repeat([]byte{'x'}, b.cfg.OversizeBytes))
	}
	if failed {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
	if c.Truncate {
		cut(ctx)
	}
}

// cut sends the header and half of the body and closes the connection.
func cut(ctx *fasthttp.RequestCtx) {
	var buf bytes.Buffer
	_, _ = ctx.Response.WriteTo(&buf)
	head := bytes.Index(buf.Bytes(), []byte("\r\n\r\n")) + 4
	buf.Truncate(head + (buf.Len()-head)/2)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = buf.WriteTo(c) })
}
