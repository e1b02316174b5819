package member

import (
	"google.golang.org/protobuf/proto"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/entry/peer"
)

// Datagram is one sealed heartbeat and the address that it goes to.
type Datagram struct {
	addr string
	body []byte
}

// Addr returns the address of the receiver.
func (d Datagram) Addr() string { return d.addr }

// Body returns the bytes to send.
func (d Datagram) Body() []byte { return d.body }

// Tick returns the heartbeats due now. It is called each Interval.
func (m *Members) Tick() ([]Datagram, error) {
	self := m.self()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	m.forgetLocked(now)
	m.seq++
	m.turn++
	m.sent[m.seq%sentKept] = now
	relay := m.relayLocked(now)
	var out []Datagram
	for _, t := range m.targetsLocked(now, relay) {
		body, err := proto.Marshal(m.heartbeatLocked(now, self, t, relay))
		if err != nil {
			return nil, err
		}
		out = append(out, Datagram{addr: t.addr, body: m.secret.Seal(body)})
	}
	return out, nil
}

type target struct {
	name, dc, addr string
}

// targetsLocked lists the VMs to send to: all of this data centre, and as a
// relay one of each other data centre.
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
	if !relay {
		return out
	}
	for _, list := range others {
		out = append(out, m.relayTargetLocked(now, list))
	}
	return out
}

// relayTargetLocked picks the lowest live name of another data centre, and when
// none is live one VM after the other.
func (m *Members) relayTargetLocked(now clock.Mono, list []target) target {
	best := target{}
	for _, t := range list {
		v, ok := m.vms[t.name]
		if ok && !v.leaving && now.Sub(v.heardAt) <= Silence && (best.name == "" || t.name < best.name) {
			best = t
		}
	}
	if best.name != "" {
		return best
	}
	lowest := list[0]
	for _, t := range list {
		if t.name < lowest.name {
			lowest = t
		}
	}
	if m.turn%2 == 0 {
		return lowest
	}
	return list[m.turn/2%len(list)]
}

func (m *Members) heartbeatLocked(now clock.Mono, self Self, t target, relay bool) *peer.Heartbeat {
	h := &peer.Heartbeat{
		Vm: m.cfg.Name, Incarnation: m.cfg.Incarnation, DataCentre: m.cfg.DataCentre, Addr: m.cfg.Addr,
		Seq: m.seq, Leaving: self.leaving, PolicyVersion: self.policy, StoreOk: self.storeOK,
		PolicyAgeMs: ageMS(now, self.policyAsOf), MeshAgeMs: ageMS(now, m.meshLocked(now)),
	}
	if v, ok := m.vms[t.name]; ok && v.direct {
		h.Echo, h.EchoIncarnation = v.seenSeq, v.incarnation
	}
	for _, s := range self.shards {
		s.vm, s.addr, s.asOf = m.cfg.Name, m.cfg.Addr, now
		h.Digests = append(h.Digests, digest(now, s))
	}
	m.relayedLocked(now, h, t, relay)
	return h
}

// relayedLocked adds what a relay passes on: into its own data centre what it
// heard of others, to another data centre what it heard in its own. Only a
// part goes into each datagram, in turn.
func (m *Members) relayedLocked(now clock.Mono, h *peer.Heartbeat, t target, relay bool) {
	if !relay || t.name == "" {
		return
	}
	inward := t.dc == m.cfg.DataCentre
	var rest []Shard
	for _, s := range m.shards {
		v, ok := m.vms[s.vm]
		if ok && (v.dc != m.cfg.DataCentre) == inward && now.Sub(s.asOf) <= Silence {
			rest = append(rest, s)
		}
	}
	sortShards(rest)
	for i := range min(digestsPerDatagram, len(rest)) {
		h.Digests = append(h.Digests, digest(now, rest[(m.turn*digestsPerDatagram+i)%len(rest)]))
	}
	var remotes []VM
	for _, v := range m.vms {
		if (v.dc != m.cfg.DataCentre) == inward && now.Sub(v.heardAt) <= Silence {
			remotes = append(remotes, *v)
		}
	}
	sortVMs(remotes)
	for i := range min(digestsPerDatagram, len(remotes)) {
		h.Remotes = append(h.Remotes, remote(now, remotes[(m.turn*digestsPerDatagram+i)%len(remotes)]))
	}
}

func digest(now clock.Mono, s Shard) *peer.Digest {
	return &peer.Digest{
		Shard: s.name, Epoch: s.epoch, Vm: s.vm, Addr: s.addr, FreeSlots: int32(s.slots), Waiting: int32(s.waiting),
		Free: AmountOf(s.free), AgeMs: ageMS(now, s.asOf), Mode: s.mode,
	}
}

func remote(now clock.Mono, v VM) *peer.Remote {
	return &peer.Remote{
		Vm: v.name, Incarnation: v.incarnation, DataCentre: v.dc, Addr: v.addr, Leaving: v.leaving,
		PolicyVersion: v.policy, AgeMs: ageMS(now, v.heardAt), ExchangeAgeMs: ageMS(now, v.exchangedAt),
	}
}

