// Package httpd is the HTTP server that the stand-ins share. It listens on
// loopback addresses only and can drop a connection without an answer.
//
// # Usage
//
//	srv := httpd.New(func(ctx *fasthttp.RequestCtx) {
//		httpd.JSON(ctx, fasthttp.StatusOK, reply)
//	})
//	ln, err := httpd.Listen("127.0.0.1:0")
//	go srv.Serve(ln)
//	defer srv.Close()
package httpd

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
)

// MaxBody bounds a request's body in bytes. A transaction of the key-value
// service holds a few values of 1 MB in base64.
const MaxBody = 32 << 20

// IdleTimeout closes a connection without requests. Clients of the stand-ins
// drop idle connections earlier, so that no request meets a closing one.
const IdleTimeout = 2 * time.Minute

// Server is an HTTP server whose Close ends all connections immediately.
type Server struct {
	srv *fasthttp.Server

	mu     sync.Mutex
	closed bool
	lns    []net.Listener
	conns  map[net.Conn]struct{}
}

// New returns a server for the handler.
func New(h fasthttp.RequestHandler) *Server {
	s := &Server{conns: map[net.Conn]struct{}{}}
	s.srv = &fasthttp.Server{
		Handler:                            h,
		MaxRequestBodySize:                 MaxBody,
		IdleTimeout:                        IdleTimeout,
		NoDefaultServerHeader:              true,
		DisablePreParseMultipartForm:       true,
		SleepWhenConcurrencyLimitsExceeded: 0,
		Logger:                             quiet{},
	}
	return s
}

// Serve answers connections of ln until Close.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return ln.Close()
	}
	s.lns = append(s.lns, ln)
	s.mu.Unlock()
	err := s.srv.Serve(&tracked{Listener: ln, s: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	return rcode.Wrap(err, rcode.Internal, "httpd.Serve")
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	lns := s.lns
	s.lns = nil
	s.mu.Unlock()
	for _, ln := range lns {
		_ = ln.Close()
	}
	s.CloseConns()
	return nil
}

// CloseConns closes the open connections and goes on listening.
func (s *Server) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

type tracked struct {
	net.Listener
	s *Server
}

func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.conns[c] = struct{}{}
	if t.s.closed {
		_ = c.Close()
	}
	return &conn{Conn: c, s: t.s}, nil
}

type conn struct {
	net.Conn
	s *Server
}

func (c *conn) Close() error {
	c.s.mu.Lock()
	delete(c.s.conns, c.Conn)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

// NetConn returns the connection of the listener that Serve was given.
func (c *conn) NetConn() net.Conn { return c.Conn }

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// Listen listens on a loopback address; others are refused, since a stand-in
// has no protection of its own.
func Listen(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "httpd.Listen")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, rcode.New(rcode.SettingInvalid, "httpd.Listen: %s is not a loopback IP", addr)
	}
	ln, err := net.Listen("tcp", addr)
	return ln, rcode.Wrap(err, rcode.PortInUse, "httpd.Listen")
}

// OffsetPort returns addr with n added to its port; port 0 stays 0.
func OffsetPort(addr string, n int) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", rcode.Wrap(err, rcode.SettingInvalid, "httpd.OffsetPort")
	}
	p, err := strconv.Atoi(port)
	if err != nil {
		return "", rcode.Wrap(err, rcode.SettingInvalid, "httpd.OffsetPort")
	}
	if p != 0 {
		p += n
	}
	return net.JoinHostPort(host, strconv.Itoa(p)), nil
}

// JSON answers with status and v.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Refuse answers with status and the reason.
func Refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	JSON(ctx, status, ErrorBody{Code: status, Message: reason})
}

// Decode reads the request's body into v, or refuses the call with 400.
func Decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Drop closes the connection without an answer.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
