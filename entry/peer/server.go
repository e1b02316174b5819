package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
)

// maxMessageSize is the maximum size of a message in bytes. It allows for the largest
// body of a request or response, or a bundle, and the other fields of the message.
const maxMessageSize = 16 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// Server accepts calls from other entry VMs.
type Server struct {
	srv    *drpcserver.Server
	secret Secret
	log    *zap.Logger
}

// NewServer returns a server that passes calls to impl.
func NewServer(impl DRPCPeerServer, secret Secret, log *zap.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterPeer(mux, impl); err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "peer.NewServer")
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return &Server{srv: srv, secret: secret, log: log}, nil
}

// Serve accepts connections until ctx ends. It then closes them and waits for their
// goroutines.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	for {
		c, err := lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			return rcode.Wrap(err, rcode.Internal, "peer.Serve")
		}
		wg.Go(func() { s.serveConn(ctx, c) })
	}
}

func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := s.secret.handshake(c, "server", "client"); err != nil {
		s.log.Warn("peer handshake failed", logs.Err(err)...)
		return
	}
	// The error only reports that the connection was closed; calls report their own
	// errors.
	_ = s.srv.ServeOne(ctx, c)
}
