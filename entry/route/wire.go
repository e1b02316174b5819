package route

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
)

// exchange sends one request on one connection and reads its response. It
// replaces HostClient.Do, which does not report whether the request was sent,
// accepts a response without a length as complete when the connection ends, and
// would reuse a connection after a response to another request.
type exchange struct {
	client      *fasthttp.HostClient
	maxResponse int
	deadline    time.Time
	reauthorize func() error
}

// do returns errors that carry rcode codes.
func (x *exchange) do(req *fasthttp.Request, resp *fasthttp.Response) error {
	for {
		startedAt := time.Now()
		cc, err := x.client.AcquireConn(x.deadline.Sub(startedAt), false)
		if err != nil {
			return rcode.Wrap(errors.Join(ErrNotSent, err), rcode.BackendRefused, "dial")
		}
		dialed := !cc.CreatedTime().Before(startedAt)
		if !dialed && !connReusable(cc.Conn()) {
			x.client.CloseConn(cc)
			continue
		}
		// The VM's authority may have ended during the dial.
		if dialed && x.reauthorize != nil {
			if err := x.reauthorize(); err != nil {
				x.client.ReleaseConn(cc)
				return rcode.Wrap(errors.Join(ErrNotSent, errNotAuthorized, err), rcode.Of(err), "after the dial")
			}
		}
		err = x.roundTrip(cc.Conn(), req, resp)
		if err != nil || resp.ConnectionClose() {
			x.client.CloseConn(cc)
		} else {
			x.client.ReleaseConn(cc)
		}
		return err
	}
}

// roundTrip sends the request on an open connection and reads the response.
func (x *exchange) roundTrip(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	if err := conn.SetDeadline(x.deadline); err != nil {
		return rcode.Wrap(errors.Join(ErrNotSent, err), rcode.BackendRefused, "set deadline")
	}
	bw := x.client.AcquireWriter(conn)
	err := req.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	x.client.ReleaseWriter(bw)
	if err != nil {
		return classifyError(err, rcode.OutcomeUnknown, "send")
	}
	br := x.client.AcquireReader(conn)
	defer x.client.ReleaseReader(br)
	if _, err := br.Peek(1); err != nil {
		return classifyError(err, rcode.OutcomeUnknown, "no response")
	}
	resp.SkipBody = req.Header.IsHead()
	if err := readResponse(br, resp, x.maxResponse); err != nil {
		return err
	}
	if got := resp.Header.Peek(HeaderID); string(got) != string(req.Header.Peek(HeaderID)) {
		return rcode.Wrap(ErrAbandoned, rcode.AnswerMismatched, "received the response to request %q", got)
	}
	if br.Buffered() > 0 {
		resp.SetConnectionClose()
	}
	return nil
}

// maxInterimResponses bounds the number of 1xx responses before the final one.
const maxInterimResponses = 4

// readResponse reads one response of at most limit bytes. It accepts only
// responses whose end is certain: by a length, by chunks, or because there can be
// no body.
func readResponse(br *bufio.Reader, resp *fasthttp.Response, limit int) error {
	for interim := 0; ; interim++ {
		if err := resp.Header.Read(br); err != nil {
			return classifyError(err, rcode.AnswerIncomplete, "header")
		}
		if resp.StatusCode() >= 200 || resp.StatusCode() == fasthttp.StatusSwitchingProtocols || interim == maxInterimResponses {
			break
		}
	}
	n, status := resp.Header.ContentLength(), resp.StatusCode()
	switch {
	case status < 200:
		return rcode.Wrap(ErrAbandoned, rcode.AnswerIncomplete, "final response missing after interim status %d", status)
	case resp.SkipBody, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		return nil
	case n < -1:
		return rcode.Wrap(ErrAbandoned, rcode.AnswerIncomplete, "response has no length")
	}
	err := resp.ReadBody(br, limit)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return rcode.Wrap(err, rcode.AnswerTooLarge, "response is larger than %d bytes", limit)
	}
	if err == nil && n == -1 {
		err = resp.Header.ReadTrailer(br)
	}
	return classifyError(err, rcode.AnswerIncomplete, "body")
}

// classifyError returns err with a code. It is used after at least a part of the
// request was sent: a timeout is an abandoned request, any other error gets the
// given code.
func classifyError(err error, code rcode.Code, operation string) error {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return rcode.Wrap(errors.Join(ErrAbandoned, err), rcode.OutcomeUnknown, "%s: timeout", operation)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return rcode.Wrap(err, code, "%s: connection closed", operation)
	default:
		return rcode.Wrap(err, code, "%s", operation)
	}
}
