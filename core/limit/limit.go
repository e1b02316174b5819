// Package limit bounds what clients that keep to no rule can take of a process: connections,
// bytes of unfinished requests, and time to send them.
//
// # Usage
//
//	machine := limit.Machine{MemoryBytes: 284 << 20, MaxFDs: 4100}
//	l := limit.New(listener, limit.Config{
//		Share: machine.Share(limit.Callers), Timeouts: timeouts, Clock: clock.New(), OnClosed: count,
//	})
//	server.Serve(l) // each connection is a *limit.Conn
//
// A server that reads a request's head and body apart reports the phases of each request:
// Conn.Body once the head was read, Conn.Whole once everything was read. The first write of an
// answer after that begins the next request. A server whose requests do not follow each other
// calls Conn.Hold and Conn.Settle around each request instead.
//
// When all connections are in use, the one whose client has kept the process waiting for longest
// is closed, so that a new client is served and a silent one is not (victim.go). A request that
// was read whole is answered before its connection is closed.
package limit

// Port is what a listener serves.
type Port string

// The ports of a VM.
const (
	Callers Port = "callers"
	Health  Port = "health"
	Metrics Port = "metrics"
	Peers   Port = "peers"
)

// Machine is what a process may use.
type Machine struct {
	// MemoryBytes is the memory of the process, and MaxFDs the number of its descriptors. 0 is
	// not known, for which defaultMemoryBytes and defaultMaxFDs stand.
	MemoryBytes int64
	MaxFDs      int
}

const (
	defaultMemoryBytes = 256 << 20
	defaultMaxFDs      = 4096
	// reservedFDs are the descriptors for files, which sockets cannot use.
	reservedFDs = 200
	// minConns is the least number of connections of a port.
	minConns = 4
	// freeBytes is the part of an unfinished request that the cost of its connection covers.
	freeBytes = 24 << 10
)

// portion is the part of a machine that belongs to one port. Numbers are divisors.
type portion struct {
	// memory and fds are the parts of memory and of descriptors for connections, bytes that of
	// memory for unfinished requests. A bytes of 0 allows freeBytes for each connection only.
	memory, fds, bytes int64
	// connBytes is the memory of one connection: the buffers and stacks of
	// the server, and some bytes in the kernel that were not read yet.
	connBytes int64
}

// portions leave half of the memory and of the descriptors to the scheduler and to its
// connections to workers and to the store. Connections between VMs need no buffer for a head.
var portions = map[Port]portion{
	Callers: {memory: 3, fds: 4, bytes: 16, connBytes: 64 << 10},
	Peers:   {memory: 6, fds: 4, bytes: 16, connBytes: 32 << 10},
	Health:  {memory: 48, fds: 16, connBytes: 64 << 10},
	Metrics: {memory: 48, fds: 32, connBytes: 128 << 10},
}

// Share is what the clients of one port may use together.
type Share struct {
	conns int
	bytes int64
}

// Share returns the share of a port.
func (m Machine) Share(p Port) Share {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemoryBytes
	}
	if m.MaxFDs <= 0 {
		m.MaxFDs = defaultMaxFDs
	}
	part := portions[p]
	byMemory := m.MemoryBytes / part.memory / part.connBytes
	byFDs := int64(m.MaxFDs-reservedFDs) / part.fds
	s := Share{conns: int(max(minConns, min(byMemory, byFDs)))}
	if part.bytes > 0 {
		s.bytes = m.MemoryBytes / part.bytes
	}
	return s
}

// WithConns returns the share with another number of connections; 0 leaves it as it is.
func (s Share) WithConns(n int) Share {
	if n > 0 {
		s.conns = n
	}
	return s
}

// WithBytes returns the share with another number of bytes; 0 leaves it as it is.
func (s Share) WithBytes(n int64) Share {
	if n > 0 {
		s.bytes = n
	}
	return s
}

// Conns returns the maximum number of connections.
func (s Share) Conns() int { return s.conns }

// Bytes returns the maximum size of all unfinished requests together, beyond the part of each
// that its connection's own memory covers.
func (s Share) Bytes() int64 { return s.bytes }
