// Package front serves the HTTP API of an entry VM for callers, operators and the
// load balancer.
//
// # Usage
//
//	srv := front.New(front.Config{Listen: "127.0.0.1:8080"}, vm, metrics, clk, log)
//	lis, err := srv.Listen()
//	err = srv.Serve(ctx, lis) // until ctx ends
//
// Callers use POST /v1/queues/{queue}/requests, POST /v1/jobs, and GET and DELETE
// /v1/jobs/{id}. The load balancer uses GET /healthz and /readyz. Operators use
// /v1/bundles, /v1/rollouts/{n}, /v1/status, /metrics and the page /status. Every
// error response carries a numbered result code. docs/API.md describes all paths.
package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/meter"
	"limpethitch.example/entry/roll"
	"limpethitch.example/entry/route"
)

const (
	// maxBodyBytes bounds every request body. Queues set their own limits up to this
	// one.
	maxBodyBytes = policy.MaxBodyLimit
	// maxHeaderBytes bounds the request line and headers together.
	maxHeaderBytes = 16 << 10
	// readTimeout closes connections of callers that send too slowly.
	readTimeout = 15 * time.Second
	idleTimeout = 120 * time.Second
	// writeTimeout closes connections of callers that read a response too slowly;
	// they would otherwise delay a shutdown.
	writeTimeout = route.MaxTimeout
	// maxConns bounds the open connections to this VM's API.
	maxConns = 8192
	// resultCodeHeader carries the result code of responses.
	resultCodeHeader = "X-Result-Code"
	// retryAfterSeconds is sent with result codes for which a retry may succeed.
	retryAfterSeconds = "1"
)

// Config holds the settings of the API.
type Config struct {
	// Listen is IP:PORT.
	Listen string
	// OperatorToken authorizes operators; if it is empty, all operator requests are
	// rejected.
	OperatorToken string
	// CertFile and KeyFile enable TLS; they are reloaded when the certificate file
	// changes.
	CertFile, KeyFile string
}

// VM is the entry VM that the API serves.
type VM interface {
	// FreshPolicy returns the bundle under which work may be accepted now; open is
	// set for work of open queues, which need no key.
	FreshPolicy(open bool) (*policy.Bundle, error)
	// LatestPolicy returns the newest known bundle regardless of its age, or nil.
	LatestPolicy() *policy.Bundle
	// Route runs a request on one of the shards.
	Route(ctx context.Context, req route.Request) (route.Response, error)
	// Submit has a job accepted by its home shard, and gives up at acceptBy.
	Submit(ctx context.Context, rec *jobs.Record, acceptBy time.Time) (*jobs.Record, error)
	// Job returns a job after it has ended, or at waitUntil. If cancel is set, it is
	// canceled first.
	Job(ctx context.Context, id, team string, cancel bool, waitUntil time.Time) (*jobs.Record, error)
	// Ready returns nil, or why the load balancer must not send new requests here.
	Ready() error
	// Policies returns the holder of the policy bundles.
	Policies() *roll.Manager
	// ListedVMs returns the entry VMs on the platform's VM list.
	ListedVMs() []fleet.VM
	// Status returns the data of the status page.
	Status() Status
}

// Server serves the API.
type Server struct {
	cfg            Config
	vm             VM
	metrics        *meter.Metrics
	clk            clock.Clock
	log            *zap.Logger
	metricsHandler fasthttp.RequestHandler
	httpServer     *fasthttp.Server
}

// New returns a server that is not listening yet.
func New(cfg Config, vm VM, metrics *meter.Metrics, clk clock.Clock, log *zap.Logger) *Server {
	s := &Server{cfg: cfg, vm: vm, metrics: metrics, clk: clk, log: log}
	s.metricsHandler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(metrics.Registry(), promhttp.HandlerOpts{}))
	s.httpServer = &fasthttp.Server{
		Handler: s.handle, Name: "limpethitch", MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Concurrency: maxConns,
		NoDefaultServerHeader: true, CloseOnShutdown: true, ErrorHandler: s.handleMalformed,
		Logger: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	return s
}

