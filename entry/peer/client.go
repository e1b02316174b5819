package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"limpethitch.example/core/rcode"
)

const (
	// dialTimeout bounds the connection setup. Data centres are within 2 ms of each
	// other.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 60 * time.Second
	// maxIdleConnsPerVM is the maximum number of idle connections to one VM.
	maxIdleConnsPerVM = 64
)

// Client calls other entry VMs, given by address, over pooled connections. It is
// safe for concurrent use.
type Client struct {
	secret Secret
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	closed atomic.Bool
}

// NewClient returns a client without open connections.
func NewClient(secret Secret) *Client {
	opts := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleConnsPerVM}
	return &Client{secret: secret, pool: drpcpool.New[string, drpcpool.Conn](opts)}
}

// Close closes the idle connections. Later calls fail with rcode.PeerUnreachable. A
// call in progress completes normally, and its connection is closed afterwards.
func (c *Client) Close() error {
	c.closed.Store(true)
	return c.pool.Close()
}

// notSentError is an error while connecting, before the call was sent.
type notSentError struct{ err error }

func (e notSentError) Error() string { return e.err.Error() }

func (c *Client) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, notSentError{err}
	}
	// Closing the connection ends the handshake with an unresponsive peer when the
	// caller's context ends.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = c.secret.handshake(conn, "client", "server")
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, notSentError{err}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// call executes an RPC. The code of an error tells whether the request may have
// arrived.
func call[Q proto.Message, R any](ctx context.Context, c *Client, addr string, req Q,
	rpc func(DRPCPeerClient, context.Context, Q) (R, error),
) (R, error) {
	if err := c.checkSendable(ctx, req); err != nil {
		var none R
		return none, rcode.Wrap(err, rcode.PeerUnreachable, "peer.call %s", addr)
	}
	dialErr := error(nil)
	conn := c.pool.Get(ctx, addr, func(ctx context.Context, addr string) (drpcpool.Conn, error) {
		cn, err := c.dial(ctx, addr)
		dialErr = err
		return cn, err
	})
	defer func() { _ = conn.Close() }()
	defer c.closeIdleIfClosed()
	out, err := rpc(NewDRPCPeerClient(drpc.Conn(conn)), ctx, req)
	switch {
	case err == nil:
		return out, nil
	case dialErr != nil:
		return out, rcode.Wrap(dialErr, rcode.PeerUnreachable, "peer.call %s", addr)
	default:
		return out, rcode.Wrap(err, rcode.OutcomeUnknown, "peer.call %s", addr)
	}
}

// checkSendable returns an error for a request that would fail before it is sent, or
// for which the other end would close the connection.
func (c *Client) checkSendable(ctx context.Context, req proto.Message) error {
	switch size := proto.Size(req); {
	case c.closed.Load():
		return rcode.New(rcode.PeerUnreachable, "the client is closed")
	case ctx.Err() != nil:
		return ctx.Err()
	case size > maxMessageSize:
		return rcode.New(rcode.BodyTooLarge, "the message has %d bytes, the maximum is %d", size, maxMessageSize)
	}
	return nil
}

// closeIdleIfClosed closes the connection that a call returned to the pool after
// Close.
func (c *Client) closeIdleIfClosed() {
	if c.closed.Load() {
		_ = c.pool.Close()
	}
}

// Serve executes a request on a shard of the VM at addr.
func (c *Client) Serve(ctx context.Context, addr string, req *ServeRequest) (*ServeReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Serve)
}

// Submit submits a job to its home shard.
func (c *Client) Submit(ctx context.Context, addr string, req *SubmitRequest) (*JobReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Submit)
}

// Job reads or cancels a job on its home shard.
func (c *Client) Job(ctx context.Context, addr string, req *JobRequest) (*JobReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Job)
}

// Offer asks a shard to run tasks of a job whose home is another shard.
func (c *Client) Offer(ctx context.Context, addr string, req *OfferRequest) (*OfferReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Offer)
}

// Tasks reads the states of tasks that a shard accepted by Offer, or stops them.
func (c *Client) Tasks(ctx context.Context, addr string, req *TasksRequest) (*TasksReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Tasks)
}

// Own sends a message of the ownership protocol (package owner).
func (c *Client) Own(ctx context.Context, addr string, req *OwnRequest) (*OwnReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Own)
}

// Yield asks a shard to give up unused allotment of a team.
func (c *Client) Yield(ctx context.Context, addr string, req *YieldRequest) (*YieldReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Yield)
}

// Bundle fetches the newest signed policy bundle and the layout of shards if the
// bundle is newer than the version in the request.
func (c *Client) Bundle(ctx context.Context, addr string, req *BundleMessage) (*BundleMessage, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Bundle)
}

// Handover sends the in-memory state of a shard to its next owner.
func (c *Client) Handover(ctx context.Context, addr string, req *HandoverRequest) (*HandoverReply, error) {
	return call(ctx, c, addr, req, DRPCPeerClient.Handover)
}
