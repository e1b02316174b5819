package route

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/rcode"
)

// Headers between an entry VM and a backend server.
const (
	HeaderID       = "X-Request-Id"
	HeaderDeadline = "X-Deadline"
	HeaderOutcome  = "X-Outcome"
	// OutcomeNotRun as the value of HeaderOutcome in a 503 response states that
	// the work did not run.
	OutcomeNotRun = "not-run"
)

// HTTPConfig holds the limits of an HTTPBackend.
type HTTPConfig struct {
	// MaxResponse bounds a response body in bytes.
	MaxResponse int
	// DialTimeout bounds a dial, so that an unreachable instance does not use
	// up the whole time until the deadline.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept open. It should be
	// shorter than the idle timeout of the backend servers.
	IdleTimeout time.Duration
	// DefaultConnections bounds the connections to an instance whose list
	// entry gives no number.
	DefaultConnections int
}

// Defaults replaces zero fields by their defaults.
func (c *HTTPConfig) Defaults() {
	if c.MaxResponse == 0 {
		c.MaxResponse = 8 << 20
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = 500 * time.Millisecond
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 5 * time.Second
	}
	if c.DefaultConnections == 0 {
		c.DefaultConnections = 8
	}
}

// HTTPBackend is a Backend that sends requests over HTTP/1.1. It keeps one
// client with a pool of connections for each address. Each Router needs its own
// HTTPBackend.
type HTTPBackend struct {
	cfg     HTTPConfig
	clk     clock.Clock
	mu      sync.RWMutex
	clients map[string]*fasthttp.HostClient
}

// NewHTTPBackend returns a backend without connections.
func NewHTTPBackend(cfg HTTPConfig, clk clock.Clock) *HTTPBackend {
	cfg.Defaults()
	return &HTTPBackend{cfg: cfg, clk: clk, clients: map[string]*fasthttp.HostClient{}}
}

// SetInstances sets the maximum number of connections of each instance and
// closes the idle connections to instances that are no longer listed.
func (b *HTTPBackend) SetInstances(vms []fleet.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.clients
	b.clients = make(map[string]*fasthttp.HostClient, len(vms))
	for _, vm := range vms {
		c, ok := old[vm.Addr()]
		if !ok {
			c = b.newClient(vm.Addr())
		}
		if vm.Connections() > 0 {
			c.SetMaxConns(vm.Connections())
		}
		b.clients[vm.Addr()] = c
		delete(old, vm.Addr())
	}
	for _, c := range old {
		c.CloseIdleConnections()
	}
}

func (b *HTTPBackend) newClient(addr string) *fasthttp.HostClient {
	dialer := &net.Dialer{Timeout: b.cfg.DialTimeout}
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  b.cfg.DefaultConnections,
		MaxIdleConnDuration:       b.cfg.IdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		Dial:                      func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) },
	}
}

func (b *HTTPBackend) clientFor(addr string) *fasthttp.HostClient {
	b.mu.RLock()
	c, ok := b.clients[addr]
	b.mu.RUnlock()
	if ok {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok = b.clients[addr]; !ok {
		c = b.newClient(addr)
		b.clients[addr] = c
	}
	return c
}

// Do sends the request once and returns the complete response.
func (b *HTTPBackend) Do(_ context.Context, addr string, req Request) (Response, error) {
	left := req.monoDeadline.Sub(b.clk.Now())
	if req.monoDeadline == 0 {
		left = req.deadline.Sub(b.clk.Wall())
	}
	if left <= 0 {
		return Response{}, rcode.Wrap(ErrNotSent, rcode.BackendRefused, "route.HTTPBackend.Do: deadline passed")
	}
	hreq, hresp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hreq)
	defer fasthttp.ReleaseResponse(hresp)
	encodeRequest(hreq, addr, &req)
	x := exchange{client: b.clientFor(addr), maxResponse: b.cfg.MaxResponse, deadline: time.Now().Add(left), reauthorize: req.reauthorize}
	if err := x.do(hreq, hresp); err != nil {
		return Response{}, rcode.Wrap(err, rcode.Of(err), "route.HTTPBackend.Do")
	}
	if hresp.StatusCode() == fasthttp.StatusServiceUnavailable && string(hresp.Header.Peek(HeaderOutcome)) == OutcomeNotRun {
		return Response{}, rcode.New(rcode.BackendRefused, "route.HTTPBackend.Do: %s refused", addr)
	}
	body := append([]byte(nil), hresp.Body()...)
	return NewResponse(req.id, hresp.StatusCode(), string(hresp.Header.ContentType()), body), nil
}

// encodeRequest fills in an HTTP request for the instance at addr.
func encodeRequest(hreq *fasthttp.Request, addr string, req *Request) {
	hreq.Header.SetRequestURI(req.path)
	hreq.Header.SetHost(addr)
	hreq.Header.SetMethod(req.method)
	hreq.Header.SetContentType(req.contentType)
	hreq.Header.Set(HeaderID, req.id)
	hreq.Header.Set(HeaderDeadline, strconv.FormatInt(req.deadline.UnixMilli(), 10))
	hreq.SetBodyRaw(req.body)
}
