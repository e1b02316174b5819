package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// Headers of the entry VMs' HTTP API.
const (
	HeaderAuthorization  = "Authorization"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "X-Deadline"
	HeaderRepeatable     = "X-Repeatable"
	HeaderRequestID      = "X-Request-Id"
	HeaderResultCode     = "X-Result-Code"
)

// argWork is passed on to the stand-in backend server.
const argWork = "work_ms"

// Request is one request to an interactive queue. Its fields are those of the
// call and are set by the user of the package.
type Request struct {
	Queue string
	// Class is only the label under which the result is recorded.
	Class string
	// Key is the team's key; empty on open queues.
	Key string
	// ID is sent as Idempotency-Key unless it is empty.
	ID string
	// Deadline is sent unless it is zero.
	Deadline   time.Time
	Repeatable bool
	Body       []byte
	// WorkMS asks the stand-in backend server to work for so long; 0 leaves
	// it the default.
	WorkMS int64
	// ScheduledAt is when the request should have been sent. Latency counts from
	// then, so that a caller that falls behind does not hide it. 0 means now.
	ScheduledAt clock.Mono
}

// Result is what became of a call.
type Result struct {
	code   rcode.Code
	status int
	id     string
	wait   time.Duration
	body   []byte
	err    error
}

// Code returns the result code; OK means that the backend server's response
// arrived whole, whatever its status.
func (r Result) Code() rcode.Code { return r.code }

// Status returns the HTTP status; 0 when there was no response.
func (r Result) Status() int { return r.status }

// ID returns the id that the response carried.
func (r Result) ID() string { return r.id }

// Latency returns the time from the scheduled start of the call to its result.
func (r Result) Latency() time.Duration { return r.wait }

// Body returns the response's body.
func (r Result) Body() []byte { return r.body }

// Err returns the cause of a code other than OK, or nil.
func (r Result) Err() error { return r.err }

// Send sends one request and records its result.
func (c *Caller) Send(ctx context.Context, r Request) Result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	uri := "/v1/queues/" + r.Queue + "/requests"
	if r.WorkMS > 0 {
		uri += "?" + argWork + "=" + strconv.FormatInt(r.WorkMS, 10)
	}
	req.SetRequestURI(uri)
	req.Header.SetMethod(fasthttp.MethodPost)
	setKey(req, r.Key)
	if r.ID != "" {
		req.Header.Set(HeaderIdempotencyKey, r.ID)
	}
	if !r.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.UnixMilli(), 10))
	}
	if r.Repeatable {
		req.Header.Set(HeaderRepeatable, "true")
	}
	req.SetBodyRaw(r.Body)
	res := c.exchange(ctx, req, r.Class, r.ScheduledAt)
	if res.code == rcode.OK {
		if err := r.check(res); err != nil {
			res.err, res.code = err, rcode.Of(err)
		}
	}
	c.rec.Add(r.Class, res.code, res.wait)
	return res
}

// check compares a response with what a backend server answers to r: the id, a
// line feed and the request's body.
func (r Request) check(res Result) error {
	id, body, ok := bytes.Cut(res.body, []byte("\n"))
	switch {
	case !ok || string(id) != res.id:
		return rcode.New(rcode.AnswerMismatched, "caller.check: id %q with a body for %.80q", res.id, id)
	case r.ID != "" && r.ID != res.id:
		return rcode.New(rcode.AnswerMismatched, "caller.check: id %q, want %q", res.id, r.ID)
	case bytes.Equal(body, r.Body):
		return nil
	case bytes.HasPrefix(r.Body, body):
		return rcode.New(rcode.AnswerIncomplete, "caller.check: %d bytes of %d", len(body), len(r.Body))
	}
	return rcode.New(rcode.AnswerMismatched, "caller.check: the body of another request")
}

func setKey(req *fasthttp.Request, key string) {
	if key != "" {
		req.Header.Set(HeaderAuthorization, "Bearer "+key)
	}
}

// exchange sends req and reads the result without recording it.
func (c *Caller) exchange(ctx context.Context, req *fasthttp.Request, class string, due clock.Mono) Result {
	if due == 0 {
		due = c.clk.Now()
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := c.do(ctx, req, resp, time.Now().Add(c.cfg.CallTimeout))
	res := Result{wait: c.clk.Now().Sub(due)}
	if err != nil {
		res.err, res.code = err, rcode.Of(err)
		return res
	}
	res.status = resp.StatusCode()
	res.id = string(resp.Header.Peek(HeaderRequestID))
	res.body = append([]byte(nil), resp.Body()...)
	res.code = resultCode(resp)
	if res.code != rcode.OK {
		res.err = rcode.New(res.code, "caller.exchange %s: status %d: %.200s", class, res.status, res.body)
	}
	return res
}

// resultCode reads the header, or the field code of a JSON body. A response
// with neither is a backend server's, passed on.
func resultCode(resp *fasthttp.Response) rcode.Code {
	if v := resp.Header.Peek(HeaderResultCode); len(v) > 0 {
		return rcode.Code(v)
	}
	var doc struct {
		Code string `json:"code"`
	}
	if json.Unmarshal(resp.Body(), &doc) == nil && strings.HasPrefix(doc.Code, "LH") {
		return rcode.Code(doc.Code)
	}
	return rcode.OK
}

// Job is the state of a job as an entry VM reports it.
type Job struct {
	ID    string     `json:"id"`
	State string     `json:"state"`
	Code  rcode.Code `json:"code"`
}

// Submit posts a job document, which is encoded as JSON, and records how long
// its acceptance took.
func (c *Caller) Submit(ctx context.Context, class, key string, doc any) (Job, Result) {
	body, err := json.Marshal(doc)
	if err != nil {
		return Job{}, Result{code: rcode.Internal, err: rcode.Wrap(err, rcode.Internal, "caller.Submit")}
	}
	return c.job(ctx, fasthttp.MethodPost, "/v1/jobs", class, key, "", body)
}

// WaitJob reads a job's state; the entry VM answers when the job has ended or at
// until, whichever is first. A zero until asks for the state now.
func (c *Caller) WaitJob(ctx context.Context, class, key, id string, until time.Time) (Job, Result) {
	path := "/v1/jobs/" + id
	if !until.IsZero() {
		path += "?wait_until=" + strconv.FormatInt(until.UnixMilli(), 10)
	}
	return c.job(ctx, fasthttp.MethodGet, path, class, key, id, nil)
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, class, key, id string) (Job, Result) {
	return c.job(ctx, fasthttp.MethodDelete, "/v1/jobs/"+id, class, key, id, nil)
}

// job sends one call about a job; id is the job expected, or empty.
func (c *Caller) job(ctx context.Context, method, path, class, key, id string, body []byte) (Job, Result) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(path)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	setKey(req, key)
	req.SetBodyRaw(body)
	res := c.exchange(ctx, req, class, 0)
	var j Job
	if res.status != 0 {
		err := json.Unmarshal(res.body, &j)
		switch {
		case err != nil && res.code == rcode.OK:
			res.code = rcode.AnswerIncomplete
			res.err = rcode.Wrap(err, res.code, "caller.job %s %s: status %d: %.200s", method, path, res.status, res.body)
		case id != "" && j.ID != "" && j.ID != id:
			res.code = rcode.AnswerMismatched
			res.err = rcode.New(res.code, "caller.job %s %s: the response is about %q", method, path, j.ID)
		}
	}
	c.rec.Add(class, res.code, res.wait)
	return j, res
}
