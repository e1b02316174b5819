package store

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// Config holds the settings of a Gateway.
type Config struct {
	// URL is the address of the service's JSON gateway, http://IP:PORT.
	URL string
	// CallTimeout is the timeout of a call; 0 means 2 s.
	CallTimeout time.Duration
}

// Defaults sets the empty fields to their default values.
func (c *Config) Defaults() {
	if c.CallTimeout == 0 {
		c.CallTimeout = 2 * time.Second
	}
}

// Check returns an error if the settings are invalid.
func (c *Config) Check() error {
	u, err := url.Parse(c.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return rcode.New(rcode.SettingInvalid, "store.Config: URL %q is not http://IP:PORT", c.URL)
	}
	return nil
}

// Gateway is a client of the etcd v3 JSON gateway (/v3/kv/range, /v3/kv/txn and
// /v3/watch). Keys and values are base64 and 64-bit integers are strings.
type Gateway struct {
	cfg    Config
	host   string
	client *fasthttp.HostClient
	calls  atomic.Int64
}

var _ Store = (*Gateway)(nil)

// New returns a client that connects at its first call.
func New(cfg Config, _ clock.Clock) (*Gateway, error) {
	cfg.Defaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	u, err := url.Parse(cfg.URL)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "store.New")
	}
	g := &Gateway{cfg: cfg, host: u.Host}
	g.client = &fasthttp.HostClient{
		Addr:     u.Host,
		MaxConns: 64,
		// Calls are never repeated, since a write must be sent at most once. After a
		// lost reply, the caller reads the keys to find out the outcome.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       64 << 20,
	}
	return g, nil
}

// Calls returns the number of calls sent so far. A watch counts as one call.
func (g *Gateway) Calls() int64 { return g.calls.Load() }

type jsonKV struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Mod   int64  `json:"mod_revision,string"`
}

func (k jsonKV) kv() KV { return KV{key: string(k.Key), value: k.Value, modRevision: k.Mod} }

type jsonHeader struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeReply struct {
	Header jsonHeader `json:"header"`
	KVs    []jsonKV   `json:"kvs"`
}

type jsonCompare struct {
	Key    []byte `json:"key"`
	Target string `json:"target"`
	Result string `json:"result"`
	Mod    int64  `json:"mod_revision,string"`
}

type jsonPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type jsonDelete struct {
	Key []byte `json:"key"`
}

