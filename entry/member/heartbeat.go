package member

import (
	"crypto/sha256"
	"sort"

	"google.golang.org/protobuf/proto"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/peer"
)

// Datagram is a signed heartbeat and its destination address.
type Datagram struct {
	addr string
	body []byte
}

// Addr returns the destination address.
func (d Datagram) Addr() string { return d.addr }

// Body returns the bytes to send.
func (d Datagram) Body() []byte { return d.body }

// Tick returns the heartbeats to send now. It is called every HeartbeatInterval.
func (m *Members) Tick() ([]Datagram, error) {
	selfStatus := m.selfStatus()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	m.forgetLocked(now)
	m.seq++
	m.round++
	m.sentAt[m.seq%sendTimesKept] = now
	relay := m.isRelayLocked(now)
	var out []Datagram
	targets := m.targetsLocked(now, relay)
	// The order is fixed so that a test with a fixed seed is reproducible.
	sort.Slice(targets, func(i, j int) bool { return targets[i].addr < targets[j].addr })
	for _, t := range targets {
		for _, h := range m.heartbeatsLocked(now, selfStatus, t, relay) {
			body, err := proto.Marshal(h)
			if err != nil {
				return nil, rcode.Wrap(err, rcode.Internal, "member.Tick")
			}
			out = append(out, Datagram{addr: t.addr, body: m.secret.Sign(body)})
		}
	}
	return out, nil
}

type target struct {
	name, dc, addr string
}

// targetsLocked lists the VMs to send to: all VMs of this data centre, relays of
// other data centres that send to this VM and, if this VM is a relay, VMs of each
// other data centre as chosen by remoteTargetsLocked. Seeds are included while no
// known VM has their address.
func (m *Members) targetsLocked(now clock.Mono, relay bool) []target {
	byName := map[string]target{}
	for _, l := range m.listed {
		byName[l.ID()] = target{name: l.ID(), dc: l.DataCentre(), addr: l.Addr()}
	}
	for name, v := range m.vms {
		byName[name] = target{name: name, dc: v.dc, addr: v.addr}
	}
	delete(byName, m.cfg.Name)
	var out []target
	others := map[string][]target{}
	known := map[string]bool{m.cfg.Addr: true}
	for _, t := range byName {
		known[t.addr] = true
		out = append(out, m.unconfirmedTargetsLocked(t)...)
		if t.dc == m.cfg.DataCentre {
			out = append(out, t)
			continue
		}
		others[t.dc] = append(others[t.dc], t)
	}
	for _, s := range m.seeds {
		if !known[s] {
			out = append(out, target{addr: s})
		}
	}
	for _, list := range others {
		out = append(out, m.remoteTargetsLocked(now, list, relay)...)
	}
	return out
}

// unconfirmedTargetsLocked returns and clears the other address, if any, at which a
// new process of a known VM announced itself. The process must receive a heartbeat
// before it can echo one.
func (m *Members) unconfirmedTargetsLocked(t target) []target {
	v := m.vms[t.name]
	if v == nil || v.unconfirmedAddr == "" {
		return nil
	}
	addr := v.unconfirmedAddr
	v.unconfirmedAddr = ""
	if addr == t.addr {
		return nil
	}
	return []target{{name: t.name, dc: t.dc, addr: addr}}
}

// remoteTargetsLocked selects targets among the VMs of another data centre. Every
// VM replies to the live VM with the lowest name there if that VM sends to it, so
// that echoes return even when the two sides disagree about the relay. A relay
// sends to the live VM with the lowest name. Unless that VM has the lowest name of
// all VMs that are not leaving and is reachable, the relay also sends to the VMs in
// turn: the other data centre's relay may not be known yet, and a VM that another
// one reports as live may not be reachable from here.
func (m *Members) remoteTargetsLocked(now clock.Mono, list []target, relay bool) []target {
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	var out []target
	lowerNotLive := false
	for _, t := range list {
		v := m.vms[t.name]
		if v == nil || v.leaving || now.Sub(v.lastSeenAt) > LivenessTimeout {
			lowerNotLive = lowerNotLive || v == nil || !v.leaving
			continue
		}
		if relay || (v.isDirect && now.Sub(v.lastDirectAt) <= LivenessTimeout) {
			out = append(out, t)
		}
		if !lowerNotLive && v.isReachableLocked(now) {
			return out
		}
		break
	}
	next := list[m.round%len(list)]
	if relay && (len(out) == 0 || out[0].name != next.name) {
		out = append(out, next)
	}
	return out
}

