// Package caller is the client library of demos and tests: it spreads calls
// over entry VMs as the platform's load balancer does, checks each response
// and records waiting times and result codes.
//
// # Usage
//
//	c := caller.New(caller.Config{Addrs: addrs}, clock.New())
//	go c.Run(ctx)
//	res := c.Send(ctx, caller.Request{Queue: "reprints", Class: "interactive", Key: key, Body: body})
//	for _, row := range c.Recorder().Rows() { ... }
//
// A call goes to the next VM only when it was certainly not sent to the one
// before. Bodies should be unique, since the response is compared with them.
package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// Config holds the settings of a caller.
type Config struct {
	// Addrs are the entry VMs, IP:PORT.
	Addrs []string
	// CheckInterval and CheckTimeout configure health checks; 0 means 500 ms and
	// 400 ms, so that a failed VM gets nothing new after 1 s.
	CheckInterval time.Duration
	CheckTimeout  time.Duration
	// CallTimeout bounds a call without a deadline; 0 means 60 s.
	CallTimeout time.Duration
	// MaxConns bounds the connections to one VM; 0 means 4,096.
	MaxConns int
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.CheckInterval == 0 {
		c.CheckInterval = 500 * time.Millisecond
	}
	if c.CheckTimeout == 0 {
		c.CheckTimeout = 400 * time.Millisecond
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = 60 * time.Second
	}
	if c.MaxConns == 0 {
		c.MaxConns = 4096
	}
}

// errDial marks a call that had no connection, so that nothing was sent.
var errDial = errors.New("dial")

// entry is one entry VM with connections of its own, which are closed when its
// check fails: a balancer does not send on connections that the VM closed.
type entry struct {
	addr string
	cli  *fasthttp.HostClient
	up   atomic.Bool
	sent atomic.Int64
}

// Caller sends calls to entry VMs. It is safe for concurrent use.
type Caller struct {
	cfg   Config
	clk   clock.Clock
	probe *fasthttp.Client
	rec   *Recorder
	next  atomic.Uint64

	mu      sync.Mutex
	entries []*entry
}

// New returns a caller that sends nothing before the first health check.
func New(cfg Config, clk clock.Clock) *Caller {
	cfg.Defaults()
	c := &Caller{cfg: cfg, clk: clk, rec: NewRecorder()}
	c.probe = &fasthttp.Client{NoDefaultUserAgentHeader: true, RetryIfErr: noRetry, Dial: dial}
	c.SetAddrs(cfg.Addrs)
	return c
}

// noRetry leaves it to the caller whether a call may be sent again.
func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, time.Second)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	return c, nil
}

func newEntry(addr string, conns int) *entry {
	return &entry{addr: addr, cli: &fasthttp.HostClient{
		Addr: addr, MaxConns: conns, NoDefaultUserAgentHeader: true, RetryIfErr: noRetry, Dial: dial,
	}}
}

// Recorder returns what was measured so far.
func (c *Caller) Recorder() *Recorder { return c.rec }

// SetAddrs replaces the entry VMs; a new one gets calls after its first check.
func (c *Caller) SetAddrs(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := map[string]*entry{}
	for _, e := range c.entries {
		old[e.addr] = e
	}
	entries := make([]*entry, 0, len(addrs))
	for _, a := range addrs {
		e := old[a]
		if e == nil {
			e = newEntry(a, c.cfg.MaxConns)
		}
		entries = append(entries, e)
	}
	c.entries = entries
}

func (c *Caller) list() []*entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// Run checks the entry VMs until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.Check()
		select {
		case <-ctx.Done():
		case <-c.clk.After(c.cfg.CheckInterval):
		}
	}
}

// Check runs one health check of each VM and returns how many passed.
func (c *Caller) Check() int {
	var wg sync.WaitGroup
	var up atomic.Int64
	for _, e := range c.list() {
		wg.Go(func() {
			status, _, err := c.probe.GetTimeout(nil, "http://"+e.addr+"/readyz", c.cfg.CheckTimeout)
			ok := err == nil && status == fasthttp.StatusOK
			e.up.Store(ok)
			if ok {
				up.Add(1)
				return
			}
			e.cli.CloseIdleConnections()
		})
	}
	wg.Wait()
	return int(up.Load())
}

// Sent returns how many calls were sent to each VM.
func (c *Caller) Sent() map[string]int64 {
	out := map[string]int64{}
	for _, e := range c.list() {
		out[e.addr] = e.sent.Load()
	}
	return out
}

// do sends the call to one VM after the other until one has taken the
// connection.
func (c *Caller) do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "caller.do")
	}
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	uri := string(req.RequestURI())
	entries := c.list()
	first := int(c.next.Add(1) % uint64(max(len(entries), 1)))
	for i := range entries {
		e := entries[(first+i)%len(entries)]
		if !e.up.Load() {
			continue
		}
		req.SetRequestURI("http://" + e.addr + uri)
		err := e.cli.DoDeadline(req, resp, deadline)
		if errors.Is(err, errDial) {
			e.up.Store(false)
			continue
		}
		e.sent.Add(1)
		return rcode.Wrap(err, failureCode(err), "caller.do %s%s", e.addr, uri)
	}
	return rcode.New(rcode.PeerUnreachable, "caller.do: no entry VM of %d takes calls", len(entries))
}

func failureCode(err error) rcode.Code {
	switch {
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return rcode.PeerUnreachable
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return rcode.AnswerTooLarge
	default:
		return rcode.OutcomeUnknown
	}
}
