// Package relay implements the calls between VMs on a platform where one VM, the
// owner, schedules for all workers: hellos, job states, writes to the store on behalf
// of another VM, notifications of stored jobs, and advice requests.
//
// # Usage
//
//	c := relay.NewClient()
//	status, err := c.Job(ctx, ownerAddr, id)
//	go relay.Serve(ctx, listener, handler)
package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"limpethitch.example/core/guard"
	"limpethitch.example/core/limit"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/engine"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

const (
	dialTimeout = 600 * time.Millisecond
	idleTimeout = 60 * time.Second
	// maxIdlePerVM is the maximum number of idle connections to each VM.
	maxIdlePerVM = 16
	// maxMessageBytes is the maximum size of a received message. It is above that of the largest
	// job that the store takes.
	maxMessageBytes = 2 << 20
)

// Handler answers calls of other VMs. Hello, Job and Deliver return rcode.NotOwner if
// this VM is not the owner.
type Handler interface {
	// Name returns the name of this incarnation.
	Name() string
	Hello(ctx context.Context, from engine.HelloRequest) (engine.HelloReply, error)
	// Owner returns the owner as known to this VM.
	Owner() lead.Holder
	Create(ctx context.Context, req engine.CreateRequest) rcode.Code
	Job(ctx context.Context, id string) (engine.JobStatus, error)
	Advise(ctx context.Context, step string, workers []string) ([]sched.Ticket, time.Duration, error)
	Deliver(ctx context.Context, key string, value []byte) error
}

// guardedMux is a drpc handler whose calls end with an error after a panic.
type guardedMux struct {
	drpc.Handler
	onPanic func(error)
}

// HandleRPC implements drpc.Handler.
func (g guardedMux) HandleRPC(stream drpc.Stream, rpc string) error {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		if c, ok := transport.(*limit.Conn); ok {
			c.Hold()
			defer c.Settle()
		}
	}
	return guard.Run(g.onPanic, func() error { return g.Handler.HandleRPC(stream, rpc) })
}

// Serve answers calls on l until ctx ends. onPanic is called with the error of a call that
// panicked; other calls go on.
func Serve(ctx context.Context, l net.Listener, h Handler, onPanic func(error)) error {
	mux := drpcmux.New()
	if err := DRPCRegisterRelay(mux, server{h}); err != nil {
		return rcode.Wrap(err, rcode.Internal, "relay.Serve")
	}
	err := drpcserver.NewWithOptions(guardedMux{Handler: mux, onPanic: onPanic}, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}},
	}).Serve(ctx, l)
	if errors.Is(err, context.Canceled) || ctx.Err() != nil {
		return ctx.Err()
	}
	return rcode.Wrap(err, rcode.Internal, "relay.Serve")
}

type server struct{ h Handler }

// Hello implements DRPCRelayServer.
func (s server) Hello(ctx context.Context, r *HelloRequest) (*HelloReply, error) {
	owner := s.h.Owner()
	reply, err := s.h.Hello(ctx, engine.HelloRequest{
		From: lead.Holder{Name: r.GetName(), Addr: r.GetAddr()}, StoreAge: time.Duration(r.GetStoreAgeMs()) * time.Millisecond, CPUMilli: r.GetCpuMilli(),
		ChecksRefusals: r.GetChecksRefusals(),
	})
	if err != nil {
		// The reply says that this VM is not the owner.
		return &HelloReply{Name: s.h.Name(), OwnerName: owner.Name, OwnerAddr: owner.Addr}, nil //nolint:nilerr
	}
	resp := &HelloReply{
		Owner: true, Name: s.h.Name(), Members: reply.Members, Candidates: int32(reply.Candidates),
		Yield: reply.TransferOwnership, WithoutAuthority: reply.WithoutAuthority, Waiting: make(map[string]int32, len(reply.Waiting)),
	}
	for q, n := range reply.Waiting {
		resp.Waiting[q] = int32(min(n, 1<<30))
	}
	encodeLoad(resp, reply.Load)
	return resp, nil
}

