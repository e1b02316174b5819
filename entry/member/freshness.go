package member

import (
	"time"

	"limpethitch.example/core/clock"
)

// PolicyAsOf returns the time up to which this VM may consider version current: the
// latest of its own last confirmation from the store (own), the reports of VMs of
// its data centre, and the exchanges with all data centres. The exchanges count
// only after one of the other two sources has confirmed a version: if all VMs of a
// data centre were replaced while the store was down, none of the new ones knows
// what the former ones published, and their exchanges must not bring an older
// version into force again.
func (m *Members) PolicyAsOf(version int64, own clock.Mono, dcs []string) clock.Mono {
	confirmedAt := max(own, m.PeerAsOf(version))
	m.mu.Lock()
	m.policyConfirmed = m.policyConfirmed || confirmedAt > 0
	confirmed := m.policyConfirmed
	m.mu.Unlock()
	if !confirmed {
		return 0
	}
	return max(confirmedAt, m.ConfirmedAsOf(version, dcs))
}

// MeshAsOf returns the time up to which no other VM of this data centre held a
// version above version: the oldest among the latest exchanges with each of them.
// It returns 0 if one of them is known to hold a newer version, and while the
// platform's list has not yet contained this VM, because other VMs may then be
// unknown. A VM that the platform removed from its list does not count. For the
// only VM of a data centre, the result is the current time.
func (m *Members) MeshAsOf(version int64) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meshLocked(m.clk.Now(), version)
}

func (m *Members) meshLocked(now clock.Mono, version int64) clock.Mono {
	if !m.selfListed {
		return 0
	}
	oldest := now
	for _, name := range m.dcPeerNamesLocked() {
		v, ok := m.vms[name]
		if !ok || v.policyVersion > version {
			return 0
		}
		oldest = min(oldest, v.policyExchangedAt)
	}
	return oldest
}

// dcPeerNamesLocked returns the names of the other VMs of this data centre: those on
// the platform's list, and those in the table that were never listed. An
// unresponsive VM that was never listed stays in the result until it leaves the
// table, because it may be alive on the other side of a network partition.
func (m *Members) dcPeerNamesLocked() []string {
	seen := map[string]bool{m.cfg.Name: true}
	var out []string
	for _, l := range m.listed {
		if l.DataCentre() == m.cfg.DataCentre && !seen[l.ID()] {
			seen[l.ID()] = true
			out = append(out, l.ID())
		}
	}
	for name, v := range m.vms {
		if v.dc == m.cfg.DataCentre && !seen[name] && !v.gone {
			out = append(out, name)
		}
	}
	return out
}

// ConfirmedAsOf returns the time up to which this VM knows that no policy version
// above version was published: the oldest among the latest exchanges with each
// data centre. An exchange with a VM of another data centre is dated earlier by
// that VM's own mesh age. The data centres are those given and those of all listed
// or known entry VMs, because each of these VMs can publish. It returns 0 if any VM
// reported a newer version or there was no exchange with one of the data centres.
func (m *Members) ConfirmedAsOf(version int64, dcs []string) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := m.meshLocked(m.clk.Now(), version)
	newest := map[string]clock.Mono{}
	for _, dc := range dcs {
		newest[dc] = 0
	}
	for _, l := range m.listed {
		newest[l.DataCentre()] = 0
	}
	for _, v := range m.vms {
		if v.policyVersion > version {
			return 0
		}
		if !v.gone {
			newest[v.dc] = max(newest[v.dc], v.policyExchangedAt)
		}
	}
	delete(newest, m.cfg.DataCentre)
	for _, at := range newest {
		oldest = min(oldest, at)
	}
	return oldest
}

// PeerAsOf returns the latest time up to which a VM of this data centre reported,
// in a heartbeat of its own, that version is current.
func (m *Members) PeerAsOf(version int64) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := clock.Mono(0)
	for _, v := range m.vms {
		if v.dc == m.cfg.DataCentre && v.isDirect && v.policyVersion == version {
			newest = max(newest, v.policyAsOf)
		}
	}
	return newest
}

// ageMS returns the age of at in milliseconds, rounded up so that the receiver
// never takes it for newer than it is.
func ageMS(now, at clock.Mono) int64 {
	if at <= 0 {
		return unknownAge.Milliseconds()
	}
	return now.Sub(at).Milliseconds() + 1
}

// timeBefore returns the time ageMS milliseconds before at, or 0 if either is
// unknown.
func timeBefore(at clock.Mono, ageMS int64) clock.Mono {
	if ageMS < 0 || ageMS >= unknownAge.Milliseconds() || at <= 0 {
		return 0
	}
	return max(0, at.Add(-time.Duration(ageMS)*time.Millisecond))
}
