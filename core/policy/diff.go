package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Part is the part of a bundle to which a change belongs.
type Part string

// The parts of a bundle. PartBundle stands for the fields of the bundle itself.
const (
	PartBundle     Part = "bundle"
	PartDataCentre Part = "data_centre"
	PartTeam       Part = "team"
	PartKey        Part = "key"
	PartQueue      Part = "queue"
)

// Change is one difference between two bundles.
type Change struct {
	part       Part
	name, text string
}

// Part returns the part of the bundle that changes.
func (c Change) Part() Part { return c.part }

// Name returns the name of the data centre, team or queue or the id of the key. It
// is empty for PartBundle.
func (c Change) Name() string { return c.name }

// Text describes the change, without the part and its name.
func (c Change) Text() string { return c.text }

// String describes the change in one line.
func (c Change) String() string {
	if c.name == "" {
		return c.text
	}
	return fmt.Sprintf("%s %s: %s", strings.ReplaceAll(string(c.part), "_", " "), c.name, c.text)
}

// differ collects the changes between two bundles.
type differ struct{ changes []Change }

func (d *differ) add(p Part, name, format string, args ...any) {
	d.changes = append(d.changes, Change{part: p, name: name, text: fmt.Sprintf(format, args...)})
}

// number adds a change if a numeric field differs.
func (d *differ) number(p Part, name, field string, old, new int64) {
	switch {
	case new > old:
		d.add(p, name, "%s rises from %d to %d (gains %d)", field, old, new, new-old)
	case new < old:
		d.add(p, name, "%s falls from %d to %d (loses %d)", field, old, new, old-new)
	}
}

// duration adds a change if a duration of the bundle differs.
func (d *differ) duration(field string, old, new time.Duration) {
	if old != new {
		d.add(PartBundle, "", "%s changes from %s to %s", field, old, new)
	}
}

// Diff returns the changes from old to new in a fixed order. If old is nil, new is
// the first bundle and everything in it is reported as added.
func Diff(old, new *Bundle) []Change {
	if old == nil {
		old = &Bundle{doc: &Document{}}
	}
	d := &differ{}
	if old.Version() > 0 {
		d.duration("time that work with a key continues without confirmation of the policy", old.MaxStaleness(), new.MaxStaleness())
		d.duration("time that open queues continue without confirmation of the policy", old.MaxStalenessOpen(), new.MaxStalenessOpen())
	}
	d.dataCentres(old, new)
	d.teams(old, new)
	d.keys(old, new)
	d.queues(old, new)
	return d.changes
}

func (d *differ) dataCentres(old, new *Bundle) {
	for _, name := range old.DataCentres() {
		in, listed := new.inService[name]
		switch {
		case !listed && old.inService[name]:
			d.add(PartDataCentre, name, "removed while in service")
		case !listed:
			d.add(PartDataCentre, name, "removed")
		case in && !old.inService[name]:
			d.add(PartDataCentre, name, "brought back into service")
		case !in && old.inService[name]:
			d.add(PartDataCentre, name, "taken out of service")
		}
	}
	for _, name := range new.DataCentres() {
		_, listed := old.inService[name]
		switch {
		case !listed && new.inService[name]:
			d.add(PartDataCentre, name, "added, in service")
		case !listed:
			d.add(PartDataCentre, name, "added, out of service")
		}
	}
}

func (d *differ) teams(old, new *Bundle) {
	for _, t := range old.Teams() {
		n, ok := new.Team(t.name)
		if !ok {
			d.add(PartTeam, t.name, "removed; loses its share of %d and its limit of %s", t.share, t.limit)
			continue
		}
		d.number(PartTeam, t.name, "share", t.share, n.share)
		d.number(PartTeam, t.name, "limit of processors (milli)", t.limit.CPUMilli(), n.limit.CPUMilli())
		d.number(PartTeam, t.name, "limit of memory (MiB)", t.limit.MemoryMiB(), n.limit.MemoryMiB())
		d.number(PartTeam, t.name, "limit of accelerators", t.limit.Accelerators(), n.limit.Accelerators())
		d.number(PartTeam, t.name, "limit of requests", t.limit.Requests(), n.limit.Requests())
	}
	for _, t := range new.Teams() {
		if _, ok := old.Team(t.name); !ok {
			d.add(PartTeam, t.name, "added with a share of %d and a limit of %s", t.share, t.limit)
		}
	}
}

