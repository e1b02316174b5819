package limit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpethitch.example/core/clock"
)

// Config configures a Listener.
type Config struct {
	Share Share
	// Timeouts returns the bounds in force. It must not block.
	Timeouts func() Timeouts
	Clock    clock.Clock
	// OnClosed is called when a limit ends a connection or a request. It must not block or use the
	// connection, whose mutex is held.
	OnClosed func(r Reason, addr string)
}

const (
	// victimSample is the number of connections among which a victim is chosen. It bounds the
	// work for each new connection; maps are read from a random entry on.
	victimSample = 64
	// retryDelay is the pause after which a listener without room looks for a victim again, or
	// after an error of accept that passes.
	retryDelay = 20 * time.Millisecond
)

// Listener accepts a limited number of connections.
type Listener struct {
	net.Listener
	cfg    Config
	bytes  atomic.Int64 // charged by unfinished requests
	freed  chan struct{}
	closed chan struct{}
	close  func()

	// mu guards conns and byAddr. It is never held together with a connection's mutex.
	mu     sync.Mutex
	conns  map[*Conn]struct{}
	byAddr map[string]int
}

// New returns a listener whose connections count against cfg.
func New(l net.Listener, cfg Config) *Listener {
	out := &Listener{
		Listener: l, cfg: cfg, freed: make(chan struct{}, 1), closed: make(chan struct{}),
		conns: make(map[*Conn]struct{}), byAddr: make(map[string]int),
	}
	out.close = sync.OnceFunc(func() { close(out.closed) })
	return out
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close()
	return l.Listener.Close()
}

// Accept implements net.Listener. Without room for a new client it closes the connection of the
// least active one and waits; further clients wait in the kernel's queue meanwhile. So one
// connection more than the share may be open, which is not served yet.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && l.makeRoom():
			return l.add(conn), nil
		case err == nil:
			_ = conn.Close()
			return nil, net.ErrClosed
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.evict(anyConn)
		case errors.Is(err, syscall.ECONNABORTED):
		default:
			return nil, err
		}
		if !l.pause(nil) {
			return nil, net.ErrClosed
		}
	}
}

// makeRoom waits until a connection may be added. It returns false if the listener was closed.
func (l *Listener) makeRoom() bool {
	for l.count() >= l.cfg.Share.conns {
		l.evict(anyConn)
		if !l.pause(l.freed) {
			return false
		}
	}
	return true
}

// pause waits for wake or retryDelay. It returns false if the listener was closed.
func (l *Listener) pause(wake <-chan struct{}) bool {
	select {
	case <-l.closed:
		return false
	case <-wake:
	case <-l.cfg.Clock.After(retryDelay):
	}
	return true
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) add(conn net.Conn) *Conn {
	addr := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(addr); err == nil {
		addr = host
	}
	now := l.cfg.Clock.Now()
	c := &Conn{Conn: conn, l: l, addr: addr, phase: phaseIdle, since: now, requestSince: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.byAddr[addr]++
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	if l.byAddr[c.addr]--; l.byAddr[c.addr] <= 0 {
		delete(l.byAddr, c.addr)
	}
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// take charges bytes of unfinished requests, unless there are too many.
func (l *Listener) take(n int64) bool {
	if l.bytes.Add(n) <= l.cfg.Share.bytes {
		return true
	}
	l.bytes.Add(-n)
	return false
}

func (l *Listener) release(n int64) { l.bytes.Add(-n) }

func (l *Listener) report(r Reason, addr string) { l.cfg.OnClosed(r, addr) }

// sample returns some connections, with whether their address has more than its even share.
func (l *Listener) sample() map[*Conn]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[*Conn]bool, victimSample)
	for c := range l.conns {
		out[c] = l.byAddr[c.addr] > l.cfg.Share.conns/len(l.byAddr)
		if len(out) == victimSample {
			break
		}
	}
	return out
}

// anyConn and holdsBytes tell which connections may be evicted. The caller holds c.mu.
func anyConn(*Conn) bool      { return true }
func holdsBytes(c *Conn) bool { return c.charged > 0 }

// evict ends the eligible connection with the highest weight of a sample. It does not close it: a read
// or write that waits for the client fails, and its goroutine closes the connection. A request
// that is handled, or was read meanwhile, is still answered.
func (l *Listener) evict(eligible func(*Conn) bool) {
	now := l.cfg.Clock.Now()
	var victim *Conn
	highest := time.Duration(0)
	for c, overShare := range l.sample() {
		c.mu.Lock()
		found, ok := c.candidate(now, overShare)
		ok = ok && eligible(c)
		c.mu.Unlock()
		if ok && found.weight() > highest {
			victim, highest = c, found.weight()
		}
	}
	if victim == nil {
		return
	}
	victim.mu.Lock()
	writing, handling := victim.writing, victim.phase == phaseWhole
	victim.fail(Evicted)
	victim.evicted.Store(true)
	victim.mu.Unlock()
	if handling && !writing {
		return // ends after the answer, since it is not read any more
	}
	_ = victim.SetReadDeadline(time.Unix(1, 0)) // an error means that it is closed already
	if writing {
		_ = victim.SetWriteDeadline(time.Unix(1, 0))
	}
}
