package route

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/policy"
)

// IDTime is idTime for fuzz tests.
var IDTime = idTime

// Wire returns the bytes that HTTPBackend sends for a request, or the reason
// why the request is refused.
func Wire(req Request) ([]byte, error) {
	if err := req.check(); err != nil {
		return nil, err
	}
	hreq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(hreq)
	fill(hreq, "host", &req)
	var buf bytes.Buffer
	bw := bufio.NewWriter(&buf)
	if err := hreq.Write(bw); err != nil {
		return nil, err
	}
	return buf.Bytes(), bw.Flush()
}

// ReadWhole reads a response as HTTPBackend does.
func ReadWhole(raw []byte, limit int) (status int, body []byte, err error) {
	var resp fasthttp.Response
	err = readWhole(bufio.NewReader(bytes.NewReader(raw)), &resp, limit)
	return resp.StatusCode(), resp.Body(), err
}

// WithClass overrides the class of a request's queue: no valid bundle has two
// classes on one service.
func WithClass(c policy.Class) Option {
	return func(r *Request) { r.class = c }
}
