package front

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/roll"
)

// bundleTimeout bounds a read or write of bundles in the store.
const bundleTimeout = 8 * time.Second

// dispatchOperator checks the operator token and serves /v1/bundles and /v1/rollouts.
func (s *Server) dispatchOperator(ctx *fasthttp.RequestCtx, kind, method string, rest []string) {
	if !s.requireOperator(ctx) {
		return
	}
	switch {
	case kind == "bundles" && len(rest) == 0 && method == fasthttp.MethodPost:
		s.handlePublish(ctx)
	case kind == "bundles" && len(rest) == 0:
		if s.allowMethod(ctx, method, fasthttp.MethodGet, fasthttp.MethodPost) {
			s.handleHistory(ctx)
		}
	case kind == "bundles" && len(rest) == 1:
		if s.allowMethod(ctx, method, fasthttp.MethodGet) {
			s.handleBundle(ctx, rest[0])
		}
	case kind == "rollouts" && len(rest) == 1:
		if s.allowMethod(ctx, method, fasthttp.MethodGet) {
			s.handleRollout(ctx, rest[0])
		}
	default:
		s.writeError(ctx, rcode.New(rcode.NotFound, "no such path"))
	}
}

// publishResult is the body of the response to a published or conflicting bundle.
type publishResult struct {
	Version int64      `json:"version"`
	Author  string     `json:"author"`
	Code    rcode.Code `json:"code"`
	Message string     `json:"message,omitempty"`
}

func (s *Server) handlePublish(ctx *fasthttp.RequestCtx) {
	baseVersion, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("if_version")), 10, 64)
	if err != nil || baseVersion < 0 {
		s.writeError(ctx, rcode.New(rcode.BadRequest, "if_version must be the version that the change is based on"))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	head, err := s.vm.Policies().Publish(callCtx, append([]byte(nil), ctx.PostBody()...), baseVersion)
	if rcode.Is(err, rcode.BundleConflict) {
		s.writeJSON(ctx, fasthttp.StatusConflict, publishResult{
			Version: head.Version, Author: head.Author, Code: rcode.BundleConflict, Message: err.Error(),
		})
		return
	}
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	go s.vm.Policies().AwaitInForce(context.Background(), head, s.vm.ListedVMs)
	s.writeJSON(ctx, fasthttp.StatusAccepted, publishResult{Version: head.Version, Author: head.Author, Code: rcode.RolloutWaiting})
}

func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	versions, err := s.vm.Policies().History(callCtx)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	s.writeJSON(ctx, fasthttp.StatusOK, struct {
		Versions []roll.VersionInfo `json:"versions"`
	}{versions})
}

func (s *Server) handleBundle(ctx *fasthttp.RequestCtx, versionArg string) {
	policies := s.vm.Policies()
	version := policies.Version()
	if versionArg != "current" {
		n, err := strconv.ParseInt(versionArg, 10, 64)
		if err != nil || n < 1 {
			s.writeError(ctx, rcode.New(rcode.BadRequest, "%q is not a bundle version", versionArg))
			return
		}
		version = n
	}
	if version == 0 {
		s.writeError(ctx, rcode.New(rcode.NotFound, "there is no bundle yet"))
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), bundleTimeout)
	defer cancel()
	raw, err := policies.SignedBundle(callCtx, version)
	if err != nil {
		s.writeError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// rolloutStatus is how far a bundle version has been rolled out.
type rolloutStatus struct {
	Version     int64                     `json:"version"`
	InForce     bool                      `json:"in_force"`
	DataCentres []dataCentreRolloutStatus `json:"data_centres"`
}

// dataCentreRolloutStatus is the rollout of a bundle version in one data centre.
type dataCentreRolloutStatus struct {
	Name         string `json:"name"`
	InService    bool   `json:"in_service"`
	Confirmed    bool   `json:"confirmed"`
	BlindUntilMS int64  `json:"blind_until_unix_ms"`
}

func (s *Server) handleRollout(ctx *fasthttp.RequestCtx, versionArg string) {
	n, err := strconv.ParseInt(versionArg, 10, 64)
	if err != nil || n < 1 {
		s.writeError(ctx, rcode.New(rcode.BadRequest, "%q is not a bundle version", versionArg))
		return
	}
	r := s.vm.Policies().Rollout(n, s.vm.ListedVMs())
	status := rolloutStatus{Version: r.Version(), InForce: r.InForce()}
	for _, d := range r.DataCentres() {
		status.DataCentres = append(status.DataCentres, dataCentreRolloutStatus{
			Name: d.Name(), InService: d.InService(), Confirmed: d.Confirmed(), BlindUntilMS: d.StaleUntilMS(),
		})
	}
	s.writeJSON(ctx, fasthttp.StatusOK, status)
}
