package standkv

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/stand/httpd"
)

type lease struct {
	ttl      time.Duration
	deadline clock.Mono
	keys     map[string]bool
}

// leases holds all leases and the lease of each key. Server.writes guards it.
type leases struct {
	nextID     int64
	byID       map[int64]*lease
	leaseOfKey map[string]int64
}

func newLeases() *leases {
	return &leases{nextID: 1, byID: map[int64]*lease{}, leaseOfKey: map[string]int64{}}
}

func (l *leases) allExist(leaseOfKey map[string]int64) bool {
	for _, id := range leaseOfKey {
		if id != 0 && l.byID[id] == nil {
			return false
		}
	}
	return true
}

// attach attaches the keys that t wrote to their leases. A key put without a lease is
// detached from its previous one.
func (l *leases) attach(t *store.Txn, leaseOfKey map[string]int64) {
	for _, o := range t.Ops() {
		if old := l.byID[l.leaseOfKey[o.Key()]]; old != nil {
			delete(old.keys, o.Key())
		}
		delete(l.leaseOfKey, o.Key())
		if id := leaseOfKey[o.Key()]; id != 0 {
			l.byID[id].keys[o.Key()] = true
			l.leaseOfKey[o.Key()] = id
		}
	}
}

type leaseMessage struct {
	Header *header `json:"header,omitempty"`
	ID     int64   `json:"ID,string"`
	TTL    int64   `json:"TTL,string,omitempty"`
}

// expire deletes the expired leases and their keys.
func (s *Server) expire() {
	now := s.clk.Now()
	s.writes.Lock()
	defer s.writes.Unlock()
	for id, l := range s.leases.byID {
		if now >= l.deadline {
			_ = s.deleteLease(id)
		}
	}
}

// deleteLease deletes a lease and its keys. The caller holds s.writes.
func (s *Server) deleteLease(id int64) error {
	t := store.NewTxn()
	for key := range s.leases.byID[id].keys {
		t.Delete(key)
		delete(s.leases.leaseOfKey, key)
	}
	delete(s.leases.byID, id)
	_, err := s.commit(context.Background(), t)
	return err
}

func (s *Server) grant(ctx *fasthttp.RequestCtx) {
	var req leaseMessage
	if !httpd.Decode(ctx, &req) {
		return
	}
	if req.TTL <= 0 {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "TTL must be positive")
		return
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	if req.ID == 0 {
		req.ID = s.leases.nextID
	}
	if s.leases.byID[req.ID] != nil {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, "lease already exists")
		return
	}
	s.leases.nextID = max(s.leases.nextID, req.ID) + 1
	ttl := time.Duration(req.TTL) * time.Second
	s.leases.byID[req.ID] = &lease{ttl: ttl, deadline: s.clk.Now().Add(ttl), keys: map[string]bool{}}
	httpd.JSON(ctx, fasthttp.StatusOK, leaseMessage{Header: &header{s.mem.Revision()}, ID: req.ID, TTL: req.TTL})
}

func (s *Server) keepalive(ctx *fasthttp.RequestCtx) {
	var req leaseMessage
	if !httpd.Decode(ctx, &req) {
		return
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	out := leaseMessage{Header: &header{s.mem.Revision()}, ID: req.ID}
	if l := s.leases.byID[req.ID]; l != nil {
		l.deadline = s.clk.Now().Add(l.ttl)
		out.TTL = int64(l.ttl / time.Second)
	}
	httpd.JSON(ctx, fasthttp.StatusOK, struct {
		Result leaseMessage `json:"result"`
	}{out})
}

func (s *Server) revoke(ctx *fasthttp.RequestCtx) {
	var req leaseMessage
	if !httpd.Decode(ctx, &req) {
		return
	}
	s.writes.Lock()
	defer s.writes.Unlock()
	if s.leases.byID[req.ID] == nil {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "requested lease not found")
		return
	}
	if err := s.deleteLease(req.ID); err != nil {
		httpd.Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	httpd.JSON(ctx, fasthttp.StatusOK, struct {
		Header header `json:"header"`
	}{header{s.mem.Revision()}})
}
