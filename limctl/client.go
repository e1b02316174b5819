package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
)

// maxReplyBytes limits the body of a reply. A signed bundle is at most 1 MB; the
// status of a cell of the planned size is about 300 KB.
const maxReplyBytes = 8 << 20

// client calls the HTTP API of entry VMs.
type client struct {
	http    *fasthttp.Client
	entries []string
	token   string
	timeout time.Duration
}

// notSentError is a failure before any byte of the request was sent.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// noReplyError is a failure after which the request may have taken effect.
type noReplyError struct{ err error }

func (e *noReplyError) Error() string { return e.err.Error() }
func (e *noReplyError) Unwrap() error { return e.err }

func newClient(entries []string, token string, timeout time.Duration) *client {
	c := &client{token: token, timeout: timeout}
	for _, e := range entries {
		if !strings.Contains(e, "://") {
			e = "http://" + e
		}
		c.entries = append(c.entries, strings.TrimRight(e, "/"))
	}
	c.http = &fasthttp.Client{
		Name:                "limctl",
		MaxResponseBodySize: maxReplyBytes,
		// Automatic retries would send a publication again without first reading
		// whether the earlier request took effect.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(addr, timeout)
			if err != nil {
				return nil, &notSentError{err: err}
			}
			return conn, nil
		},
	}
	return c
}

// apiError is the body of an error response of an entry VM.
type apiError struct {
	Code    rcode.Code `json:"code"`
	Message string     `json:"message"`
	Version int64      `json:"version,omitempty"`
	Author  string     `json:"author,omitempty"`
}

// call sends one request to one entry VM and returns the body of a 2xx reply.
func (c *client) call(method, entry, path string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(entry + path)
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	err := c.http.DoTimeout(req, resp, c.timeout)
	var unsent *notSentError
	switch {
	case errors.As(err, &unsent):
		return nil, rcode.Wrap(unsent, rcode.PeerUnreachable, "entry VM %s", entry)
	case err != nil:
		return nil, rcode.Wrap(&noReplyError{err: err}, rcode.PeerUnreachable, "entry VM %s", entry)
	}
	raw := append([]byte(nil), resp.Body()...)
	if resp.StatusCode()/100 == 2 {
		return raw, nil
	}
	return nil, replyError(entry, resp.StatusCode(), raw)
}

func replyError(entry string, status int, raw []byte) error {
	var e apiError
	if json.Unmarshal(raw, &e) != nil || len(e.Code) != 6 {
		err := fmt.Errorf("HTTP status %d without a result code", status)
		return rcode.Wrap(&noReplyError{err: err}, rcode.PeerUnreachable, "entry VM %s", entry)
	}
	if e.Code == rcode.BundleConflict && e.Author != "" {
		return rcode.New(e.Code, "entry VM %s: version %d by %s was published first: %s", entry, e.Version, e.Author, e.Message)
	}
	return rcode.New(e.Code, "entry VM %s: %s", entry, e.Message)
}

// get tries the entry VMs in order until one responds. Reads have no side effects,
// so trying the next VM is safe after any failure.
func (c *client) get(path string, out any) error {
	raw, err := c.getRaw(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return rcode.Wrap(err, rcode.Internal, "client.get %s", path)
	}
	return nil
}

func (c *client) getRaw(path string) ([]byte, error) {
	var first error
	for _, entry := range c.entries {
		raw, err := c.call(fasthttp.MethodGet, entry, path, nil)
		if err == nil {
			return raw, nil
		}
		if !rcode.Of(err).Retryable() {
			return nil, err
		}
		if first == nil {
			first = err
		}
	}
	return nil, first
}