// heartbeatsLocked returns the heartbeat for one VM, split into as many messages
// with the same sequence number as MaxDatagramSize requires.
func (m *Members) heartbeatsLocked(now clock.Mono, selfStatus Self, t target, relay bool) []*peer.Heartbeat {
	newHeartbeat := func() *peer.Heartbeat {
		h := &peer.Heartbeat{
			Vm: m.cfg.Name, Incarnation: m.cfg.Incarnation, DataCentre: m.cfg.DataCentre, Addr: m.cfg.Addr,
			Seq: m.seq, Leaving: selfStatus.leaving, PolicyVersion: selfStatus.policyVersion, StoreOk: selfStatus.storeOK,
			PolicyAgeMs: ageMS(now, selfStatus.policyAsOf), MeshAgeMs: ageMS(now, m.meshLocked(now, selfStatus.policyVersion)),
		}
		if v, ok := m.vms[t.name]; ok && v.isDirect {
			h.Echo, h.EchoIncarnation = v.lastSeq, v.incarnation
		}
		return h
	}
	p := packer{newHeartbeat: newHeartbeat, current: newHeartbeat()}
	p.size = proto.Size(p.current)
	for _, s := range selfStatus.shards {
		s.vm, s.addr, s.asOf = m.cfg.Name, m.cfg.Addr, now
		p.addDigest(newDigest(now, s))
	}
	m.addRelayedLocked(now, &p, t, relay)
	return append(p.filled, p.current)
}

// packer splits a heartbeat into messages of at most MaxDatagramSize.
type packer struct {
	newHeartbeat func() *peer.Heartbeat
	filled       []*peer.Heartbeat
	current      *peer.Heartbeat
	size         int
}

// itemOverhead is the maximum number of bytes for an item's field number and
// length.
const itemOverhead = 4

// reserve adds the size of item to that of the current message, or of a new one if
// item does not fit into the current one.
func (p *packer) reserve(item proto.Message) {
	n := proto.Size(item) + itemOverhead
	if p.size+n+sha256.Size > MaxDatagramSize && len(p.current.Digests)+len(p.current.Remotes) > 0 {
		p.filled = append(p.filled, p.current)
		p.current = p.newHeartbeat()
		p.size = proto.Size(p.current)
	}
	p.size += n
}

func (p *packer) addDigest(d *peer.Digest) {
	p.reserve(d)
	p.current.Digests = append(p.current.Digests, d)
}

func (p *packer) addRemote(r *peer.Remote) {
	p.reserve(r)
	p.current.Remotes = append(p.current.Remotes, r)
}

// addRelayedLocked adds what a relay forwards: to VMs of its own data centre, what
// it received about other data centres; to another data centre, what it received
// about its own. Each heartbeat carries all of it: two relays in sequence add their
// intervals, so a digest that was sent only in some heartbeats would arrive older
// than LivenessTimeout.
func (m *Members) addRelayedLocked(now clock.Mono, p *packer, t target, relay bool) {
	if !relay || t.name == "" {
		return
	}
	inward := t.dc == m.cfg.DataCentre
	var rest []Shard
	for _, s := range m.shards {
		v, ok := m.vms[s.vm]
		if ok && (v.dc != m.cfg.DataCentre) == inward && now.Sub(s.asOf) <= LivenessTimeout {
			rest = append(rest, s)
		}
	}
	sortShards(rest)
	for _, s := range rest {
		p.addDigest(newDigest(now, s))
	}
	var remotes []VM
	for _, v := range m.vms {
		if (v.dc != m.cfg.DataCentre) == inward && now.Sub(v.lastSeenAt) <= LivenessTimeout {
			remotes = append(remotes, *v)
		}
	}
	sortVMs(remotes)
	for _, v := range remotes {
		p.addRemote(m.newRemote(now, v))
	}
}

func newDigest(now clock.Mono, s Shard) *peer.Digest {
	return &peer.Digest{
		Shard: s.name, Epoch: s.epoch, Vm: s.vm, Addr: s.addr, FreeSlots: int32(s.freeSlots), Waiting: int32(s.waiting),
		Free: AmountToProto(s.free), AgeMs: ageMS(now, s.asOf), Mode: s.mode,
	}
}