// Create implements DRPCRelayServer.
func (s server) Create(ctx context.Context, r *CreateRequest) (*CreateReply, error) {
	return &CreateReply{Code: string(s.h.Create(ctx, engine.CreateRequest{
		Key: r.GetKey(), Value: r.GetValue(), Host: r.GetHost(), Path: r.GetPath(), APIKey: r.GetApiKey(), RulesVersion: r.GetRulesVersion(),
		RefusalRevision: r.GetRefusalRevision(),
	}))}, nil
}

// Job implements DRPCRelayServer.
func (s server) Job(ctx context.Context, r *JobRequest) (*JobReply, error) {
	status, err := s.h.Job(ctx, r.GetId())
	if err != nil {
		return &JobReply{}, nil //nolint:nilerr // the reply says that this VM is not the owner
	}
	return &JobReply{Owner: true, Known: status.Known, State: string(status.State)}, nil
}

// Advise implements DRPCRelayServer.
func (s server) Advise(ctx context.Context, r *AdviseRequest) (*AdviseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	tickets, valid, err := s.h.Advise(ctx, r.GetStep(), r.GetWorkers())
	if err != nil {
		return &AdviseReply{}, nil //nolint:nilerr // the reply says that there is no advice
	}
	resp := &AdviseReply{Done: true, ValidMs: valid.Milliseconds()}
	for _, t := range tickets {
		resp.Tickets = append(resp.Tickets, &Ticket{Worker: t.Worker, Value: t.Value})
	}
	return resp, nil
}

// Deliver implements DRPCRelayServer.
func (s server) Deliver(ctx context.Context, r *DeliverRequest) (*DeliverReply, error) {
	err := s.h.Deliver(ctx, r.GetKey(), r.GetValue())
	return &DeliverReply{Owner: err == nil}, nil //nolint:nilerr // the reply says that this VM is not the owner
}

// Client calls other VMs by address over pooled connections. It is safe for
// concurrent use.
type Client struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client with an empty connection pool.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerVM})}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

// dialError marks a failure to connect, after which the call was certainly not sent.
type dialError struct{ err error }

func (e dialError) Error() string { return e.err.Error() }

func isDialError(err error) bool {
	var e dialError
	return errors.As(err, &e)
}

func (e dialError) Unwrap() error { return e.err }

func (c *Client) conn(ctx context.Context, addr string) drpcpool.Conn {
	return c.pool.Get(ctx, addr, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, dialError{err}
		}
		return drpcconn.New(conn), nil
	})
}

// Hello sends a hello to the VM at addr. If that VM is not the owner, it returns
// rcode.NotOwner and a reply that names the owner, if known.
func (c *Client) Hello(ctx context.Context, addr string, hello engine.HelloRequest) (engine.HelloReply, error) {
	conn := c.conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	req := &HelloRequest{
		Name: hello.From.Name, Addr: hello.From.Addr, StoreAgeMs: hello.StoreAge.Milliseconds(),
		CpuMilli: hello.CPUMilli, ChecksRefusals: hello.ChecksRefusals,
	}
	resp, err := NewDRPCRelayClient(conn).Hello(ctx, req)
	if err != nil {
		return engine.HelloReply{}, rcode.Wrap(err, rcode.PeerUnreachable, "relay.Hello %s", addr)
	}
	if !resp.GetOwner() {
		hint := lead.Holder{Name: resp.GetOwnerName(), Addr: resp.GetOwnerAddr()}
		return engine.HelloReply{Name: resp.GetName(), Owner: hint}, rcode.New(rcode.NotOwner, "relay.Hello %s", addr)
	}
	reply := engine.HelloReply{
		Name: resp.GetName(), Members: resp.GetMembers(), Candidates: int(resp.GetCandidates()),
		TransferOwnership: resp.GetYield(), WithoutAuthority: resp.GetWithoutAuthority(), Waiting: make(map[string]int, len(resp.GetWaiting())),
	}
	for q, n := range resp.GetWaiting() {
		reply.Waiting[q] = int(n)
	}
	reply.Load = decodeLoad(resp)
	return reply, nil
}