// keyRow is a key of a bundle with its id.
type keyRow struct {
	id    string
	entry keyEntry
}

// keyRows returns the keys of all teams in the document's order.
func (b *Bundle) keyRows() []keyRow {
	rows := make([]keyRow, 0, len(b.keys))
	for _, t := range b.doc.Teams {
		for _, k := range t.Keys {
			rows = append(rows, keyRow{id: k.ID, entry: b.keys[k.ID]})
		}
	}
	return rows
}

func (e keyEntry) sameSecret(o keyEntry) bool {
	return e.hash == o.hash && slices.Equal(e.salt, o.salt)
}

func (d *differ) keys(old, new *Bundle) {
	for _, r := range old.keyRows() {
		n, ok := new.keys[r.id]
		switch {
		case !ok && !r.entry.revoked:
			d.add(PartKey, r.id, "removed from team %s, which revokes it", r.entry.team)
			continue
		case !ok:
			d.add(PartKey, r.id, "removed from team %s; it was already revoked", r.entry.team)
			continue
		case n.revoked && !r.entry.revoked:
			d.add(PartKey, r.id, "revoked for team %s", r.entry.team)
		case !n.revoked && r.entry.revoked:
			d.add(PartKey, r.id, "granted again to team %s after it was revoked", n.team)
		}
		if n.team != r.entry.team {
			d.add(PartKey, r.id, "moved from team %s to team %s", r.entry.team, n.team)
		}
		if !n.sameSecret(r.entry) {
			d.add(PartKey, r.id, "has another secret")
		}
	}
	for _, r := range new.keyRows() {
		if _, ok := old.keys[r.id]; ok {
			continue
		}
		if r.entry.revoked {
			d.add(PartKey, r.id, "added to team %s as revoked", r.entry.team)
			continue
		}
		d.add(PartKey, r.id, "granted to team %s", r.entry.team)
	}
}

func (d *differ) queues(old, new *Bundle) {
	for _, q := range old.Queues() {
		n, ok := new.queues[q.Name()]
		if !ok {
			d.add(PartQueue, q.Name(), "removed")
			continue
		}
		d.queue(q, n)
	}
	for _, q := range new.Queues() {
		if _, ok := old.queues[q.Name()]; !ok {
			d.add(PartQueue, q.Name(), "added, class %s, %s", q.Class(), q.access())
		}
	}
}

// access describes who may use the queue.
func (q Queue) access() string {
	if q.Open() {
		return "open to callers without a key, counted for team " + q.doc.Team
	}
	if len(q.doc.Teams) == 0 {
		return "for every team with a key"
	}
	return "for " + strings.Join(q.doc.Teams, ", ")
}

func (d *differ) queue(q, n Queue) {
	if q.Class() != n.Class() {
		d.add(PartQueue, q.Name(), "class changes from %s to %s", q.Class(), n.Class())
	}
	if q.Service() != n.Service() {
		d.add(PartQueue, q.Name(), "service changes from %q to %q", q.Service(), n.Service())
	}
	if q.access() != n.access() {
		d.add(PartQueue, q.Name(), "was %s and becomes %s", q.access(), n.access())
	}
	d.number(PartQueue, q.Name(), "waiting requests of a team", int64(q.MaxWaiting()), int64(n.MaxWaiting()))
	d.number(PartQueue, q.Name(), "largest body", int64(q.MaxBody()), int64(n.MaxBody()))
}
