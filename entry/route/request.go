package route

import (
	"strings"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Request is one authorised request.
type Request struct {
	id           string
	hasCallerID  bool
	grant        policy.Grant
	queue        policy.Queue
	class        policy.Class
	deadline     time.Time
	monoDeadline clock.Mono
	repeatable   bool
	method       string
	path         string
	contentType  string
	body         []byte
	// reauthorize calls Gate.Authorize again. HTTPBackend calls it after a dial.
	reauthorize func() error
}

// Option sets an optional property of a Request.
type Option func(*Request)

// WithCallerID sets whether the id was chosen by the caller.
func WithCallerID(callerID bool) Option {
	return func(r *Request) { r.hasCallerID = callerID }
}

// WithRepeatable sets whether the work may run more than once.
func WithRepeatable(repeatable bool) Option {
	return func(r *Request) { r.repeatable = repeatable }
}

// WithPayload sets what is sent to the backend server. The default is an empty
// POST to /. The body must not change until Do has returned.
func WithPayload(method, path, contentType string, body []byte) Option {
	return func(r *Request) {
		r.method, r.path, r.contentType, r.body = method, path, contentType, body
	}
}

// NewRequest returns a request whose response is due by deadline, a wall time.
func NewRequest(id string, grant policy.Grant, queue policy.Queue, deadline time.Time, opts ...Option) Request {
	r := Request{
		id: id, grant: grant, queue: queue, class: queue.Class(), deadline: deadline,
		method: "POST", path: "/",
	}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// WithoutCallerID returns a copy of the request whose id does not count as the
// caller's. The request's home shard, which remembers the id, passes this copy
// on to the shard that sends it.
func (r Request) WithoutCallerID() Request {
	r.hasCallerID = false
	return r
}

// ID returns the request's id.
func (r Request) ID() string { return r.id }

// HasCallerID reports whether the id was chosen by the caller.
func (r Request) HasCallerID() bool { return r.hasCallerID }

// Grant returns the authorisation under which the request was accepted.
func (r Request) Grant() policy.Grant { return r.grant }

// Queue returns the queue that the request was sent to.
func (r Request) Queue() policy.Queue { return r.queue }

// Deadline returns the wall time by which the caller needs the response.
func (r Request) Deadline() time.Time { return r.deadline }

// MonoDeadline returns the deadline on the router's monotonic clock. It is 0
// before a router has accepted the request.
func (r Request) MonoDeadline() clock.Mono { return r.monoDeadline }

// Repeatable reports whether the work may run more than once.
func (r Request) Repeatable() bool { return r.repeatable }

// Method returns the HTTP method for the backend server.
func (r Request) Method() string { return r.method }

// Path returns the path and query for the backend server.
func (r Request) Path() string { return r.path }

// ContentType returns the type of the body.
func (r Request) ContentType() string { return r.contentType }

// Body returns the body. Callers must not change it.
func (r Request) Body() []byte { return r.body }

// maxIDLength bounds the length of ids, which are kept in memory after the
// response.
const maxIDLength = 128

// validate rejects values that would reach a backend server in another form than
// the caller gave them, such as a line break in a header value.
func (r *Request) validate() error {
	switch {
	case r.id == "" || len(r.id) > maxIDLength || !isPrintableASCII(r.id, false):
		return rcode.New(rcode.BadRequest, "id must be 1 to %d visible characters", maxIDLength)
	case r.method == "" || strings.Trim(r.method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return rcode.New(rcode.BadRequest, "method %q must consist of capital letters", r.method)
	case len(r.body) > 0 && (r.method == "GET" || r.method == "HEAD"):
		return rcode.New(rcode.BadRequest, "a %s request must not have a body", r.method)
	case !strings.HasPrefix(r.path, "/") || !isPrintableASCII(r.path, false) || strings.ContainsRune(r.path, '#'):
		return rcode.New(rcode.BadRequest, "path %q must be absolute, printable and without a fragment", r.path)
	case !isPrintableASCII(r.contentType, true):
		return rcode.New(rcode.BadRequest, "content type %q must not have control or non-ASCII characters", r.contentType)
	}
	return nil
}

// isPrintableASCII reports whether s has only printable ASCII characters. Spaces
// are allowed if allowSpace is set.
func isPrintableASCII(s string, allowSpace bool) bool {
	for i := range len(s) {
		c := s[i]
		if c > '~' || c < ' ' || (c == ' ' && !allowSpace) {
			return false
		}
	}
	return true
}

// Response is the complete response of a backend server.
type Response struct {
	id          string
	status      int
	contentType string
	body        []byte
}

// NewResponse returns a response to the request with the given id.
func NewResponse(id string, status int, contentType string, body []byte) Response {
	return Response{id: id, status: status, contentType: contentType, body: body}
}

// ID returns the id of the request that the response belongs to.
func (r Response) ID() string { return r.id }

// Status returns the HTTP status.
func (r Response) Status() int { return r.status }

// ContentType returns the type of the body.
func (r Response) ContentType() string { return r.contentType }

// Body returns the body. Callers must not change it, since the responses to
// duplicate requests share it.
func (r Response) Body() []byte { return r.body }
