package standkv

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httputil"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/stand/httpd"
)

// The messages of the JSON gateway. Keys and values are base64, 64-bit numbers are
// strings, and empty fields are omitted.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Mod   int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeReply struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs,omitempty"`
	Count  int        `json:"count,string,omitempty"`
}

type compare struct {
	Key    []byte `json:"key"`
	Target string `json:"target"`
	Result string `json:"result"`
	Mod    int64  `json:"mod_revision,string"`
}

type requestOp struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	} `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare         `json:"compare"`
	Success []requestOp       `json:"success"`
	Failure []json.RawMessage `json:"failure"`
}

type txnReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

type watchRequest struct {
	Create *struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
		Start    int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type event struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []event `json:"events,omitempty"`
}

type watchReply struct {
	Result watchResult `json:"result"`
}

// parseRange accepts the two kinds of ranges that the adapter uses: one key, for which
// exact is true, or all keys with a prefix.
func parseRange(key, end []byte) (exact, ok bool) {
	if len(end) == 0 {
		return true, true
	}
	return false, bytes.Equal(end, store.PrefixEnd(string(key)))
}

func (s *Server) rangeKeys(ctx *fasthttp.RequestCtx) {
	var req rangeRequest
	if !httpd.Decode(ctx, &req) {
		return
	}
	exact, ok := parseRange(req.Key, req.RangeEnd)
	if !ok {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "range_end must be empty or the end of the prefix key")
		return
	}
	kvs, rev, err := s.read(ctx, string(req.Key), exact)
	if err != nil {
		httpd.Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	out := rangeReply{Header: header{rev}}
	for _, kv := range kvs {
		out.KVs = append(out.KVs, keyValue{[]byte(kv.Key()), kv.Value(), kv.ModRevision()})
	}
	out.Count = len(out.KVs)
	httpd.JSON(ctx, fasthttp.StatusOK, out)
}

// read returns one key, or all keys with a prefix, and the revision. The revision is
// read before a single key, so that a watch from it misses no change.
func (s *Server) read(ctx context.Context, key string, exact bool) ([]store.KV, int64, error) {
	if !exact {
		return s.mem.List(ctx, key)
	}
	rev := s.mem.Revision()
	kv, err := s.mem.Get(ctx, key)
	if rcode.Is(err, rcode.NotFound) {
		return nil, rev, nil
	}
	return []store.KV{kv}, rev, err
}

func (s *Server) txn(ctx *fasthttp.RequestCtx) {
	var req txnRequest
	if !httpd.Decode(ctx, &req) {
		return
	}
	t, leaseOfKey, err := req.txn()
	if err != nil {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	if !s.leases.allExist(leaseOfKey) {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "requested lease not found")
		return
	}
	res, err := s.commit(ctx, t)
	if err != nil {
		httpd.Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	if res.Succeeded() {
		s.leases.attach(t, leaseOfKey)
	}
	httpd.JSON(ctx, fasthttp.StatusOK, txnReply{Header: header{res.Revision()}, Succeeded: res.Succeeded()})
}

// txn converts the request to a transaction and the lease of each key that it puts.
func (r txnRequest) txn() (*store.Txn, map[string]int64, error) {
	if len(r.Failure) > 0 {
		return nil, nil, errors.New("failure is not supported")
	}
	t, leaseOfKey := store.NewTxn(), map[string]int64{}
	for _, c := range r.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return nil, nil, errors.New("only MOD EQUAL is supported")
		}
		t.If(string(c.Key), c.Mod)
	}
	seen := map[string]bool{}
	for _, o := range r.Success {
		var key []byte
		switch {
		case o.Put != nil && len(o.Put.Value) > store.MaxValue:
			return nil, nil, errors.New("request is too large")
		case o.Put != nil:
			key = o.Put.Key
			t.Put(string(key), o.Put.Value)
			leaseOfKey[string(key)] = o.Put.Lease
		case o.Delete != nil && len(o.Delete.RangeEnd) == 0:
			key = o.Delete.Key
			t.Delete(string(key))
		default:
			return nil, nil, errors.New("only request_put and request_delete_range of one key are supported")
		}
		if len(key) == 0 || seen[string(key)] {
			return nil, nil, errors.New("key is not provided or given twice in the transaction")
		}
		seen[string(key)] = true
	}
	return t, leaseOfKey, nil
}

// commit commits t and adds it to the history. The caller holds s.writes.
func (s *Server) commit(ctx context.Context, t *store.Txn) (store.Result, error) {
	before := s.mem.Revision()
	res, err := s.mem.Commit(ctx, t)
	if err != nil || res.Revision() == before {
		return res, err
	}
	at := s.clk.Wall()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range t.Ops() {
		s.history.add(res.Revision(), at, o)
	}
	return res, nil
}

func (s *Server) watch(ctx *fasthttp.RequestCtx) {
	var req watchRequest
	if !httpd.Decode(ctx, &req) {
		return
	}
	if req.Create == nil {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "create_request is missing")
		return
	}
	key, from := string(req.Create.Key), req.Create.Start
	exact, ok := parseRange(req.Create.Key, req.Create.RangeEnd)
	if !ok {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "range_end must be empty or the end of the prefix key")
		return
	}
	revision := s.mem.Revision()
	if from <= 0 {
		from = revision + 1
	}
	// The connection is hijacked, since a handler that only writes would not notice
	// that the client has disconnected until the next change.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { s.stream(c, key, exact, from, revision) })
}

// stream serves a watch that was opened at a revision, until its client disconnects, the
// service goes down or the requested changes have been compacted. All goroutines that use
// c end before it returns, since the server then reuses the buffer of c.
func (s *Server) stream(c net.Conn, key string, exact bool, from, revision int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	interrupted, down := s.openWatch()
	defer s.closeWatch()
	if down {
		return
	}
	wg.Go(func() {
		_, _ = io.Copy(io.Discard, c)
		cancel()
	})
	wg.Go(func() {
		select {
		case <-interrupted:
			cancel()
		case <-ctx.Done():
		}
		// Closing a hijacked connection has no effect before the handler returns; a
		// deadline in the past ends its reads and writes.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	buf := bufio.NewWriter(c)
	_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	out := httputil.NewChunkedWriter(buf)
	send := func(r watchResult) {
		r.Header = header{revision}
		if json.NewEncoder(out).Encode(watchReply{r}) != nil || buf.Flush() != nil {
			cancel()
		}
	}
	send(watchResult{Created: true})
	// As in the service, the changes of a transaction are in one message.
	_, err := s.mem.WatchTransactions(ctx, key, from, func(changes []store.Change) {
		if exact {
			changes = slices.DeleteFunc(changes, func(ch store.Change) bool { return ch.KV().Key() != key })
		}
		if len(changes) > 0 {
			revision = changes[0].KV().ModRevision()
			send(watchResult{Events: eventsOf(changes)})
		}
	})
	if errors.Is(err, store.ErrCompacted) {
		send(watchResult{Canceled: true, CompactRevision: s.mem.CompactedRevision() + 1})
	}
	_ = out.Close()
	_, _ = buf.WriteString("\r\n")
	_ = buf.Flush()
}

// eventsOf converts changes to the events of a message.
func eventsOf(changes []store.Change) []event {
	out := make([]event, 0, len(changes))
	for _, ch := range changes {
		e := event{KV: keyValue{[]byte(ch.KV().Key()), ch.KV().Value(), ch.KV().ModRevision()}}
		if ch.Deleted() {
			e.Type = "DELETE"
		}
		out = append(out, e)
	}
	return out
}

func (s *Server) openWatch() (interrupted <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.watches++
	return s.interrupted, s.control.Down
}

func (s *Server) closeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.watches--
}
