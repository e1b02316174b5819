package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/jobs"
	"limpethitch.example/entry/route"
)

const (
	// defaultTimeout applies to requests without an X-Deadline header.
	defaultTimeout = 10 * time.Second
	// maxIDBytes is the maximum length of an Idempotency-Key.
	maxIDBytes = 96
	// acceptTimeout bounds how long a job submission waits for the store.
	acceptTimeout = 2 * time.Second
	// maxJobWait bounds how long one call may wait for a job to end.
	maxJobWait = 60 * time.Second
)

// parseCallerID returns the Idempotency-Key header, or "" if it is absent.
func parseCallerID(ctx *fasthttp.RequestCtx) (string, error) {
	id := string(ctx.Request.Header.Peek("Idempotency-Key"))
	if len(id) > maxIDBytes {
		return "", rcode.New(rcode.BadRequest, "Idempotency-Key is longer than %d characters", maxIDBytes)
	}
	for _, r := range id {
		if r <= ' ' || r > '~' || r == '/' {
			return "", rcode.New(rcode.BadRequest, "Idempotency-Key may only contain visible ASCII characters other than /")
		}
	}
	return id, nil
}

// handleRequest runs a request for an interactive queue and returns the backend
// server's response.
func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, queue string) {
	startedAt := s.clk.Now()
	req, err := s.parseRequest(ctx, queue)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", req.ID())
	callCtx, cancel := context.WithDeadline(context.Background(), req.Deadline())
	defer cancel()
	resp, err := s.vm.Route(callCtx, req)
	s.metrics.ObserveRequest(req.Queue().Class(), req.Grant().Team(), rcode.Of(err), s.clk.Now().Sub(startedAt))
	if err != nil {
		s.log.Info("request failed", append(logs.Err(err), zap.String("id", req.ID()), zap.String("queue", queue))...)
		s.writeError(ctx, err)
		return
	}
	s.log.Debug("request completed", zap.String("id", req.ID()), zap.String("queue", queue))
	ctx.SetStatusCode(resp.Status())
	ctx.SetContentType(resp.ContentType())
	ctx.Response.Header.Set(resultCodeHeader, string(rcode.OK))
	ctx.SetBody(resp.Body())
}

// parseRequest authorizes the caller and checks the body and headers.
func (s *Server) parseRequest(ctx *fasthttp.RequestCtx, name string) (route.Request, error) {
	var none route.Request
	b, q, err := s.interactiveQueue(name)
	if err != nil {
		return none, err
	}
	grant, err := b.Authorize(q, bearerToken(ctx))
	if err != nil {
		return none, err
	}
	body := ctx.PostBody()
	if len(body) > q.MaxBody() {
		return none, rcode.New(rcode.BodyTooLarge, "the body has %d bytes, queue %q accepts at most %d", len(body), name, q.MaxBody())
	}
	id, err := parseCallerID(ctx)
	if err != nil {
		return none, err
	}
	deadline, err := s.parseDeadline(ctx)
	if err != nil {
		return none, err
	}
	mayRepeat, err := parseRepeatable(ctx)
	if err != nil {
		return none, err
	}
	hasCallerID := id != ""
	if !hasCallerID {
		id = uuid.Must(uuid.NewV7()).String()
	}
	contentType := string(ctx.Request.Header.ContentType())
	path := "/"
	if q := ctx.URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return route.NewRequest(id, grant, q, deadline, route.WithCallerID(hasCallerID), route.WithRepeatable(mayRepeat),
		route.WithPayload("POST", path, contentType, append([]byte(nil), body...))), nil
}

// interactiveQueue returns an interactive queue and the bundle under which its
// requests may be accepted now. An open queue needs no key and allows an older
// bundle. So the queue is read again from the returned bundle, in which it may no
// longer be open.
func (s *Server) interactiveQueue(name string) (*policy.Bundle, policy.Queue, error) {
	var q policy.Queue
	b := s.vm.LatestPolicy()
	if b == nil {
		return nil, q, rcode.New(rcode.NoPolicy, "this VM has no policy bundle")
	}
	q, err := b.Queue(name)
	if err != nil {
		return nil, q, err
	}
	wasOpen := q.Open()
	if b, err = s.vm.FreshPolicy(wasOpen); err != nil {
		return nil, q, err
	}
	if q, err = b.Queue(name); err != nil {
		return nil, q, err
	}
	if wasOpen && !q.Open() {
		if b, err = s.vm.FreshPolicy(false); err != nil {
			return nil, q, err
		}
		if q, err = b.Queue(name); err != nil {
			return nil, q, err
		}
	}
	if q.Class() != policy.ClassInteractive {
		return nil, q, rcode.New(rcode.BadRequest, "queue %q accepts jobs, not requests", name)
	}
	return b, q, nil
}

// parseRepeatable reads the X-Repeatable header. Values other than true and false
// are rejected, since reading "yes" as false would silently turn retries off.
func parseRepeatable(ctx *fasthttp.RequestCtx) (bool, error) {
	switch v := string(ctx.Request.Header.Peek("X-Repeatable")); strings.ToLower(v) {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, rcode.New(rcode.BadRequest, "X-Repeatable %q is neither true nor false", v)
	}
}

