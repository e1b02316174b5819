// Package member maintains the membership of the entry VMs by heartbeats over UDP:
// which VMs are live, leaving or unresponsive, which shards they own, and as of
// when their policy version is known to be current.
//
// # Usage
//
//	m := member.New(cfg, clk, secret, seeds, selfStatus, onPolicyVersion)
//	go member.NewService(m, log).Serve(ctx)
//	for _, vm := range m.Live() { ... }
//	owner, ok := m.Owner("dc1/0")
//
// Within a data centre every VM sends to every other VM. Between data centres only
// one relay of each data centre, the live VM with the lowest name, sends and
// receives. It forwards what it receives within its own data centre, so that the
// number of messages between data centres does not grow with the number of VMs.
//
// A heartbeat echoes the sequence number last received from its destination. The
// echo bounds the age of the other VM's report by this VM's own clock, without a
// comparison of wall clocks.
//
// # Policy freshness
//
// For the policy version that a VM holds, the table computes up to when no newer
// version was published (PolicyAsOf). The store can confirm a version, and so can the
// heartbeats of VMs of the same data centre that report it as confirmed. Exchanges
// keep it confirmed while the store is unreachable.
//
// An exchange is a heartbeat whose sender has a confirmed version and that echoes a
// heartbeat of this VM. It is dated by when this VM sent the echoed heartbeat: until
// then, the sender held no version above the one that it reports. The mesh of a data
// centre consists of its VMs, which all exchange heartbeats with each other. A VM's
// mesh age is the age of the oldest among its latest exchanges with each of the
// others. By its mesh age, a relay reports about its whole data centre.
//
// A time of 0 means never or unknown.
package member

import (
	"math"
	"sort"
	"sync"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/entry/peer"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same VM.
	HeartbeatInterval = 500 * time.Millisecond
	// LivenessTimeout is the time without a message after which a VM is no longer
	// live. It covers five lost heartbeats.
	LivenessTimeout = 2500 * time.Millisecond
	// ForgetAfter is how long an unresponsive VM is kept in the table.
	ForgetAfter = 10 * time.Minute
	// sendTimesKept is the number of heartbeats whose send times are kept to date
	// their echoes.
	sendTimesKept = 64
	// MaxDatagramSize is the maximum size of a datagram in bytes. It leaves space
	// for tunnel headers in an Ethernet frame of 1,500 bytes: a fragmented datagram
	// is lost if any fragment is lost.
	MaxDatagramSize = 1400
	// multipartWindow is how long after the first datagram with a sequence number
	// others with the same number are accepted. One heartbeat may need several
	// datagrams; a later one is a replay.
	multipartWindow = HeartbeatInterval
)

// unknownAge is the reported age of what has never been received.
const unknownAge = time.Duration(math.MaxInt32) * time.Millisecond

// VM holds what is known about another entry VM.
type VM struct {
	name          string
	incarnation   uint64
	dc, addr      string
	leaving       bool
	policyVersion int64
	// policyAsOf is up to when the VM's policy version was current, as reported by
	// the VM.
	policyAsOf clock.Mono
	// policyExchangedAt is the time of the newest exchange of policy versions with
	// the VM; see exchangeTimeLocked.
	policyExchangedAt clock.Mono
	// echoedSentAt is when this VM sent the newest heartbeat that a process of the
	// other VM has echoed.
	echoedSentAt clock.Mono
	// lastSeenAt is the time of the newest message about the VM, its own or a
	// relay's.
	lastSeenAt clock.Mono
	// isDirect is set when addr and leaving come from the VM itself, not a relay.
	isDirect bool
	// lastDirectAt is when a datagram of the VM itself last arrived.
	lastDirectAt clock.Mono
	storeOK      bool
	lastSeq      uint64
	lastSeqAt    clock.Mono
	// listed is set while the platform lists the VM, gone once it no longer does.
	listed, gone bool
	// unconfirmedAddr is the address of a new incarnation that has not yet echoed a
	// heartbeat of this VM.
	unconfirmedAddr string
}

// Name returns the VM's name.
func (v VM) Name() string { return v.name }

// Incarnation returns the random number that the VM's process drew at its start.
func (v VM) Incarnation() uint64 { return v.incarnation }

// DataCentre returns the VM's data centre.
func (v VM) DataCentre() string { return v.dc }

// Addr returns the address for calls and heartbeats, as IP:PORT.
func (v VM) Addr() string { return v.addr }

// Leaving reports whether the VM is shutting down.
func (v VM) Leaving() bool { return v.leaving }

// PolicyVersion returns the highest policy version that the VM itself or a relay
// reported for it.
func (v VM) PolicyVersion() int64 { return v.policyVersion }

// StoreOK reports whether the VM's store calls succeed, as reported by the VM.
func (v VM) StoreOK() bool { return v.storeOK }

// Shard is an owner's report about its shard.
type Shard struct {
	name      string
	epoch     int64
	vm        string
	addr      string
	freeSlots int
	free      amount.Vec
	waiting   int
	mode      string
	asOf      clock.Mono
}

// NewShard returns the report about a shard that this VM owns.
func NewShard(name string, epoch int64, freeSlots int, free amount.Vec, waiting int, mode string) Shard {
	return Shard{name: name, epoch: epoch, freeSlots: freeSlots, free: free, waiting: waiting, mode: mode}
}

// Name returns the shard's name, as DATACENTRE/NUMBER.
func (s Shard) Name() string { return s.name }

// Epoch returns the epoch of the ownership.
func (s Shard) Epoch() int64 { return s.epoch }

// VM returns the owner's name.
func (s Shard) VM() string { return s.vm }

// Addr returns the owner's address.
func (s Shard) Addr() string { return s.addr }