// Listen opens the API's address, with TLS if a certificate is configured.
func (s *Server) Listen() (net.Listener, error) {
	lis, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.PortInUse, "cannot listen for callers on %s", s.cfg.Listen)
	}
	if s.cfg.CertFile == "" {
		return lis, nil
	}
	certs := newCertReloader(s.cfg.CertFile, s.cfg.KeyFile, s.clk)
	if _, err := certs.getCertificate(nil); err != nil {
		_ = lis.Close()
		return nil, err
	}
	return tls.NewListener(lis, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certs.getCertificate}), nil
}

// Serve answers requests on lis until ctx ends, then waits for those in flight.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	done := make(chan error, 1)
	go func() { done <- s.httpServer.Serve(lis) }()
	select {
	case err := <-done:
		return rcode.Wrap(err, rcode.Internal, "front.Serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), route.MaxTimeout)
	defer cancel()
	if err := s.httpServer.ShutdownWithContext(shutdownCtx); err != nil {
		return rcode.Wrap(err, rcode.Internal, "shut down the HTTP server")
	}
	return ctx.Err()
}

// handleMalformed answers requests that the HTTP parser rejects.
func (s *Server) handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	var headersTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.writeError(ctx, rcode.Wrap(err, rcode.BodyTooLarge, "front"))
	case errors.As(err, &headersTooLarge):
		s.writeError(ctx, rcode.New(rcode.BadRequest, "the headers are larger than %d bytes", maxHeaderBytes))
	default:
		s.writeError(ctx, rcode.New(rcode.BadRequest, "the HTTP request is malformed"))
	}
	ctx.SetConnectionClose()
}

// singletonHeaders may appear only once per request: of repeated headers, a load
// balancer and this VM could each use a different one.
var singletonHeaders = []string{"Authorization", "Idempotency-Key", "X-Deadline", "X-Repeatable", "Content-Length", "Transfer-Encoding"}

// checkFraming guards against request smuggling. It rejects repeated headers and
// requests whose end a load balancer could place elsewhere than the parser did.
func checkFraming(ctx *fasthttp.RequestCtx) error {
	seen := map[string]int{}
	for _, line := range strings.Split(string(ctx.Request.Header.RawHeaders()), "\n") {
		line, crlf := strings.CutSuffix(line, "\r")
		name, _, _ := strings.Cut(line, ":")
		switch {
		case line != "" && !crlf:
			return rcode.New(rcode.BadRequest, "a header line ends without a carriage return")
		case line != "" && (line[0] == ' ' || line[0] == '\t'):
			return rcode.New(rcode.BadRequest, "a header line is folded")
		case strings.ContainsAny(line, "\r\x00"):
			return rcode.New(rcode.BadRequest, "a header contains a control character")
		}
		seen[strings.ToLower(name)]++
	}
	for _, name := range singletonHeaders {
		if seen[strings.ToLower(name)] > 1 {
			return rcode.New(rcode.BadRequest, "header %s appears more than once", name)
		}
	}
	if seen["content-length"] > 0 && seen["transfer-encoding"] > 0 {
		return rcode.New(rcode.BadRequest, "the request has both Content-Length and Transfer-Encoding")
	}
	return nil
}

// handle answers one request. While the VM is draining, each response closes its
// connection, so that the load balancer moves to another VM before the listener
// closes.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if err := checkFraming(ctx); err != nil {
		s.writeError(ctx, err)
		ctx.SetConnectionClose()
		return
	}
	s.dispatch(ctx)
	if rcode.Is(s.vm.Ready(), rcode.Draining) {
		ctx.SetConnectionClose()
	}
}

func (s *Server) dispatch(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if len(parts) >= 2 && parts[0] == "v1" {
		s.dispatchV1(ctx, parts[1], parts[2:])
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(ctx)
	case "/metrics":
		s.metricsHandler(ctx)
	case "/status":
		s.handleStatusPage(ctx)
	default:
		s.writeError(ctx, rcode.New(rcode.NotFound, "no such path"))
	}
}

