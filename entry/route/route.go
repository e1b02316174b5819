// Package route implements the request path of a shard's owner: it queues
// authorised requests, sends each to one of the shard's backend servers and
// returns the complete response.
//
// # Usage
//
//	backend := route.NewHTTPBackend(route.HTTPConfig{}, clk)
//	r := route.New(route.Config{}, route.Deps{
//		Clock: clk, Log: log, Gate: gate, Backend: backend, Weight: weight,
//	})
//	r.SetInstances(list.Role(fleet.RoleBackend))
//	resp, err := r.Do(ctx, route.NewRequest(id, grant, queue, deadline,
//		route.WithPayload("POST", "/", "application/json", body)))
//
// Errors carry an rcode code. A code whose NotRun is true is returned only when
// no instance can have run the work: the request was never sent, or every
// instance that received it refused it before work began.
//
// When a shard moves as planned, the former owner calls Export and the next owner
// calls Import; then the former owner sends the result of ExportHeldSlots
// repeatedly until Drain returns. After an unplanned takeover the new owner calls
// MarkTakeover. Close ends a router.
//
// # Slots
//
// Each running request uses one slot of one instance and one reservation of its
// team. Both are released together:
//
//   - immediately when the response is complete, when the instance refused the
//     request before work began, when nothing was sent, or when the instance
//     closed the connection;
//   - after a penalty when the router abandoned the request: the deadline passed,
//     or the response belonged to another request. The instance may still be
//     working. The penalty lasts at least Config.MinPenalty, and at least until
//     twice the usual service time (mean plus four deviations) since the send.
//     While the instance completes none of its other requests, the penalty is
//     doubled, up to four times. No penalty exceeds MaxTimeout.
//
// # Scheduling
//
// Requests that find no free slot wait in bounded queues by class and team.
// Interactive requests are served first, the teams of a class take turns by
// weight, and within a team the earliest deadline is served first.
//
// A request that is expected to miss its deadline, by the moving average of
// service times, is refused immediately. When an interactive queue has not been
// empty for some time, requests that would wait longer than half a service time
// are refused too, so that admitted requests are served as quickly as at an
// ordinary load.
package route

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
)

// MaxTimeout is the maximum time from accepting a request to its deadline. For
// that long after an unplanned takeover, the outcome of ids that the former owner
// may have run is unknown.
const MaxTimeout = 60 * time.Second

// maxClockSkew is the maximum difference between the wall clocks of two VMs.
const maxClockSkew = 500 * time.Millisecond

// IDRetention is how long an id is remembered after its request's deadline, so
// that a late duplicate still gets the first response.
const IDRetention = 60 * time.Second

// MaxCallerClockSkew is the maximum error of callers' clocks in time-ordered ids.
const MaxCallerClockSkew = 2 * time.Second

// Errors that a Backend wraps to report how far a failed request got.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrAbandoned reports that the router stopped waiting while the instance may
	// still be working.
	ErrAbandoned = errors.New("request abandoned")
	// errNotAuthorized marks an error of Gate.Authorize that HTTPBackend got after
	// a dial.
	errNotAuthorized = errors.New("not authorized")
)

// Gate decides whether work may start now. The router calls Reserve and Release
// with its lock held: they must neither block nor call the router.
type Gate interface {
	// Authorize is called right before each send. It returns an error if this
	// VM's authority over the shard has ended, the policy is too old, or the
	// grant is no longer valid.
	Authorize(req Request) error
	// Reserve counts one more running request of the team and returns true, or
	// returns false if the team is at its limit.
	Reserve(team string) bool
	// Release undoes one successful Reserve.
	Release(team string)
}

// Backend sends a request to one instance and returns its complete response.
//
// Do must return by the request's deadline. It returns an error with code
// BackendRefused only if the work certainly did not run. Such an error wraps
// ErrNotSent if nothing was sent. If Do stops waiting for an instance that may
// still be working, its error wraps ErrAbandoned.
type Backend interface {
	Do(ctx context.Context, addr string, req Request) (Response, error)
}

// Deps are the dependencies of a Router.
type Deps struct {
	Clock   clock.Clock
	Log     *zap.Logger
	Gate    Gate
	Backend Backend
	// Weight returns a team's weight in the sharing of slots within a class. If
	// it is nil, all teams have the same weight. It is called with the router's
	// lock held.
	Weight func(team string) int64
}

// Config holds the limits of a Router.
type Config struct {
	// Source identifies this VM's incarnation in an export.
	Source string
	// MaxIDs bounds the number of remembered ids. Requests with further ids are
	// refused as not run.
	MaxIDs int
	// MaxIDBytes bounds the total size of the response bodies kept for duplicate
	// requests.
	MaxIDBytes int
	// MinPenalty is the minimum time that a slot stays in use after the router
	// abandoned a request.
	MinPenalty time.Duration
	// MaxAttempts bounds the sends and failed dials of one request.
	MaxAttempts int
}

// Defaults replaces zero fields by their defaults.
func (c *Config) Defaults() {
	if c.MaxIDs == 0 {
		c.MaxIDs = 1 << 18
	}
	if c.MaxIDBytes == 0 {
		c.MaxIDBytes = 32 << 20
	}
	if c.MinPenalty == 0 {
		c.MinPenalty = 200 * time.Millisecond
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = 3
	}
}
