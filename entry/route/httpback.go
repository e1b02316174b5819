package route

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
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
	// OutcomeNotRun in HeaderOutcome of a 503 promises that the work did not
	// run.
	OutcomeNotRun = "not-run"
)

// HTTPConfig holds the bounds of an HTTPBackend.
type HTTPConfig struct {
	// MaxResponse bounds a response body in bytes.
	MaxResponse int
	// DialTimeout bounds a dial, so that an instance that is gone does not
	// use up the whole deadline.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It should be
	// shorter than that of the backend servers.
	IdleTimeout time.Duration
	// DefaultConnections is used for an instance that states none.
	DefaultConnections int
}

// Defaults sets what the configuration leaves out.
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

// HTTPBackend is a Backend that speaks HTTP/1.1. Each Router needs its own.
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

// SetInstances sets the number of connections of each instance and closes
// those to instances that are gone.
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
		DisablePathNormalizing:    true,
		Dial:                      func(addr string) (net.Conn, error) { return dialer.Dial("tcp", addr) },
		Transport:                 &transport{maxResponse: b.cfg.MaxResponse},
	}
}

func (b *HTTPBackend) client(addr string) *fasthttp.HostClient {
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

// Do sends the request once and returns the whole response.
func (b *HTTPBackend) Do(_ context.Context, addr string, req Request) (Response, error) {
	left := req.until.Sub(b.clk.Now())
	if req.until == 0 {
		left = req.deadline.Sub(b.clk.Wall())
	}
	if left <= 0 {
		return Response{}, rcode.Wrap(ErrNotSent, rcode.BackendRefused, "route.HTTPBackend.Do: deadline passed")
	}
	hreq, hresp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(hreq)
	defer fasthttp.ReleaseResponse(hresp)
	hreq.SetRequestURI(req.path)
	hreq.Header.SetHost(addr)
	hreq.Header.SetMethod(req.method)
	hreq.Header.SetContentType(req.contentType)
	hreq.Header.Set(HeaderID, req.id)
	hreq.Header.Set(HeaderDeadline, strconv.FormatInt(req.deadline.UnixMilli(), 10))
	hreq.SetBodyRaw(req.body)
	hreq.SetTimeout(left)
	if err := b.client(addr).Do(hreq, hresp); err != nil {
		return Response{}, rcode.Wrap(err, rcode.Of(err), "route.HTTPBackend.Do")
	}
	if hresp.StatusCode() == fasthttp.StatusServiceUnavailable && string(hresp.Header.Peek(HeaderOutcome)) == OutcomeNotRun {
		return Response{}, rcode.New(rcode.BackendRefused, "route.HTTPBackend.Do: %s refused", addr)
	}
	body := append([]byte(nil), hresp.Body()...)
	return NewResponse(req.id, hresp.StatusCode(), string(hresp.Header.ContentType()), body), nil
}

// transport replaces fasthttp's, which does not tell whether the request was
// sent, takes a response without a length for whole when the connection ends,
// and would reuse a connection after an answer to another request.
type transport struct{ maxResponse int }

// RoundTrip implements fasthttp.RoundTripper. Its errors carry rcode codes.
func (t *transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	deadline := time.Now().Add(req.GetTimeOut())
	cc, err := hc.AcquireConn(req.GetTimeOut(), false)
	if err != nil {
		return false, rcode.Wrap(errors.Join(ErrNotSent, err), rcode.BackendRefused, "dial")
	}
	err = t.exchange(hc, cc.Conn(), deadline, req, resp)
	if err != nil || resp.ConnectionClose() {
		hc.CloseConn(cc)
	} else {
		hc.ReleaseConn(cc)
	}
	return false, err
}

func (t *transport) exchange(hc *fasthttp.HostClient, conn net.Conn, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := conn.SetDeadline(deadline); err != nil {
		return rcode.Wrap(errors.Join(ErrNotSent, err), rcode.BackendRefused, "set deadline")
	}
	bw := hc.AcquireWriter(conn)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	hc.ReleaseWriter(bw)
	if err != nil {
		return lost(err, rcode.OutcomeUnknown, "send")
	}
	br := hc.AcquireReader(conn)
	defer hc.ReleaseReader(br)
	if _, err := br.Peek(1); err != nil {
		return lost(err, rcode.OutcomeUnknown, "no answer")
	}
	resp.SkipBody = req.Header.IsHead()
	if err := t.read(br, resp); err != nil {
		return err
	}
	if got := resp.Header.Peek(HeaderID); string(got) != string(req.Header.Peek(HeaderID)) {
		return rcode.Wrap(ErrGaveUp, rcode.AnswerMismatched, "answer for id %q", got)
	}
	if br.Buffered() > 0 {
		resp.SetConnectionClose()
	}
	return nil
}

// read reads one response whose end is certain: by length or by chunks.
func (t *transport) read(br *bufio.Reader, resp *fasthttp.Response) error {
	if err := resp.Header.Read(br); err != nil {
		return lost(err, rcode.AnswerIncomplete, "header")
	}
	n := resp.Header.ContentLength()
	none := resp.SkipBody || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified
	if resp.StatusCode() < 200 {
		return rcode.Wrap(ErrGaveUp, rcode.AnswerIncomplete, "interim status %d", resp.StatusCode())
	}
	if none {
		return nil
	}
	if n < -1 {
		return rcode.New(rcode.AnswerIncomplete, "answer has no length")
	}
	err := resp.ReadBody(br, t.maxResponse)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return rcode.Wrap(err, rcode.AnswerTooLarge, "answer is larger than %d bytes", t.maxResponse)
	}
	if err == nil && n == -1 {
		err = resp.Header.ReadTrailer(br)
	}
	return lost(err, rcode.AnswerIncomplete, "body")
}

// lost classifies a fault after the request was sent, at least in part.
func lost(err error, code rcode.Code, what string) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rcode.Wrap(errors.Join(ErrGaveUp, err), rcode.OutcomeUnknown, "%s: timeout", what)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return rcode.Wrap(err, code, "%s: connection closed", what)
	default:
		return rcode.Wrap(err, code, "%s", what)
	}
}
