package limit

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// Reason is why the process closed a connection or refused a request.
type Reason string

// Reasons. Idle connections that end with their time are not reported.
const (
	// Evicted made room for another connection.
	Evicted Reason = "evicted"
	// HeadTimeout and BodyTimeout are requests that took too long to arrive.
	HeadTimeout Reason = "head_timeout"
	BodyTimeout Reason = "body_timeout"
	// BytesExceeded is a request that was over the bytes of all unfinished requests.
	BytesExceeded Reason = "bytes"
	// BodyTooLarge and HeadTooLarge are requests over the limits of one request.
	BodyTooLarge Reason = "body_size"
	HeadTooLarge Reason = "head_size"
)

// phase is how far a request was read.
type phase string

const (
	phaseIdle  phase = "idle"
	phaseHead  phase = "head"
	phaseBody  phase = "body"
	phaseWhole phase = "whole"
	// phaseRefused is a connection that is about to be closed, see Conn.Close.
	phaseRefused phase = "refused"
)

// Timeouts bound the phases of a request.
type Timeouts struct {
	// Idle is the longest time between requests, Head and Body are those for the parts of a
	// request to arrive, Write is the longest time for one write of an answer.
	Idle, Head, Body, Write time.Duration
}

var (
	errEvicted = errors.New("limit: connection closed to make room for another")
	errBytes   = errors.New("limit: too many bytes of unfinished requests")
)

// Conn is a connection that counts against the limits of its listener.
type Conn struct {
	net.Conn
	l    *Listener
	addr string
	// evicted is set when the connection has to make room.
	evicted atomic.Bool

	// mu guards the fields below.
	mu    sync.Mutex
	phase phase
	// since is when the current phase began; for phaseIdle that is the end of the last answer.
	// requestSince is when the current request began, or since while there is none: a victim is
	// chosen by the time for a whole request.
	since, requestSince clock.Mono
	// reading and writing are set while the process waits for the client.
	reading, writing bool
	writeSince       clock.Mono
	// held counts the requests between Hold and Settle: such a server reads on while it handles
	// them.
	held    int
	answers int
	// unfinished is the number of bytes read of the current request, charged the part of it
	// that is charged to the listener.
	unfinished, charged int64
	closed              bool
	// failed is why the connection was ended by a limit.
	failed Reason
}

// Body reports that the head of a request was read and its body will be.
func (c *Conn) Body() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseBody, c.l.cfg.Clock.Now()
}

// Whole reports that a request was read whole. The next write is taken as its answer.
func (c *Conn) Whole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = phaseWhole, c.l.cfg.Clock.Now()
}

// Hold protects the connection until the call of Settle for this request.
func (c *Conn) Hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held++
}

// Settle reports the end of a request that Hold began.
func (c *Conn) Settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held--
	c.settle()
}

// settle begins the next request. The caller holds c.mu.
func (c *Conn) settle() {
	c.phase, c.since = phaseIdle, c.l.cfg.Clock.Now()
	c.answers++
	c.requestSince = c.since
	c.l.release(c.charged)
	c.unfinished, c.charged = 0, 0
}

// Failed returns the reason for which a limit ended the connection, or an empty one.
func (c *Conn) Failed() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// Read implements net.Conn. It fails if the client is too slow or sends too much.
func (c *Conn) Read(p []byte) (int, error) {
	now := c.l.cfg.Clock.Now()
	c.mu.Lock()
	end := c.deadline()
	c.reading = true
	c.mu.Unlock()
	err := c.SetReadDeadline(time.Now().Add(end.Sub(now)))
	// An eviction sets a deadline too, which the one above may have replaced.
	if c.evicted.Load() {
		return 0, errEvicted
	}
	if err != nil {
		return 0, rcode.Wrap(err, rcode.Internal, "limit.Read")
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if !c.charge(int64(n)) {
			// Others would be refused until the clients that hold the bytes give up.
			c.l.evict(holdsBytes)
			return 0, errBytes
		}
		return n, err
	}
	return n, c.readFailed(err)
}