// newRemote returns what this relay reports about another VM. It omits the age of
// exchanges with VMs of its own data centre: they prove nothing about the other VMs
// there, and the heartbeat's own mesh age covers them.
func (m *Members) newRemote(now clock.Mono, v VM) *peer.Remote {
	r := &peer.Remote{
		Vm: v.name, Incarnation: v.incarnation, DataCentre: v.dc, Addr: v.addr, Leaving: v.leaving,
		PolicyVersion: v.policyVersion, AgeMs: ageMS(now, v.lastSeenAt), ExchangeAgeMs: ageMS(now, v.policyExchangedAt),
	}
	if v.dc == m.cfg.DataCentre {
		r.ExchangeAgeMs = unknownAge.Milliseconds()
	}
	return r
}

// AmountToProto converts an amount to its protobuf message.
func AmountToProto(v amount.Vec) *peer.Amount {
	return &peer.Amount{CpuMilli: v.CPUMilli(), MemoryMib: v.MemoryMiB(), Accelerators: v.Accelerators(), Requests: v.Requests()}
}

// AmountFromProto converts a protobuf message to an amount. A nil message is the
// zero amount.
func AmountFromProto(a *peer.Amount) amount.Vec {
	return amount.New(a.GetCpuMilli(), a.GetMemoryMib(), a.GetAccelerators(), a.GetRequests())
}

// Receive processes one datagram. It ignores datagrams without a valid signature.
func (m *Members) Receive(b []byte) {
	body, ok := m.secret.Verify(b)
	if !ok {
		return
	}
	var h peer.Heartbeat
	if proto.Unmarshal(body, &h) != nil || h.Vm == "" || h.Vm == m.cfg.Name {
		return
	}
	version := m.applyHeartbeat(&h)
	if version > 0 && m.onPolicyVersion != nil {
		m.onPolicyVersion(h.Addr, version)
	}
}

// applyHeartbeat updates the table and returns the sender's policy version, or 0 if
// the heartbeat is out of date.
func (m *Members) applyHeartbeat(h *peer.Heartbeat) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	sentAt := m.echoTimeLocked(h)
	v := m.admitLocked(now, h, sentAt)
	if v == nil {
		return 0
	}
	if h.Seq > v.lastSeq {
		v.lastSeq, v.lastSeqAt = h.Seq, now
	}
	v.dc, v.addr, v.leaving, v.storeOK = h.DataCentre, h.Addr, h.Leaving, h.StoreOk
	v.policyVersion = max(v.policyVersion, h.PolicyVersion)
	v.lastSeenAt, v.lastDirectAt, v.isDirect = now, now, true
	if sentAt > 0 {
		v.echoedSentAt = max(v.echoedSentAt, sentAt)
		v.policyAsOf = max(v.policyAsOf, timeBefore(sentAt, h.PolicyAgeMs))
	}
	if sentAt > 0 && hasConfirmedPolicy(h) {
		v.policyExchangedAt = max(v.policyExchangedAt, m.exchangeTimeLocked(v, sentAt, h.MeshAgeMs))
	}
	for _, d := range h.Digests {
		m.applyDigestLocked(now, d)
	}
	for _, r := range h.Remotes {
		m.applyRemoteLocked(now, sentAt, r)
	}
	return h.PolicyVersion
}

// admitLocked returns the entry that a heartbeat updates, or nil if the heartbeat is
// out of date. A new incarnation replaces a known one only if it echoes a heartbeat
// that was sent after all those echoed before, which a replayed datagram of an
// earlier process cannot do.
func (m *Members) admitLocked(now clock.Mono, h *peer.Heartbeat, sentAt clock.Mono) *VM {
	v, ok := m.vms[h.Vm]
	switch {
	case !ok:
		v = &VM{name: h.Vm, incarnation: h.Incarnation}
		v.markListed(m.isListedLocked(h.Vm))
	case v.incarnation == h.Incarnation:
		old := h.Seq < v.lastSeq || (h.Seq == v.lastSeq && now.Sub(v.lastSeqAt) > multipartWindow)
		if v.lastSeq > 0 && old {
			return nil
		}
		return v
	case sentAt <= v.echoedSentAt:
		v.unconfirmedAddr = h.Addr
		return nil
	default:
		v = v.nextProcess(h.Incarnation)
	}
	m.vms[h.Vm] = v
	return v
}

