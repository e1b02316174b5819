package member

import (
	"time"

	"limpethitch.example/core/clock"
)

// MeshAsOf returns the time of the oldest of the newest exchanges with the other
// VMs of this data centre: all that they knew up to then has reached this VM. A
// VM that the platform no longer lists does not count; alone is always fresh.
func (m *Members) MeshAsOf() clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meshLocked(m.clk.Now())
}

func (m *Members) meshLocked(now clock.Mono) clock.Mono {
	oldest := now
	for _, name := range m.dcNamesLocked(now) {
		at := clock.Mono(0)
		if v, ok := m.vms[name]; ok {
			at = v.exchangedAt
		}
		oldest = min(oldest, at)
	}
	return oldest
}

// dcNamesLocked lists the other VMs of this data centre: those on the platform's
// list and those heard that are not yet on it.
func (m *Members) dcNamesLocked(now clock.Mono) []string {
	seen := map[string]bool{m.cfg.Name: true}
	var out []string
	for _, l := range m.listed {
		if l.DataCentre() == m.cfg.DataCentre && !seen[l.ID()] {
			seen[l.ID()] = true
			out = append(out, l.ID())
		}
	}
	for name, v := range m.vms {
		if v.dc == m.cfg.DataCentre && !seen[name] && now.Sub(v.heardAt) <= Silence {
			out = append(out, name)
		}
	}
	return out
}

// ConfirmedAsOf returns up to when this VM knows that no policy version above
// version was published: the oldest, over all data centres, of the newest
// exchange with a VM of that data centre, each lessened by that VM's own mesh
// age. It returns 0 when some VM showed a newer version or a data centre was
// never heard.
func (m *Members) ConfirmedAsOf(version int64, dcs []string) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	oldest := m.meshLocked(now)
	for _, dc := range dcs {
		if dc == m.cfg.DataCentre {
			continue
		}
		newest := clock.Mono(0)
		for _, v := range m.vms {
			if v.dc == dc {
				newest = max(newest, v.exchangedAt)
			}
		}
		oldest = min(oldest, newest)
	}
	for _, v := range m.vms {
		if v.policy > version {
			return 0
		}
	}
	return oldest
}

// PeerAsOf returns the newest time as of which a directly heard VM of this data
// centre said that version is current.
func (m *Members) PeerAsOf(version int64) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := clock.Mono(0)
	for _, v := range m.vms {
		if v.dc == m.cfg.DataCentre && v.direct && v.policy == version {
			newest = max(newest, v.policyAsOf)
		}
	}
	return newest
}

// ageMS returns the age of at in milliseconds, rounded up so that it never
// reads as fresher than it is.
func ageMS(now, at clock.Mono) int64 {
	if at <= 0 {
		return never.Milliseconds()
	}
	return now.Sub(at).Milliseconds() + 1
}

// before returns the time ageMS before at, or 0 for something never heard.
func before(at clock.Mono, ageMS int64) clock.Mono {
	if ageMS < 0 || ageMS >= never.Milliseconds() || at <= 0 {
		return 0
	}
	return max(0, at.Add(-time.Duration(ageMS)*time.Millisecond))
}
