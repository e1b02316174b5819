package route

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// idKey names a caller's id. Different teams may use the same id.
type idKey struct{ team, id string }

// idEntry is what is known about an id: its first request is running, or has
// ended with a response or an error.
type idEntry struct {
	key     idKey
	hash    [sha256.Size]byte
	expires clock.Mono
	ended   bool
	resp    Response
	err     error
	// done is made by the first duplicate and closed at the end.
	done chan struct{}
}

// idTable remembers callers' ids in bounded memory.
type idTable struct {
	cfg     Config
	clk     clock.Clock
	entries map[idKey]*idEntry
	expiry  idHeap
	// bodies are the entries that keep a body, the oldest first.
	bodies []*idEntry
	bytes  int
}

type idHeap []*idEntry

func (h idHeap) Len() int           { return len(h) }
func (h idHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h idHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *idHeap) Push(x any)        { *h = append(*h, x.(*idEntry)) }

func (h *idHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

func newIDTable(cfg Config, clk clock.Clock) *idTable {
	return &idTable{cfg: cfg, clk: clk, entries: map[idKey]*idEntry{}}
}

// fingerprint covers everything that makes two requests the same work.
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

// add enters a new id.
func (t *idTable) add(e *idEntry, now clock.Mono) error {
	t.expire(now)
	if len(t.entries) >= t.cfg.MaxIDs {
		return rcode.New(rcode.QueueFull, "%d ids are remembered", len(t.entries))
	}
	t.entries[e.key] = e
	heap.Push(&t.expiry, e)
	return nil
}

func (t *idTable) expire(now clock.Mono) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= now {
		e := heap.Pop(&t.expiry).(*idEntry)
		if t.entries[e.key] == e {
			delete(t.entries, e.key)
		}
		t.dropBody(e)
	}
}

func (t *idTable) dropBody(e *idEntry) {
	t.bytes -= len(e.resp.body)
	e.resp.body = nil
	if e.ended && e.err == nil {
		e.err = rcode.New(rcode.OutcomeUnknown, "the work ran; its response is no longer kept")
	}
}

// end records the outcome. An id whose work did not run is forgotten, so that
// the caller can try again under the same id.
func (t *idTable) end(e *idEntry, resp Response, err error) {
	e.ended, e.resp, e.err = true, resp, err
	if e.done != nil {
		close(e.done)
	}
	if rcode.Of(err).NotRun() {
		delete(t.entries, e.key)
		return
	}
	t.keepBody(e)
}

func (t *idTable) keepBody(e *idEntry) {
	if len(e.resp.body) == 0 {
		return
	}
	t.bytes += len(e.resp.body)
	t.bodies = append(t.bodies, e)
	for t.bytes > t.cfg.MaxIDBytes && len(t.bodies) > 0 {
		t.dropBody(t.bodies[0])
		t.bodies[0] = nil
		t.bodies = t.bodies[1:]
	}
}

// once runs a request that is not repeatable under its caller's id: the first
// call runs it, others wait for its outcome.
func (r *Router) once(ctx context.Context, req *Request) (Response, error) {
	key := idKey{team: req.grant.Team(), id: req.id}
	hash := fingerprint(req)
	r.mu.Lock()
	now := r.clk.Now()
	r.ids.expire(now)
	if e, ok := r.ids.entries[key]; ok {
		return r.join(ctx, req, e, hash, now)
	}
	if r.mayHaveRun(req, now) {
		r.mu.Unlock()
		return Response{}, rcode.New(rcode.OutcomeUnknown, "id %q may have run before the takeover", req.id)
	}
	e := &idEntry{key: key, hash: hash, expires: req.until.Add(IDGrace)}
	err := r.ids.add(e, now)
	r.mu.Unlock()
	if err != nil {
		return Response{}, err
	}
	resp, err := r.run(ctx, req)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids.end(e, resp, err)
	return resp, err
}

// join waits for the outcome of the first request with the same id. It is
// called with the lock held and unlocks.
func (r *Router) join(ctx context.Context, req *Request, e *idEntry, hash [sha256.Size]byte, now clock.Mono) (Response, error) {
	if e.hash != hash {
		r.mu.Unlock()
		return Response{}, rcode.New(rcode.IDReused, "id %q came with another request", req.id)
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
		return Response{}, rcode.Wrap(ctx.Err(), rcode.OutcomeUnknown, "id %q is running", req.id)
	case <-r.clk.After(req.until.Sub(now)):
		return Response{}, rcode.New(rcode.OutcomeUnknown, "id %q is running", req.id)
	}
}

