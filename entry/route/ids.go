package route

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// idKey identifies a request with a caller's id. Different teams may use the
// same id.
type idKey struct{ team, id string }

// idEntry records the first request with an id: it is running, or it has ended
// with a response or an error.
type idEntry struct {
	key       idKey
	hash      [sha256.Size]byte
	expires   clock.Mono
	heapIndex int
	ended     bool
	resp      Response
	err       error
	// done is created by the first duplicate request and closed when the first
	// request ends.
	done chan struct{}
}

// idTable remembers callers' ids in bounded memory.
type idTable struct {
	cfg     Config
	clk     clock.Clock
	entries map[idKey]*idEntry
	expiry  idHeap
	// bodies are the entries that keep a response body, oldest first.
	bodies []*idEntry
	// bodyBytes is the total size of the kept bodies.
	bodyBytes int
}

// idHeap orders entries by expiry.
type idHeap []*idEntry

func (h idHeap) Len() int           { return len(h) }
func (h idHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h idHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *idHeap) Push(x any) {
	e := x.(*idEntry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

func (h *idHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}

func newIDTable(cfg Config, clk clock.Clock) *idTable {
	return &idTable{cfg: cfg, clk: clk, entries: map[idKey]*idEntry{}}
}

// fingerprint returns a hash of the request's queue, method, path, content type
// and body. Two requests with the same id and team must have the same
// fingerprint.
func fingerprint(req *Request) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, s := range []string{req.queue.Name(), req.method, req.path, req.contentType} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(req.body)
	h.Sum(sum[:0])
	return sum
}

// add records a new id. It fails with QueueFull when MaxIDs are remembered.
func (t *idTable) add(e *idEntry, now clock.Mono) error {
	t.expire(now)
	if len(t.entries) >= t.cfg.MaxIDs {
		return rcode.New(rcode.QueueFull, "%d ids are remembered", len(t.entries))
	}
	t.entries[e.key] = e
	heap.Push(&t.expiry, e)
	return nil
}

// expire deletes the entries whose retention has ended.
func (t *idTable) expire(now clock.Mono) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= now {
		e := heap.Pop(&t.expiry).(*idEntry)
		delete(t.entries, e.key)
		t.dropBody(e)
	}
	t.evictBodies()
}

// evictBodies drops the oldest bodies until the rest fits into MaxIDBytes. It
// also removes entries at the head of the list whose body is already gone.
func (t *idTable) evictBodies() {
	for len(t.bodies) > 0 && (t.bodyBytes > t.cfg.MaxIDBytes || t.bodies[0].resp.body == nil) {
		t.dropBody(t.bodies[0])
		t.bodies[0] = nil
		t.bodies = t.bodies[1:]
	}
}

// dropBody drops the body of an entry. A response that was kept is replaced by
// "outcome unknown", so that the work does not run again.
func (t *idTable) dropBody(e *idEntry) {
	t.bodyBytes -= len(e.resp.body)
	e.resp.body = nil
	if e.ended && e.err == nil {
		e.err = rcode.New(rcode.OutcomeUnknown, "the work ran; its response is no longer kept")
	}
}

// setOutcome records the outcome of an entry's request and wakes up duplicates.
// An id whose work did not run is forgotten, so that the caller can try again
// under the same id.
func (t *idTable) setOutcome(e *idEntry, resp Response, err error) {
	e.ended, e.resp, e.err = true, resp, err
	if e.done != nil {
		close(e.done)
	}
	if e.heapIndex < 0 {
		return
	}
	if rcode.Of(err).NotRun() {
		heap.Remove(&t.expiry, e.heapIndex)
		delete(t.entries, e.key)
		return
	}
	t.keepBody(e)
}

// keepBody adds the entry's response body to the kept ones, which may evict
// older bodies.
func (t *idTable) keepBody(e *idEntry) {
	if len(e.resp.body) == 0 {
		return
	}
	t.bodyBytes += len(e.resp.body)
	t.bodies = append(t.bodies, e)
	t.evictBodies()
}

