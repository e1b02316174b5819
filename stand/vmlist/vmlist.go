// Package vmlist is a stand-in for the platform's list of VMs, which lags behind. It
// uses the format of Prometheus HTTP service discovery (http_sd).
//
// # Usage
//
//	srv := vmlist.New(vmlist.Config{Lag: 2 * time.Second}, clock.New())
//	ln, err := httpd.Listen("127.0.0.1:9300")
//	err = srv.Serve(ln)
//
// PUT /vms/{id} registers a VM, POST /vms/{id}/leaving marks it as leaving and DELETE
// /vms/{id} removes it. GET /vms returns the list as it was Lag ago.
package vmlist

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/stand/httpd"
)

// Config holds the settings of the list.
type Config struct {
	// Lag is the delay until a change becomes visible.
	Lag time.Duration
}

// change is one change of the list that is not visible yet.
type change struct {
	at      clock.Mono
	id      string
	group   fleet.Group
	removed bool
}

// Server is the list with its HTTP interface.
type Server struct {
	*httpd.Server
	cfg Config
	clk clock.Clock

	mu      sync.Mutex
	current map[string]fleet.Group
	ended   map[string]bool
	visible map[string]fleet.Group
	pending []change
}

// New returns an empty list.
func New(cfg Config, clk clock.Clock) *Server {
	s := &Server{
		cfg: cfg, clk: clk,
		current: map[string]fleet.Group{}, ended: map[string]bool{}, visible: map[string]fleet.Group{},
	}
	s.Server = httpd.New(s.handle)
	return s
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := strings.TrimPrefix(string(ctx.Path()), "/vms")
	id, action, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	switch method := string(ctx.Method()); {
	case method == fasthttp.MethodGet && path == "":
		s.list(ctx)
	case method == fasthttp.MethodPut && id != "" && action == "":
		s.register(ctx, id)
	case method == fasthttp.MethodDelete && id != "" && action == "":
		s.remove(ctx, id)
	case method == fasthttp.MethodPost && id != "" && action == "leaving":
		s.leaving(ctx, id)
	default:
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (s *Server) list(ctx *fasthttp.RequestCtx) {
	until := s.clk.Now().Add(-s.cfg.Lag)
	n := 0
	for n < len(s.pending) && s.pending[n].at <= until {
		s.apply(s.pending[n])
		n++
	}
	s.pending = slices.Delete(s.pending, 0, n)
	groups := make([]fleet.Group, 0, len(s.visible))
	for _, id := range slices.Sorted(maps.Keys(s.visible)) {
		groups = append(groups, s.visible[id])
	}
	httpd.JSON(ctx, fasthttp.StatusOK, groups)
}

func (s *Server) apply(c change) {
	if c.removed {
		delete(s.visible, c.id)
		return
	}
	s.visible[c.id] = c.group
}

// register refuses the id of a removed VM: readers of the list rely on a removed VM
// never running again.
func (s *Server) register(ctx *fasthttp.RequestCtx, id string) {
	var g fleet.Group
	if !httpd.Decode(ctx, &g) {
		return
	}
	if s.ended[id] {
		httpd.Refuse(ctx, fasthttp.StatusConflict, "the VM has ended")
		return
	}
	if g.Labels == nil {
		g.Labels = map[string]string{}
	}
	g.Labels["id"] = id
	if err := g.Check(); err != nil {
		httpd.Refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	s.current[id] = g
	s.pending = append(s.pending, change{at: s.clk.Now(), id: id, group: g})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) remove(ctx *fasthttp.RequestCtx, id string) {
	if _, ok := s.current[id]; !ok {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such VM")
		return
	}
	delete(s.current, id)
	s.ended[id] = true
	s.pending = append(s.pending, change{at: s.clk.Now(), id: id, removed: true})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (s *Server) leaving(ctx *fasthttp.RequestCtx, id string) {
	g, ok := s.current[id]
	if !ok {
		httpd.Refuse(ctx, fasthttp.StatusNotFound, "no such VM")
		return
	}
	g.Labels = maps.Clone(g.Labels)
	g.Labels["state"] = string(fleet.StateLeaving)
	s.current[id] = g
	s.pending = append(s.pending, change{at: s.clk.Now(), id: id, group: g})
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