type jsonOp struct {
	Put    *jsonPut    `json:"request_put,omitempty"`
	Delete *jsonDelete `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []jsonCompare `json:"compare"`
	Success []jsonOp      `json:"success"`
}

type txnReply struct {
	Header    jsonHeader `json:"header"`
	Succeeded bool       `json:"succeeded"`
}

type watchCreate struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Start    int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchReply struct {
	Result struct {
		Header          jsonHeader `json:"header"`
		Canceled        bool       `json:"canceled"`
		CompactRevision int64      `json:"compact_revision,string"`
		Events          []struct {
			Type string `json:"type"`
			KV   jsonKV `json:"kv"`
		} `json:"events"`
	} `json:"result"`
}

// PrefixEnd returns the first key after all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// Get implements Store.
func (g *Gateway) Get(ctx context.Context, key string) (KV, error) {
	var out rangeReply
	if err := g.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &out); err != nil {
		return KV{}, rcode.Wrap(err, rcode.StoreUnavailable, "store.Get %s", key)
	}
	if len(out.KVs) == 0 {
		return KV{}, rcode.New(rcode.NotFound, "store.Get %s", key)
	}
	return out.KVs[0].kv(), nil
}

// List implements Store.
func (g *Gateway) List(ctx context.Context, prefix string) ([]KV, int64, error) {
	var out rangeReply
	req := rangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := g.call(ctx, "/v3/kv/range", req, &out); err != nil {
		return nil, 0, rcode.Wrap(err, rcode.StoreUnavailable, "store.List %s", prefix)
	}
	kvs := make([]KV, 0, len(out.KVs))
	for _, k := range out.KVs {
		kvs = append(kvs, k.kv())
	}
	return kvs, out.Header.Revision, nil
}

// Commit implements Store.
func (g *Gateway) Commit(ctx context.Context, t *Txn) (Result, error) {
	req := txnRequest{}
	for _, c := range t.conds {
		req.Compare = append(req.Compare, jsonCompare{Key: []byte(c.key), Target: "MOD", Result: "EQUAL", Mod: c.modRevision})
	}
	for _, o := range t.ops {
		if len(o.value) > MaxValue {
			return Result{}, rcode.New(rcode.BodyTooLarge, "store.Commit: %s has %d bytes, more than %d", o.key, len(o.value), MaxValue)
		}
		if o.isDelete {
			req.Success = append(req.Success, jsonOp{Delete: &jsonDelete{Key: []byte(o.key)}})
			continue
		}
		req.Success = append(req.Success, jsonOp{Put: &jsonPut{Key: []byte(o.key), Value: o.value}})
	}
	var out txnReply
	if err := g.call(ctx, "/v3/kv/txn", req, &out); err != nil {
		return Result{}, err
	}
	return Result{succeeded: out.Succeeded, revision: out.Header.Revision}, nil
}

// call sends a request to path and decodes the reply into out. It does not wait
// beyond the deadline of ctx or CallTimeout.
func (g *Gateway) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "store.call")
	}
	deadline := time.Now().Add(g.cfg.CallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if ctx.Err() != nil {
		return rcode.Wrap(ctx.Err(), rcode.StoreUnavailable, "store.call %s", path)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.host + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	g.calls.Add(1)
	if err := g.client.DoDeadline(req, resp, deadline); err != nil {
		return rcode.Wrap(err, codeOfError(err), "store.call %s", path)
	}
	if s := resp.StatusCode(); s != fasthttp.StatusOK {
		return rcode.New(codeOfStatus(s), "store.call %s: status %d: %.200s", path, s, resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return rcode.Wrap(err, rcode.OutcomeUnknown, "store.call %s: decode", path)
	}
	return nil
}

// codeOfError returns StoreUnavailable for an error of a call that was never sent and
// OutcomeUnknown for one that may have been.
func codeOfError(err error) rcode.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rcode.StoreUnavailable
	}
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return rcode.StoreUnavailable
	}
	return rcode.OutcomeUnknown
}

// codeOfStatus returns the code for an HTTP status other than 200. A call refused
// with 429 had no effect. Any other status may come from a gateway in front of the
// service after the service applied the write.
func codeOfStatus(status int) rcode.Code {
	if status == fasthttp.StatusTooManyRequests {
		return rcode.StoreUnavailable
	}
	return rcode.OutcomeUnknown
}

// Watch implements Store. Each watch has its own connection, which is closed when ctx
// ends, since there is no other way to cancel a blocked read of the stream.
func (g *Gateway) Watch(ctx context.Context, prefix string, from int64, fn func(Change)) (next int64, err error) {
	var mu sync.Mutex
	var conn net.Conn
	client := &fasthttp.HostClient{
		Addr:                      g.host,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, g.cfg.CallTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && ctx.Err() != nil {
				// ctx ended before AfterFunc had a connection to close.
				_ = c.Close()
				return nil, ctx.Err()
			}
			conn = c
			return c, err
		},
	}
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if conn != nil {
			_ = conn.Close()
		}
	})
	defer stop()
	defer client.CloseIdleConnections()
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), Start: from}})
	if err != nil {
		return from, rcode.Wrap(err, rcode.Internal, "store.Watch")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.host + "/v3/watch")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	g.calls.Add(1)
	if err := client.Do(req, resp); err != nil {
		return from, rcode.Wrap(err, rcode.StoreUnavailable, "store.Watch %s", prefix)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK || resp.BodyStream() == nil {
		return from, rcode.New(rcode.StoreUnavailable, "store.Watch %s: status %d", prefix, resp.StatusCode())
	}
	dec := json.NewDecoder(resp.BodyStream())
	for next = from; ; {
		var w watchReply
		if err := dec.Decode(&w); err != nil {
			return next, rcode.Wrap(err, rcode.StoreUnavailable, "store.Watch %s", prefix)
		}
		if w.Result.Canceled && w.Result.CompactRevision > 0 {
			return next, rcode.New(rcode.NotFound, "store.Watch %s: no changes from before revision %d", prefix, w.Result.CompactRevision)
		}
		if w.Result.Canceled {
			return next, rcode.New(rcode.StoreUnavailable, "store.Watch %s: cancelled by the service", prefix)
		}
		if next <= 0 {
			next = w.Result.Header.Revision + 1
		}
		// The service sends all changes of a revision in one message.
		for _, e := range w.Result.Events {
			next = e.KV.Mod + 1
			fn(Change{kv: e.KV.kv(), deleted: strings.EqualFold(e.Type, "DELETE")})
		}
	}
}