// readFailed records why a read failed that returned no bytes.
func (c *Conn) readFailed(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	switch {
	case c.evicted.Load():
		return errEvicted
	case c.phase == phaseHead:
		c.fail(HeadTimeout)
	case c.phase == phaseBody:
		c.fail(BodyTimeout)
	}
	return err
}

// deadline returns the time until which the client has to send more. The caller holds c.mu.
func (c *Conn) deadline() clock.Mono {
	t := c.l.cfg.Timeouts()
	switch c.phase {
	case phaseHead:
		return c.since.Add(t.Head)
	case phaseBody:
		return c.since.Add(t.Body)
	case phaseIdle:
		return c.since.Add(t.Idle)
	default: // a server that reads on while it handles a request
		return c.l.cfg.Clock.Now().Add(t.Idle)
	}
}

// charge counts bytes of the current request. It returns false if there are too many of all
// requests.
func (c *Conn) charge(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHead, c.l.cfg.Clock.Now()
		c.requestSince = c.since
	}
	c.unfinished += n
	more := max(0, c.unfinished-freeBytes) - c.charged
	if more > 0 && !c.l.take(more) {
		c.fail(BytesExceeded)
		return false
	}
	c.charged += max(0, more)
	return true
}

// fail records why a limit ends the connection. The caller holds c.mu.
func (c *Conn) fail(r Reason) {
	if c.failed == "" {
		c.failed = r
		c.l.report(r, c.addr)
	}
}

// Evicted reports whether the connection has to make room for another. A server ends it after
// the answer to the current request; no other is read from it.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// Refuse records that the server refused the current request for a reason.
func (c *Conn) Refuse(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(r)
}

// Write implements net.Conn. It fails if the client does not read what it was sent. Nothing is
// sent to a client that has sent nothing yet: it would take that for the answer to a request
// which is under way.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.phase == phaseIdle && c.answers == 0 {
		c.mu.Unlock()
		return len(p), nil
	}
	c.writing, c.writeSince = true, c.l.cfg.Clock.Now()
	c.mu.Unlock()
	err := c.SetWriteDeadline(time.Now().Add(c.l.cfg.Timeouts().Write))
	n := 0
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.phase == phaseWhole {
		c.settle()
	}
	return n, err
}

const (
	// lingerTime and lingerBytes bound what is read and dropped after a request was refused
	// before its end. Closing at once would reset the connection, and the client could lose the
	// refusal.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// Close implements net.Conn. A client whose request was refused before its end may go on sending
// for a while, so that it can read the refusal.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return c.Conn.Close()
	}
	c.closed = true
	c.l.release(c.charged)
	c.charged = 0
	linger := c.failed == BodyTooLarge || c.failed == HeadTooLarge || c.failed == BytesExceeded
	c.phase, c.reading = phaseRefused, linger
	c.mu.Unlock()
	if linger {
		c.linger()
	}
	c.l.remove(c)
	return c.Conn.Close()
}

// linger drops what the client still sends.
func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil || c.evicted.Load() {
		return
	}
	_, _ = io.CopyBuffer(writerOnly{io.Discard}, io.LimitReader(c.Conn, lingerBytes), make([]byte, 4<<10))
}

// writerOnly hides the methods of a writer that would take a buffer of their own.
type writerOnly struct{ io.Writer }

// candidate describes the connection for the choice of a victim; ok is false if it must not be
// closed. The caller holds c.mu.
func (c *Conn) candidate(now clock.Mono, overShare bool) (candidate, bool) {
	if c.evicted.Load() || c.closed && !c.reading {
		return candidate{}, false
	}
	if c.writing {
		return candidate{waiting: now.Sub(c.writeSince), writing: true}, true
	}
	if c.phase == phaseWhole {
		return candidate{handling: c.answers + 1}, true
	}
	if !c.reading || c.held > 0 {
		return candidate{}, false
	}
	return candidate{waiting: now.Sub(c.requestSince), unserved: c.answers == 0 || c.phase != phaseIdle, overShare: overShare}, true
}