// Create asks the VM at addr to create a key in the store.
func (c *Client) Create(ctx context.Context, addr string, req engine.CreateRequest) rcode.Code {
	conn := c.conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	resp, err := NewDRPCRelayClient(conn).Create(ctx, &CreateRequest{
		Key: req.Key, Value: req.Value, Host: req.Host, Path: req.Path, ApiKey: req.APIKey, RulesVersion: req.RulesVersion,
		RefusalRevision: req.RefusalRevision,
	})
	switch {
	case err == nil:
		return rcode.Code(resp.GetCode())
	case isDialError(err):
		return rcode.StoreUnavailable
	default:
		return rcode.OutcomeUnknown
	}
}

// Probe implements lead.Prober: it checks whether the incarnation that holds the
// ownership record is still running.
func (c *Client) Probe(ctx context.Context, holder, self lead.Holder) lead.ProbeResult {
	conn := c.conn(ctx, holder.Addr)
	defer func() { _ = conn.Close() }()
	resp, err := NewDRPCRelayClient(conn).Hello(ctx, &HelloRequest{Name: self.Name, Addr: self.Addr})
	switch {
	case err == nil && resp.GetName() == holder.Name:
		return lead.ProbeAlive
	case err == nil:
		return lead.ProbeReplaced
	case errors.Is(err, syscall.ECONNREFUSED):
		return lead.ProbeRefused
	default:
		return lead.ProbeInconclusive
	}
}

// Job returns a job's state from the owner at addr.
func (c *Client) Job(ctx context.Context, addr, id string) (engine.JobStatus, error) {
	conn := c.conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	resp, err := NewDRPCRelayClient(conn).Job(ctx, &JobRequest{Id: id})
	if err != nil {
		return engine.JobStatus{}, rcode.Wrap(err, rcode.PeerUnreachable, "relay.Job %s", addr)
	}
	if !resp.GetOwner() {
		return engine.JobStatus{}, rcode.New(rcode.NotOwner, "relay.Job %s", addr)
	}
	return engine.JobStatus{Known: resp.GetKnown(), State: sched.JobState(resp.GetState())}, nil
}

// Advise asks the VM at addr to send an advice request to the advising service.
func (c *Client) Advise(ctx context.Context, addr, step string, workers []string) ([]sched.Ticket, time.Duration, error) {
	req := &AdviseRequest{Step: step, Workers: workers}
	if deadline, ok := ctx.Deadline(); ok {
		req.DeadlineMs = time.Until(deadline).Milliseconds()
	}
	conn := c.conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	resp, err := NewDRPCRelayClient(conn).Advise(ctx, req)
	if err != nil {
		return nil, 0, rcode.Wrap(err, rcode.PeerUnreachable, "relay.Advise %s", addr)
	}
	if !resp.GetDone() {
		return nil, 0, rcode.New(rcode.PeerUnreachable, "relay.Advise %s: no answer from the advising service", addr)
	}
	tickets := make([]sched.Ticket, 0, len(resp.GetTickets()))
	for _, t := range resp.GetTickets() {
		tickets = append(tickets, sched.Ticket{Worker: t.GetWorker(), Value: t.GetValue()})
	}
	return tickets, time.Duration(resp.GetValidMs()) * time.Millisecond, nil
}

// Deliver notifies the owner at addr of a stored job or cancellation.
func (c *Client) Deliver(ctx context.Context, addr, key string, value []byte) error {
	conn := c.conn(ctx, addr)
	defer func() { _ = conn.Close() }()
	resp, err := NewDRPCRelayClient(conn).Deliver(ctx, &DeliverRequest{Key: key, Value: value})
	if err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "relay.Deliver %s", addr)
	}
	if !resp.GetOwner() {
		return rcode.New(rcode.NotOwner, "relay.Deliver %s", addr)
	}
	return nil
}
