package route

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// handoverPart is one message of the state that a former owner passes to the
// next owner of a shard.
type handoverPart struct {
	Source string         `json:"source"`
	SentNS int64          `json:"sent_ns"`
	IDs    []handoverID   `json:"ids,omitempty"`
	Held   []handoverSlot `json:"held"`
}

// handoverID is a remembered request id with the outcome of its request.
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

// handoverSlot is a slot that a request of the former owner still uses.
type handoverSlot struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Addr     string `json:"addr"`
	Team     string `json:"team"`
	UntilMS  int64  `json:"until_ms"`
}

// maxHandoverPart bounds the size of one part of an export in bytes, before
// base64 encoding.
const maxHandoverPart = 512 << 10

// Export returns the remembered ids and the slots in use for the next owner, in
// parts that each fit into one message between entry VMs. Ids whose request is
// still running are exported as "outcome unknown".
func (r *Router) Export() ([][]byte, error) {
	list := r.exportParts()
	parts := make([][]byte, 0, len(list))
	for _, part := range list {
		raw, err := json.Marshal(part)
		if err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "route.Export")
		}
		parts = append(parts, raw)
	}
	return parts, nil
}

// exportParts collects the parts under the lock. Encoding them takes longer and
// is done by the caller without the lock.
func (r *Router) exportParts() []handoverPart {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := r.clk.Now(), r.clk.Wall()
	r.ids.expire(now)
	list := []handoverPart{r.heldSlots(now, wall)}
	size := 0
	for _, e := range r.ids.entries {
		id := e.toHandover(wall.Add(e.expires.Sub(now)))
		if size > maxHandoverPart {
			list, size = append(list, handoverPart{Source: r.cfg.Source}), 0
		}
		last := &list[len(list)-1]
		last.IDs = append(last.IDs, id)
		size += 256 + len(id.Body)
	}
	return list
}

// ExportHeldSlots returns the slots in use now. The former owner sends it
// repeatedly while its last requests finish, so that the next owner can use
// their slots.
func (r *Router) ExportHeldSlots() ([]byte, error) {
	r.mu.Lock()
	part := r.heldSlots(r.clk.Now(), r.clk.Wall())
	r.mu.Unlock()
	raw, err := json.Marshal(part)
	return raw, rcode.Wrap(err, rcode.Internal, "route.ExportHeldSlots")
}

// heldSlots returns a part that lists the slots in use. It is called with the
// lock held.
func (r *Router) heldSlots(now clock.Mono, wall time.Time) handoverPart {
	part := handoverPart{Source: r.cfg.Source, SentNS: wall.UnixNano(), Held: []handoverSlot{}}
	for l := range r.leases {
		part.Held = append(part.Held, handoverSlot{
			Service: l.inst.svc.name, Instance: l.inst.vm.ID(), Addr: l.inst.vm.Addr(), Team: l.team,
			UntilMS: wall.Add(l.expiresAt.Sub(now)).UnixMilli(),
		})
	}
	return part
}

// toHandover returns the exported form of an entry. It is called with the lock
// held.
func (e *idEntry) toHandover(expires time.Time) handoverID {
	x := handoverID{
		Team: e.key.team, ID: e.key.id, Hash: e.hash[:], ExpiresMS: expires.UnixMilli(),
		Code: rcode.OutcomeUnknown, Message: "the work was running at the handover",
	}
	switch {
	case !e.ended:
	case e.err != nil:
		x.Code, x.Message = rcode.Of(e.err), e.err.Error()
	case len(e.resp.body) > maxHandoverPart:
		x.Message = "the work ran; its response is no longer kept"
	default:
		x.Code, x.Message = rcode.OK, ""
		x.Status, x.ContentType, x.Body = e.resp.status, e.resp.contentType, e.resp.body
	}
	return x
}

// Import adds one part of a former owner's export. It is called after
// SetInstances. An id that this router already knows keeps its entry. Slots
// replace those of an earlier export of the same source. Each is released at
// its request's deadline plus Config.MinPenalty, even if no further export
// arrives.
func (r *Router) Import(raw []byte) error {
	var part handoverPart
	if err := json.Unmarshal(raw, &part); err != nil {
		return rcode.Wrap(err, rcode.BadRequest, "route.Import")
	}
	r.mu.Lock()
	defer r.unlockAndArm()
	now, wall := r.clk.Now(), r.clk.Wall()
	if part.Held != nil {
		r.importSlots(&part, now, wall)
	}
	for _, x := range part.IDs {
		left := time.UnixMilli(x.ExpiresMS).Sub(wall)
		if len(x.Hash) != sha256.Size || x.ID == "" || left > MaxTimeout+IDRetention+MaxCallerClockSkew {
			return rcode.New(rcode.BadRequest, "route.Import: id %q is malformed", x.ID)
		}
		e := x.toEntry(now.Add(left))
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

// toEntry returns the entry for an imported id. An outcome that claims that the
// work did not run is replaced by "outcome unknown": a former owner exports only
// ids whose work may have run.
func (x *handoverID) toEntry(expires clock.Mono) *idEntry {
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

// importedSlots are the slots that requests of one former owner still use.
type importedSlots struct {
	// sentNS is the time of the newest export, by the former owner's clock.
	sentNS int64
	leases []*lease
}

// importSlots replaces the slots of the part's source unless a newer export
// came first.
func (r *Router) importSlots(part *handoverPart, now clock.Mono, wall time.Time) {
	old := r.imported[part.Source]
	if part.SentNS <= old.sentNS {
		return
	}
	next := importedSlots{sentNS: part.SentNS}
	for _, x := range part.Held {
		s := r.services[x.Service]
		left := min(time.UnixMilli(x.UntilMS).Sub(wall), MaxTimeout)
		if s == nil || s.byID[x.Instance] == nil || s.byID[x.Instance].vm.Addr() != x.Addr || left < 0 {
			continue
		}
		l := s.takeSlot(s.byID[x.Instance], x.Team, now, now.Add(left+r.cfg.MinPenalty))
		l.reserved = r.gate.Reserve(x.Team)
		next.leases = append(next.leases, l)
		r.schedule(l.expiresAt, func(now clock.Mono) { s.release(l, now) })
	}
	r.imported[part.Source] = next
	for _, l := range old.leases {
		l.inst.svc.endLease(l)
	}
	for _, s := range r.services {
		s.dispatch(now)
	}
}
