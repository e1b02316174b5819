package member

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
)

func sortShards(s []Shard) { sort.Slice(s, func(i, j int) bool { return s[i].name < s[j].name }) }
func sortVMs(v []VM)       { sort.Slice(v, func(i, j int) bool { return v[i].name < v[j].name }) }

// Service sends and receives the heartbeats of a Members table. gnet's event loop
// receives them; a plain socket sends them.
type Service struct {
	gnet.BuiltinEventEngine
	members     *Members
	log         *zap.Logger
	engine      gnet.Engine
	engineReady chan struct{}
}

// NewService returns the heartbeat service of m.
func NewService(m *Members, log *zap.Logger) *Service { return &Service{members: m, log: log} }

// gnetLogger writes gnet's warnings and errors to this program's log. By default
// gnet would write lines of another format.
type gnetLogger struct{ *zap.SugaredLogger }

// Debugf implements logging.Logger and discards the message.
func (gnetLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger and discards the message.
func (gnetLogger) Infof(string, ...any) {}

// OnBoot implements gnet.EventHandler.
func (s *Service) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.engineReady)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler for one datagram.
func (s *Service) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	s.members.Receive(b)
	return gnet.None
}

// Serve sends and receives until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	s.engineReady = make(chan struct{})
	addr := s.members.cfg.Addr
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "member.Serve")
	}
	defer func() { _ = socket.Close() }()
	done := make(chan error, 1)
	go func() {
		done <- gnet.Run(s, "udp://"+addr, gnet.WithLogger(gnetLogger{s.log.Sugar()}))
	}()
	select {
	case err := <-done:
		return rcode.Wrap(err, rcode.PortInUse, "member.Serve %s", addr)
	case <-s.engineReady:
	}
	defer func() {
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.engine.Stop(end)
	}()
	for {
		s.sendHeartbeats(socket)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-done:
			return rcode.Wrap(err, rcode.Internal, "member.Serve")
		case <-s.members.clk.After(HeartbeatInterval):
		}
	}
}

func (s *Service) sendHeartbeats(sock *net.UDPConn) {
	out, err := s.members.Tick()
	if err != nil {
		s.log.Error("failed to encode a heartbeat", logs.Err(err)...)
		return
	}
	for _, d := range out {
		to, err := net.ResolveUDPAddr("udp", d.addr)
		if err != nil {
			continue
		}
		// Errors are ignored: the next heartbeat makes up for a lost datagram.
		_, _ = sock.WriteToUDP(d.body, to)
	}
}