func (s *Server) dispatchV1(ctx *fasthttp.RequestCtx, kind string, rest []string) {
	method := string(ctx.Method())
	switch {
	case kind == "queues" && len(rest) == 2 && rest[1] == "requests":
		if s.allowMethod(ctx, method, fasthttp.MethodPost) {
			s.handleRequest(ctx, rest[0])
		}
	case kind == "jobs" && len(rest) == 0:
		if s.allowMethod(ctx, method, fasthttp.MethodPost) {
			s.handleSubmit(ctx)
		}
	case kind == "jobs" && len(rest) == 1:
		if s.allowMethod(ctx, method, fasthttp.MethodGet, fasthttp.MethodDelete) {
			s.handleJob(ctx, rest[0], method == fasthttp.MethodDelete)
		}
	case kind == "status" && len(rest) == 0:
		if s.allowMethod(ctx, method, fasthttp.MethodGet) {
			s.writeJSON(ctx, fasthttp.StatusOK, s.vm.Status())
		}
	case kind == "bundles" || kind == "rollouts":
		s.dispatchOperator(ctx, kind, method, rest)
	default:
		s.writeError(ctx, rcode.New(rcode.NotFound, "no such path"))
	}
}

// allowMethod reports whether the method is allowed; if not, it writes the error
// response.
func (s *Server) allowMethod(ctx *fasthttp.RequestCtx, method string, allowed ...string) bool {
	for _, a := range allowed {
		if a == method {
			return true
		}
	}
	ctx.Response.Header.Set("Allow", strings.Join(allowed, ", "))
	s.writeError(ctx, rcode.New(rcode.MethodNotAllowed, "method %s is not allowed for this path", method))
	return false
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if err := s.vm.Ready(); err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.SetBodyString("ready\n")
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Code    rcode.Code `json:"code"`
	Message string     `json:"message"`
}

// writeError writes an error response with the code and HTTP status of err.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, err error) {
	code := rcode.Of(err)
	info := code.Info()
	status := info.HTTP()
	if code == rcode.NotFound {
		status = fasthttp.StatusNotFound
	}
	ctx.Response.ResetBody()
	if code.Retryable() {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	text := info.Text() + ": " + err.Error()
	if code == rcode.NotFound {
		// The code's own text is about keys of the store; here a path or a version is
		// missing.
		text = err.Error()
	}
	s.writeJSON(ctx, status, ErrorResponse{Code: code, Message: text})
	ctx.Response.Header.Set(resultCodeHeader, string(code))
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		s.log.Error("cannot encode the response", zap.String("error", err.Error()))
		status, body = fasthttp.StatusInternalServerError, []byte(`{"code":"LH6001","message":"internal"}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}

// bearerToken returns the key or token of the Authorization header, or "".
func bearerToken(ctx *fasthttp.RequestCtx) string {
	s, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")
	if !ok {
		return ""
	}
	return s
}

// requireOperator reports whether the caller is an operator; if not, it writes the error
// response.
func (s *Server) requireOperator(ctx *fasthttp.RequestCtx) bool {
	if s.isOperator(ctx) {
		return true
	}
	s.writeError(ctx, rcode.New(rcode.OperatorRefused, "the operator token is missing or wrong"))
	return false
}

// isOperator compares hashes in constant time, so that response times reveal neither
// the token's bytes nor its length.
func (s *Server) isOperator(ctx *fasthttp.RequestCtx) bool {
	given, want := sha256.Sum256([]byte(bearerToken(ctx))), sha256.Sum256([]byte(s.cfg.OperatorToken))
	return s.cfg.OperatorToken != "" && subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// parseUnixMS parses a header or query argument in Unix milliseconds. It returns the
// zero time if raw is empty.
func parseUnixMS(name string, raw []byte) (time.Time, error) {
	if len(raw) == 0 {
		return time.Time{}, nil
	}
	n, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || n <= 0 || n > 1<<45 {
		return time.Time{}, rcode.New(rcode.BadRequest, "%s %q is not unix milliseconds", name, raw)
	}
	return time.UnixMilli(n), nil
}