// runOnce runs a non-repeatable request with a caller's id: the first call runs
// it, duplicates wait for its outcome.
func (r *Router) runOnce(ctx context.Context, req *Request) (Response, error) {
	key := idKey{team: req.grant.Team(), id: req.id}
	hash := fingerprint(req)
	r.mu.Lock()
	now := r.clk.Now()
	r.ids.expire(now)
	if e, ok := r.ids.entries[key]; ok {
		return r.awaitFirst(ctx, req, e, hash, now)
	}
	if r.mayHaveRun(req, now) {
		r.mu.Unlock()
		return Response{}, rcode.New(rcode.OutcomeUnknown, "id %q may have run before the takeover", req.id)
	}
	e := &idEntry{key: key, hash: hash, expires: req.monoDeadline.Add(IDRetention)}
	err := r.ids.add(e, now)
	r.mu.Unlock()
	if err != nil {
		return Response{}, err
	}
	resp, err := r.sendWithRetries(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids.setOutcome(e, resp, err)
	return resp, err
}

// awaitFirst waits for the outcome of the first request with the same id. It is
// called with the lock held and releases it.
func (r *Router) awaitFirst(ctx context.Context, req *Request, e *idEntry, hash [sha256.Size]byte, now clock.Mono) (Response, error) {
	if e.hash != hash {
		r.mu.Unlock()
		return Response{}, rcode.New(rcode.IDReused, "id %q was used for a different request", req.id)
	}
	if e.ended {
		defer r.mu.Unlock()
		return e.resp, e.err
	}
	if e.done == nil {
		e.done = make(chan struct{})
	}
	done := e.done
	r.mu.Unlock()
	select {
	case <-done:
		r.mu.Lock()
		defer r.mu.Unlock()
		return e.resp, e.err
	case <-ctx.Done():
		return Response{}, rcode.Wrap(ctx.Err(), rcode.OutcomeUnknown, "the first request with id %q is still running", req.id)
	case <-r.clk.After(req.monoDeadline.Sub(now)):
		return Response{}, rcode.New(rcode.OutcomeUnknown, "the first request with id %q is still running", req.id)
	}
}

// MarkTakeover records that, at the wall time at, this router replaced an owner
// that failed without a handover. For MaxTimeout after that it reports "outcome
// unknown" for ids whose work the former owner may have run.
func (r *Router) MarkTakeover(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeoverAt = at
	r.takeoverMono = r.clk.Now().Add(at.Sub(r.clk.Wall()))
}

// mayHaveRun reports whether a former owner that failed may have run the work of
// an id that this router does not know. A UUIDv7 made more than
// MaxCallerClockSkew after the takeover is certainly new.
func (r *Router) mayHaveRun(req *Request, now clock.Mono) bool {
	if r.takeoverAt.IsZero() || now.Sub(r.takeoverMono) >= MaxTimeout {
		return false
	}
	createdAt, ok := uuidTime(req.id)
	return !ok || !createdAt.After(r.takeoverAt.Add(MaxCallerClockSkew))
}

// uuidTime returns the timestamp of a UUIDv7 (RFC 9562). It returns false for
// any other id.
func uuidTime(id string) (time.Time, bool) {
	if len(id) != 36 || id[8] != '-' || id[13] != '-' || id[18] != '-' || id[23] != '-' {
		return time.Time{}, false
	}
	var b [16]byte
	packed := id[:8] + id[9:13] + id[14:18] + id[19:23] + id[24:]
	if _, err := hex.Decode(b[:], []byte(packed)); err != nil {
		return time.Time{}, false
	}
	if b[6]>>4 != 7 || b[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, x := range b[:6] {
		ms = ms<<8 | int64(x)
	}
	return time.UnixMilli(ms), true
}
