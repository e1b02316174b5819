package bckend

import (
	"maps"
	"net"
	"sync"
)

// runsSize bounds the request ids whose runs are counted.
const runsSize = 100_000

// Stats is the answer to GET /control/stats.
type Stats struct {
	ID                 string         `json:"id"`
	Service            string         `json:"service"`
	Seed               uint64         `json:"seed"`
	PeakRunning        int            `json:"peak_running"`
	PeakConnections    int            `json:"peak_connections"`
	Refused            int64          `json:"refused"`
	RefusedLeaving     int64          `json:"refused_leaving"`
	RefusedConnections int64          `json:"refused_connections"`
	Runs               map[string]int `json:"runs"`
	Dropped            int64          `json:"dropped"`
}

// Stats returns what the backend server ran and refused.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.stats
	out.Runs = maps.Clone(b.runs.count)
	out.Dropped = b.runs.dropped
	return out
}

// runs counts how often each of the last size request ids ran.
type runs struct {
	size    int
	count   map[string]int
	order   []string
	next    int
	dropped int64
}

func newRuns(size int) runs { return runs{size: size, count: map[string]int{}} }

func (r *runs) add(id string) {
	r.count[id]++
	if r.count[id] > 1 {
		return
	}
	if len(r.order) < r.size {
		r.order = append(r.order, id)
		return
	}
	delete(r.count, r.order[r.next])
	r.order[r.next] = id
	r.next = (r.next + 1) % runsSize
	r.dropped++
}

// bounded refuses connections that even control calls could not use. A
// connection counts against the bound from its first request for work until it
// is closed.
type bounded struct {
	net.Listener
	b *Backend
}

func (l *bounded) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.b.accept() {
			return &conn{Conn: c, b: l.b}, nil
		}
		_ = c.Close()
	}
}

func (b *Backend) accept() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.cfg.Connections+controlConns {
		b.stats.RefusedConnections++
		return false
	}
	b.open++
	return true
}

type conn struct {
	net.Conn
	b       *Backend
	once    sync.Once
	counted bool
}

func (c *conn) Close() error {
	c.once.Do(func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.open--
		if c.counted {
			c.b.conns--
		}
	})
	return c.Conn.Close()
}

// count reports whether the connection is within the bound; the caller holds
// b.mu.
func (b *Backend) count(nc net.Conn) bool {
	c, ok := nc.(interface{ NetConn() net.Conn }).NetConn().(*conn)
	if !ok || c.counted {
		return ok
	}
	if b.conns >= b.cfg.Connections {
		return false
	}
	c.counted = true
	b.conns++
	b.stats.PeakConnections = max(b.stats.PeakConnections, b.conns)
	return true
}
