package bckend

import (
	"maps"
	"net"
	"sync"
)

// maxCountedIDs is the maximum number of request ids whose runs are counted.
const maxCountedIDs = 100_000

// Stats is the response to GET /control/stats.
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

// Stats returns the counts of requests that ran or were refused.
func (b *Backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.stats
	out.Runs = maps.Clone(b.runs.count)
	out.Dropped = b.runs.dropped
	return out
}

// runCounter counts the runs of the most recent request ids, at most size of them.
type runCounter struct {
	size    int
	count   map[string]int
	order   []string
	next    int
	dropped int64
}

func newRunCounter(size int) runCounter { return runCounter{size: size, count: map[string]int{}} }

func (r *runCounter) add(id string) {
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
	r.next = (r.next + 1) % maxCountedIDs
	r.dropped++
}

// limitListener closes connections beyond the limit and its reserve for control
// calls. A connection counts towards the limit from its first request for work until
// it is closed.
type limitListener struct {
	net.Listener
	b *Backend
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.b.admitConn() {
			return &countedConn{Conn: c, b: l.b}, nil
		}
		_ = c.Close()
	}
}

func (b *Backend) admitConn() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openConns >= b.cfg.Connections+reservedControlConns {
		b.stats.RefusedConnections++
		return false
	}
	b.openConns++
	return true
}

// countedConn updates the connection counts of its backend server on Close.
type countedConn struct {
	net.Conn
	b       *Backend
	once    sync.Once
	counted bool
}

func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		c.b.openConns--
		if c.counted {
			c.b.workConns--
		}
	})
	return c.Conn.Close()
}

// admitWorkConn counts the connection on its first request for work and reports
// whether it is within the limit. The caller holds b.mu.
func (b *Backend) admitWorkConn(nc net.Conn) bool {
	c, ok := nc.(interface{ NetConn() net.Conn }).NetConn().(*countedConn)
	if !ok || c.counted {
		return ok
	}
	if b.workConns >= b.cfg.Connections {
		return false
	}
	c.counted = true
	b.workConns++
	b.stats.PeakConnections = max(b.stats.PeakConnections, b.workConns)
	return true
}