// FreeSlots returns the free slots of the shard's backend servers.
func (s Shard) FreeSlots() int { return s.freeSlots }

// Free returns the free capacity of the shard's workers.
func (s Shard) Free() amount.Vec { return s.free }

// Waiting returns the number of waiting requests and tasks.
func (s Shard) Waiting() int { return s.waiting }

// Mode returns the owner's mode: store, standby, alone or acting.
func (s Shard) Mode() string { return s.mode }

// AsOf returns when the report was made, by this VM's clock.
func (s Shard) AsOf() clock.Mono { return s.asOf }

// Self is what this VM reports about itself in each heartbeat.
type Self struct {
	leaving       bool
	storeOK       bool
	policyVersion int64
	policyAsOf    clock.Mono
	shards        []Shard
}

// NewSelf returns this VM's current report about itself. policyAsOf is up to when
// the policy version is known to be current.
func NewSelf(leaving, storeOK bool, policyVersion int64, policyAsOf clock.Mono, shards []Shard) Self {
	return Self{leaving: leaving, storeOK: storeOK, policyVersion: policyVersion, policyAsOf: policyAsOf, shards: shards}
}

// Config identifies this VM and its process.
type Config struct {
	Name        string
	Incarnation uint64
	DataCentre  string
	Addr        string
}

// Members is the table of all known entry VMs. It is safe for concurrent use.
type Members struct {
	cfg             Config
	clk             clock.Clock
	secret          peer.Secret
	selfStatus      func() Self
	onPolicyVersion func(addr string, version int64)

	mu     sync.Mutex
	seq    uint64
	sentAt [sendTimesKept]clock.Mono
	vms    map[string]*VM
	shards map[string]Shard
	listed []fleet.VM
	// selfListed is set once the platform's list has contained this VM.
	selfListed bool
	// policyConfirmed is set once the store or a VM of this data centre has confirmed
	// a policy version.
	policyConfirmed bool
	seeds           []string
	round           int
}

// New returns a table. selfStatus is called before each round of heartbeats.
// onPolicyVersion is called, without locks held, with the address and the policy
// version of the sender of each accepted heartbeat, unless the sender has none.
func New(cfg Config, clk clock.Clock, secret peer.Secret, seeds []string, selfStatus func() Self, onPolicyVersion func(string, int64)) *Members {
	return &Members{
		cfg: cfg, clk: clk, secret: secret, selfStatus: selfStatus, onPolicyVersion: onPolicyVersion, seeds: seeds,
		vms: map[string]*VM{}, shards: map[string]Shard{},
	}
}

// SetListed updates the platform's list of entry VMs, which may be out of date.
func (m *Members) SetListed(vms []fleet.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = vms
	names := make(map[string]bool, len(vms))
	for _, l := range vms {
		names[l.ID()] = true
	}
	m.selfListed = m.selfListed || names[m.cfg.Name]
	for name, v := range m.vms {
		v.markListed(names[name])
	}
}

// markListed records whether the platform lists the VM. A VM that was listed and no
// longer is has been terminated by the platform.
func (v *VM) markListed(listed bool) {
	v.gone = !listed && (v.listed || v.gone)
	v.listed = listed
}

func (m *Members) isListedLocked(name string) bool {
	for _, l := range m.listed {
		if l.ID() == name {
			return true
		}
	}
	return false
}

// Gone reports whether the platform listed the VM and no longer does.
func (v VM) Gone() bool { return v.gone }

// Live returns the other VMs about which a message was received within
// LivenessTimeout, sorted by name.
func (m *Members) Live() []VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.liveLocked(m.clk.Now())
}

func (m *Members) liveLocked(now clock.Mono) []VM {
	var out []VM
	for _, v := range m.vms {
		if now.Sub(v.lastSeenAt) <= LivenessTimeout {
			out = append(out, *v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// All returns all VMs in the table, sorted by name.
func (m *Members) All() []VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]VM, 0, len(m.vms))
	for _, v := range m.vms {
		out = append(out, *v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// IsLive reports whether a message about the VM was received within
// LivenessTimeout.
func (m *Members) IsLive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.vms[name]
	return ok && m.clk.Now().Sub(v.lastSeenAt) <= LivenessTimeout
}

// Owner returns the newest report about a shard, if it is not older than
// LivenessTimeout.
func (m *Members) Owner(shard string) (Shard, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.shards[shard]
	return s, ok && m.clk.Now().Sub(s.asOf) <= LivenessTimeout
}

// Shards returns the reports that are not older than LivenessTimeout, sorted by
// shard name.
func (m *Members) Shards() []Shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	var out []Shard
	for _, s := range m.shards {
		if now.Sub(s.asOf) <= LivenessTimeout {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// IsRelay reports whether this VM is the relay of its data centre: it has the
// lowest name among the VMs that it exchanges heartbeats with in both directions.
// A VM that receives nothing could not exchange versions with other data centres.
func (m *Members) IsRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isRelayLocked(m.clk.Now())
}

func (m *Members) isRelayLocked(now clock.Mono) bool {
	for _, v := range m.vms {
		if v.dc == m.cfg.DataCentre && !v.leaving && v.name < m.cfg.Name && v.isReachableLocked(now) {
			return false
		}
	}
	return true
}

// isReachableLocked reports whether heartbeats arrive in both directions: within
// LivenessTimeout the VM's own heartbeat was received, and this VM sent one that
// the VM has echoed.
func (v *VM) isReachableLocked(now clock.Mono) bool {
	return v.isDirect && now.Sub(v.lastDirectAt) <= LivenessTimeout && v.echoedSentAt > 0 && now.Sub(v.echoedSentAt) <= LivenessTimeout
}