// hasConfirmedPolicy reports whether the sender has had its policy version confirmed.
// Only then does its heartbeat count as an exchange: a VM that has just started
// does not know what its data centre published and would confirm any version.
func hasConfirmedPolicy(h *peer.Heartbeat) bool {
	return h.PolicyAgeMs >= 0 && h.PolicyAgeMs < unknownAge.Milliseconds()
}

// nextProcess returns a new entry for another process of the same VM.
func (v *VM) nextProcess(incarnation uint64) *VM {
	return &VM{name: v.name, incarnation: incarnation, listed: v.listed, gone: v.gone, echoedSentAt: v.echoedSentAt}
}

// exchangeTimeLocked returns the time of an exchange of policy versions. For a VM
// of another data centre it is earlier by that VM's own mesh age: only what the
// VMs there knew before that has certainly reached the VM.
func (m *Members) exchangeTimeLocked(v *VM, sentAt clock.Mono, meshAgeMS int64) clock.Mono {
	if v.dc == m.cfg.DataCentre {
		return sentAt
	}
	return timeBefore(sentAt, meshAgeMS)
}

// echoTimeLocked returns when this process sent the heartbeat that h echoes, or 0
// if h echoes none of those kept.
func (m *Members) echoTimeLocked(h *peer.Heartbeat) clock.Mono {
	if h.EchoIncarnation != m.cfg.Incarnation || h.Echo == 0 || h.Echo > m.seq || m.seq-h.Echo >= sendTimesKept {
		return 0
	}
	return m.sentAt[h.Echo%sendTimesKept]
}

func (m *Members) applyDigestLocked(now clock.Mono, d *peer.Digest) {
	if d.Vm == m.cfg.Name {
		return
	}
	asOf := timeBefore(now, d.AgeMs)
	old, ok := m.shards[d.Shard]
	if ok && (old.epoch > d.Epoch || (old.epoch == d.Epoch && old.asOf > asOf)) {
		return
	}
	m.shards[d.Shard] = Shard{
		name: d.Shard, epoch: d.Epoch, vm: d.Vm, addr: d.Addr, freeSlots: int(d.FreeSlots), free: AmountFromProto(d.Free),
		waiting: int(d.Waiting), mode: d.Mode, asOf: asOf,
	}
}

func (m *Members) applyRemoteLocked(now, sentAt clock.Mono, r *peer.Remote) {
	if r.Vm == m.cfg.Name || r.Vm == "" {
		return
	}
	v, ok := m.vms[r.Vm]
	seenAt := timeBefore(now, r.AgeMs)
	if ok && v.incarnation != r.Incarnation {
		if v.lastSeenAt >= seenAt || (v.isDirect && now.Sub(v.lastDirectAt) <= LivenessTimeout) {
			return
		}
		v = v.nextProcess(r.Incarnation)
		m.vms[r.Vm] = v
	}
	if !ok {
		v = &VM{name: r.Vm, incarnation: r.Incarnation}
		v.markListed(m.isListedLocked(r.Vm))
		m.vms[r.Vm] = v
	}
	v.dc, v.policyVersion = r.DataCentre, max(v.policyVersion, r.PolicyVersion)
	if sentAt > 0 && v.dc != m.cfg.DataCentre {
		v.policyExchangedAt = max(v.policyExchangedAt, timeBefore(sentAt, r.ExchangeAgeMs))
	}
	if v.lastSeenAt >= seenAt {
		return
	}
	// What the VM itself reported within LivenessTimeout is newer than a relay's
	// information.
	if !v.isDirect || now.Sub(v.lastDirectAt) > LivenessTimeout {
		v.addr, v.leaving, v.isDirect = r.Addr, r.Leaving, false
	}
	v.lastSeenAt = seenAt
}

// forgetLocked removes the VMs and shards without a message within ForgetAfter. It
// keeps the VMs that the platform lists and not as leaving.
func (m *Members) forgetLocked(now clock.Mono) {
	listed := map[string]bool{}
	for _, l := range m.listed {
		listed[l.ID()] = l.State() != fleet.StateLeaving
	}
	for name, v := range m.vms {
		if now.Sub(v.lastSeenAt) > ForgetAfter && !listed[name] {
			delete(m.vms, name)
		}
	}
	for name, s := range m.shards {
		if now.Sub(s.asOf) > ForgetAfter {
			delete(m.shards, name)
		}
	}
}