// parseDeadline reads the X-Deadline header and checks that it lies within
// route.MaxLife from now.
func (s *Server) parseDeadline(ctx *fasthttp.RequestCtx) (time.Time, error) {
	now := s.clk.Wall()
	deadline, err := parseUnixMS("X-Deadline", ctx.Request.Header.Peek("X-Deadline"))
	switch {
	case err != nil:
		return deadline, err
	case deadline.IsZero():
		return now.Add(defaultTimeout), nil
	case deadline.After(now.Add(route.MaxTimeout)):
		return deadline, rcode.New(rcode.DeadlineTooFar, "the deadline is more than %v away", route.MaxTimeout)
	case !deadline.After(now):
		return deadline, rcode.New(rcode.DeadlinePassed, "the deadline has passed on arrival")
	}
	return deadline, nil
}

// handleSubmit accepts a job.
func (s *Server) handleSubmit(ctx *fasthttp.RequestCtx) {
	rec, err := s.parseJob(ctx)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	acceptBy := s.clk.Wall().Add(acceptTimeout)
	callCtx, cancel := context.WithDeadline(context.Background(), acceptBy.Add(time.Second))
	defer cancel()
	accepted, err := s.vm.Submit(callCtx, rec, acceptBy)
	if err != nil {
		s.log.Info("job submission failed", append(logs.Err(err), zap.String("id", rec.ID), zap.String("queue", rec.Spec.Queue))...)
		s.writeError(ctx, err)
		return
	}
	s.log.Info("job accepted", zap.String("id", accepted.ID), zap.String("team", accepted.Team), zap.String("queue", accepted.Spec.Queue))
	ctx.Response.Header.Set("Location", "/v1/jobs/"+accepted.ID)
	s.writeJSON(ctx, fasthttp.StatusAccepted, newJobStatus(accepted))
}

// parseJob authorizes the caller and returns the job's record, with an id only if
// the caller sent one.
func (s *Server) parseJob(ctx *fasthttp.RequestCtx) (*jobs.Record, error) {
	var spec jobs.Spec
	if err := json.Unmarshal(ctx.PostBody(), &spec); err != nil {
		return nil, rcode.Wrap(err, rcode.BadRequest, "the job is not valid JSON")
	}
	spec.Defaults()
	if err := spec.Check(); err != nil {
		return nil, err
	}
	b, err := s.vm.FreshPolicy(false)
	if err != nil {
		return nil, err
	}
	q, err := b.Queue(spec.Queue)
	if err != nil {
		return nil, err
	}
	if q.Class() == policy.ClassInteractive {
		return nil, rcode.New(rcode.BadRequest, "queue %q accepts requests, not jobs", spec.Queue)
	}
	grant, err := b.Authorize(q, bearerToken(ctx))
	if err != nil {
		return nil, err
	}
	id, err := parseCallerID(ctx)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(ctx.PostBody())
	rec := &jobs.Record{
		Team: grant.Team(), Key: grant.Key(), Class: q.Class(), Spec: spec, Hash: hex.EncodeToString(sum[:8]),
		CreatedMS: s.clk.Wall().UnixMilli(), State: jobs.StateWaiting,
	}
	if id != "" {
		rec.ID = jobs.HashCallerID(grant.Team(), id)
	}
	return rec, nil
}

// JobStatus is the body of responses about a job.
type JobStatus struct {
	ID       string     `json:"id"`
	State    jobs.State `json:"state"`
	Code     rcode.Code `json:"code,omitempty"`
	Reason   string     `json:"reason,omitempty"`
	Members  int        `json:"members"`
	Finished int        `json:"finished"`
	EndedMS  int64      `json:"ended_unix_ms,omitempty"`
}

func newJobStatus(r *jobs.Record) JobStatus {
	return JobStatus{
		ID: r.ID, State: r.State, Code: r.Code, Reason: r.Reason, Members: r.Spec.Members,
		Finished: r.Spec.Members - r.Remaining(), EndedMS: r.EndedMS,
	}
}

// handleJob returns a job's status, optionally after canceling it or waiting for it
// to end.
func (s *Server) handleJob(ctx *fasthttp.RequestCtx, id string, cancel bool) {
	team, err := s.readerTeam(ctx)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	waitUntil, err := parseUnixMS("wait_until", ctx.QueryArgs().Peek("wait_until"))
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	if latest := s.clk.Wall().Add(maxJobWait); waitUntil.After(latest) {
		waitUntil = latest
	}
	callCtx, stop := context.WithTimeout(context.Background(), maxJobWait+5*time.Second)
	defer stop()
	rec, err := s.vm.Job(callCtx, id, team, cancel, waitUntil)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	s.writeJSON(ctx, fasthttp.StatusOK, newJobStatus(rec))
}

// readerTeam returns the team whose jobs the caller may read. Operators may read all
// jobs; callers without a key only those of open queues.
func (s *Server) readerTeam(ctx *fasthttp.RequestCtx) (string, error) {
	b := s.vm.LatestPolicy()
	if b == nil {
		return "", rcode.New(rcode.NoPolicy, "this VM has no policy bundle")
	}
	if s.isOperator(ctx) {
		return jobs.AnyTeam, nil
	}
	if bearerToken(ctx) == "" {
		return "", nil
	}
	grant, err := b.Authenticate(bearerToken(ctx))
	return grant.Team(), err
}
