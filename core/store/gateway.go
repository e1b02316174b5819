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

// Config holds the settings of the adapter.
type Config struct {
	// URL of the service's JSON gateway, http://IP:PORT.
	URL string
	// CallTimeout bounds one call; 0 means 2 s.
	CallTimeout time.Duration
}

// Defaults sets what was left empty.
func (c *Config) Defaults() {
	if c.CallTimeout == 0 {
		c.CallTimeout = 2 * time.Second
	}
}

// Check returns all faults of the settings.
func (c *Config) Check() error {
	u, err := url.Parse(c.URL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return rcode.New(rcode.SettingInvalid, "store.Config: URL %q is not http://IP:PORT", c.URL)
	}
	return nil
}

// Gateway speaks the etcd v3 JSON gateway protocol (/v3/kv/range, /v3/kv/txn,
// /v3/watch). Keys and values are base64, 64-bit numbers are strings.
type Gateway struct {
	cfg   Config
	host  string
	cli   *fasthttp.HostClient
	calls atomic.Int64
}

var _ Store = (*Gateway)(nil)

// New returns an adapter; it connects at the first call.
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
	g.cli = &fasthttp.HostClient{
		Addr:     u.Host,
		MaxConns: 64,
		// A write must be sent once: the caller settles a lost reply by reading.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       64 << 20,
	}
	return g, nil
}

// Calls returns the number of calls sent so far; a watch counts as one.
func (g *Gateway) Calls() int64 { return g.calls.Load() }

type jsonKV struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Mod   int64  `json:"mod_revision,string"`
}

func (k jsonKV) kv() KV { return KV{key: string(k.Key), value: k.Value, mod: k.Mod} }

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
		Canceled bool `json:"canceled"`
		Events   []struct {
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
		req.Compare = append(req.Compare, jsonCompare{Key: []byte(c.key), Target: "MOD", Result: "EQUAL", Mod: c.mod})
	}
	for _, o := range t.ops {
		if len(o.value) > MaxValue {
			return Result{}, rcode.New(rcode.BodyTooLarge, "store.Commit: %s has %d bytes, more than %d", o.key, len(o.value), MaxValue)
		}
		if o.remove {
			req.Success = append(req.Success, jsonOp{Delete: &jsonDelete{Key: []byte(o.key)}})
			continue
		}
		req.Success = append(req.Success, jsonOp{Put: &jsonPut{Key: []byte(o.key), Value: o.value}})
	}
	var out txnReply
	if err := g.call(ctx, "/v3/kv/txn", req, &out); err != nil {
		return Result{}, err
	}
	return Result{done: out.Succeeded, rev: out.Header.Revision}, nil
}

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
	if err := g.cli.DoDeadline(req, resp, deadline); err != nil {
		return rcode.Wrap(err, failureCode(err), "store.call %s", path)
	}
	if s := resp.StatusCode(); s != fasthttp.StatusOK {
		return rcode.New(statusFailure(s), "store.call %s: status %d: %.200s", path, s, resp.Body())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return rcode.Wrap(err, rcode.OutcomeUnknown, "store.call %s: decode", path)
	}
	return nil
}

// failureCode tells a call that was never sent from one that may have been.
func failureCode(err error) rcode.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return rcode.StoreUnavailable
	}
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return rcode.StoreUnavailable
	}
	return rcode.OutcomeUnknown
}

// statusFailure: 429 is sent before a call is taken up; any other status may
// come from a gateway in front of a service that applied the write.
func statusFailure(status int) rcode.Code {
	if status == fasthttp.StatusTooManyRequests {
		return rcode.StoreUnavailable
	}
	return rcode.OutcomeUnknown
}

// Watch implements Store. Each watch has its own connection, which is closed
// when ctx ends, since a blocked read of a stream cannot be cancelled otherwise.
func (g *Gateway) Watch(ctx context.Context, prefix string, from int64, fn func(Change)) error {
	var mu sync.Mutex
	var conn net.Conn
	cli := &fasthttp.HostClient{
		Addr:                      g.host,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			c, err := fasthttp.DialTimeout(addr, g.cfg.CallTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && ctx.Err() != nil {
				// ctx ended before there was a connection to close.
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
	defer cli.CloseIdleConnections()
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), Start: from}})
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "store.Watch")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.host + "/v3/watch")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	g.calls.Add(1)
	if err := cli.Do(req, resp); err != nil {
		return rcode.Wrap(err, rcode.StoreUnavailable, "store.Watch %s", prefix)
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK || resp.BodyStream() == nil {
		return rcode.New(rcode.StoreUnavailable, "store.Watch %s: status %d", prefix, resp.StatusCode())
	}
	dec := json.NewDecoder(resp.BodyStream())
	for {
		var w watchReply
		if err := dec.Decode(&w); err != nil {
			return rcode.Wrap(err, rcode.StoreUnavailable, "store.Watch %s", prefix)
		}
		if w.Result.Canceled {
			return rcode.New(rcode.StoreUnavailable, "store.Watch %s: cancelled by the service", prefix)
		}
		for _, e := range w.Result.Events {
			fn(Change{kv: e.KV.kv(), deleted: strings.EqualFold(e.Type, "DELETE")})
		}
	}
}