// AmountOf converts an amount to its message.
func AmountOf(v amount.Vec) *peer.Amount {
	return &peer.Amount{CpuMilli: v.CPUMilli(), MemoryMib: v.MemoryMiB(), Accelerators: v.Accelerators(), Requests: v.Requests()}
}

// VecOf converts a message to an amount; nil is nothing.
func VecOf(a *peer.Amount) amount.Vec {
	return amount.New(a.GetCpuMilli(), a.GetMemoryMib(), a.GetAccelerators(), a.GetRequests())
}

// Receive takes one datagram. Datagrams without a valid proof are ignored.
func (m *Members) Receive(b []byte) {
	body, ok := m.secret.Open(b)
	if !ok {
		return
	}
	var h peer.Heartbeat
	if proto.Unmarshal(body, &h) != nil || h.Vm == "" || h.Vm == m.cfg.Name {
		return
	}
	version := m.apply(&h)
	if version > 0 && m.newer != nil {
		m.newer(h.Addr, version)
	}
}

// apply updates the table and returns the sender's policy version.
func (m *Members) apply(h *peer.Heartbeat) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	v, ok := m.vms[h.Vm]
	if !ok || v.incarnation != h.Incarnation {
		v = &VM{name: h.Vm, incarnation: h.Incarnation}
		m.vms[h.Vm] = v
	}
	if v.direct && h.Seq < v.seenSeq {
		return 0
	}
	v.dc, v.addr, v.leaving, v.policy, v.storeOK = h.DataCentre, h.Addr, h.Leaving, h.PolicyVersion, h.StoreOk
	v.heardAt, v.direct, v.seenSeq = now, true, h.Seq
	sentAt := m.echoTimeLocked(h)
	if sentAt > 0 {
		v.policyAsOf = max(v.policyAsOf, before(sentAt, h.PolicyAgeMs))
		v.exchangedAt = max(v.exchangedAt, m.exchangeLocked(v, sentAt, h.MeshAgeMs))
	}
	for _, d := range h.Digests {
		m.applyDigestLocked(now, d)
	}
	for _, r := range h.Remotes {
		m.applyRemoteLocked(now, sentAt, r)
	}
	return h.PolicyVersion
}

// exchangeLocked dates an exchange. For a VM of another data centre it is
// lessened by that VM's own mesh age, since only then has everything known in
// its data centre reached it.
func (m *Members) exchangeLocked(v *VM, sentAt clock.Mono, meshAgeMS int64) clock.Mono {
	if v.dc == m.cfg.DataCentre {
		return sentAt
	}
	return before(sentAt, meshAgeMS)
}

func (m *Members) echoTimeLocked(h *peer.Heartbeat) clock.Mono {
	if h.EchoIncarnation != m.cfg.Incarnation || h.Echo == 0 || h.Echo > m.seq || m.seq-h.Echo >= sentKept {
		return 0
	}
	return m.sent[h.Echo%sentKept]
}

func (m *Members) applyDigestLocked(now clock.Mono, d *peer.Digest) {
	if d.Vm == m.cfg.Name {
		return
	}
	asOf := before(now, d.AgeMs)
	old, ok := m.shards[d.Shard]
	if ok && (old.epoch > d.Epoch || (old.epoch == d.Epoch && old.asOf > asOf)) {
		return
	}
	m.shards[d.Shard] = Shard{
		name: d.Shard, epoch: d.Epoch, vm: d.Vm, addr: d.Addr, slots: int(d.FreeSlots), free: VecOf(d.Free),
		waiting: int(d.Waiting), mode: d.Mode, asOf: asOf,
	}
}

func (m *Members) applyRemoteLocked(now, sentAt clock.Mono, r *peer.Remote) {
	if r.Vm == m.cfg.Name || r.Vm == "" {
		return
	}
	v, ok := m.vms[r.Vm]
	heard := before(now, r.AgeMs)
	if ok && v.heardAt >= heard {
		return
	}
	if !ok || v.incarnation != r.Incarnation {
		v = &VM{name: r.Vm, incarnation: r.Incarnation}
		m.vms[r.Vm] = v
	}
	v.dc, v.addr, v.leaving, v.policy = r.DataCentre, r.Addr, r.Leaving, r.PolicyVersion
	v.heardAt, v.direct = heard, false
	if sentAt > 0 && v.dc != m.cfg.DataCentre {
		v.exchangedAt = max(v.exchangedAt, before(sentAt, r.ExchangeAgeMs))
	}
}

func (m *Members) forgetLocked(now clock.Mono) {
	listed := map[string]bool{}
	for _, l := range m.listed {
		listed[l.ID()] = l.State() != fleet.StateLeaving
	}
	for name, v := range m.vms {
		if now.Sub(v.heardAt) > Forget && !listed[name] {
			delete(m.vms, name)
		}
	}
	for name, s := range m.shards {
		if now.Sub(s.asOf) > Forget {
			delete(m.shards, name)
		}
	}
}