// TookOver tells the router that it replaced an owner that left without
// handing over, at a wall time. For MaxLife it responds "outcome unknown" to
// ids that the old owner may have run.
func (r *Router) TookOver(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takenOver = at
	r.takenOverMono = r.clk.Now().Add(at.Sub(r.clk.Wall()))
}

// mayHaveRun reports whether the owner before may have run an unknown id.
func (r *Router) mayHaveRun(req *Request, now clock.Mono) bool {
	if r.takenOver.IsZero() || now.Sub(r.takenOverMono) >= MaxLife {
		return false
	}
	made, ok := idTime(req.id)
	return !ok || !made.After(r.takenOver.Add(CallerClockError))
}

// idTime returns the time in a UUIDv7 (RFC 9562).
func idTime(id string) (time.Time, bool) {
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

// handover is the form in which ids pass to the next owner.
type handover struct {
	IDs []handoverID `json:"ids"`
}

type handoverID struct {
	Team        string     `json:"team"`
	ID          string     `json:"id"`
	Hash        []byte     `json:"hash"`
	ExpiresMS   int64      `json:"expires_ms"`
	Code        rcode.Code `json:"code"`
	Message     string     `json:"message,omitempty"`
	Status      int        `json:"status,omitempty"`
	ContentType string     `json:"content_type,omitempty"`
	Body        []byte     `json:"body,omitempty"`
}

// handoverPart bounds one part of an export, before base64.
const handoverPart = 512 << 10

// Export returns the ids for the next owner, in parts that each fit a message
// between entry VMs. Ids that are still running are exported as "outcome
// unknown".
func (r *Router) Export() ([][]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := r.clk.Now(), r.clk.Wall()
	r.ids.expire(now)
	var parts [][]byte
	var h handover
	n := 0
	flush := func() error {
		part, err := json.Marshal(h)
		parts = append(parts, part)
		h.IDs, n = nil, 0
		return err
	}
	for _, e := range r.ids.entries {
		x := e.export(wall.Add(e.expires.Sub(now)))
		h.IDs = append(h.IDs, x)
		n += 256 + len(x.Body)
		if n < handoverPart {
			continue
		}
		if err := flush(); err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "route.Export")
		}
	}
	return parts, rcode.Wrap(flush(), rcode.Internal, "route.Export")
}

func (e *idEntry) export(expires time.Time) handoverID {
	x := handoverID{
		Team: e.key.team, ID: e.key.id, Hash: e.hash[:], ExpiresMS: expires.UnixMilli(),
		Code: rcode.OutcomeUnknown, Message: "the work was running at the handover",
	}
	switch {
	case !e.ended:
	case e.err != nil:
		x.Code, x.Message = rcode.Of(e.err), e.err.Error()
	case len(e.resp.body) > handoverPart:
		x.Message = "the work ran; its response is no longer kept"
	default:
		x.Code, x.Message = rcode.OK, ""
		x.Status, x.ContentType, x.Body = e.resp.status, e.resp.contentType, e.resp.body
	}
	return x
}

// Import adds one part of the former owner's export. Ids known here stay as
// they are.
func (r *Router) Import(part []byte) error {
	var h handover
	if err := json.Unmarshal(part, &h); err != nil {
		return rcode.Wrap(err, rcode.BadRequest, "route.Import")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := r.clk.Now(), r.clk.Wall()
	for _, x := range h.IDs {
		left := time.UnixMilli(x.ExpiresMS).Sub(wall)
		if len(x.Hash) != sha256.Size || x.ID == "" || left > MaxLife+IDGrace+CallerClockError {
			return rcode.New(rcode.BadRequest, "route.Import: id %q is malformed", x.ID)
		}
		e := x.entry(now.Add(left))
		if _, known := r.ids.entries[e.key]; known || left <= 0 {
			continue
		}
		if err := r.ids.add(e, now); err != nil {
			return rcode.Wrap(err, rcode.Of(err), "route.Import")
		}
		r.ids.keepBody(e)
	}
	return nil
}

func (x *handoverID) entry(expires clock.Mono) *idEntry {
	e := &idEntry{key: idKey{team: x.Team, id: x.ID}, expires: expires, ended: true}
	copy(e.hash[:], x.Hash)
	switch {
	case x.Code == rcode.OK:
		e.resp = NewResponse(x.ID, x.Status, x.ContentType, x.Body)
	case x.Code.NotRun():
		e.err = rcode.New(rcode.OutcomeUnknown, "%s", x.Message)
	default:
		e.err = rcode.New(x.Code, "%s", x.Message)
	}
	return e
}
