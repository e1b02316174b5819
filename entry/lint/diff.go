package lint

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
)

// Change is a difference between two configurations.
type Change struct {
	kind     Kind
	section  Section
	name     string
	field    string
	old, new string
}

// Kind returns the kind of the change.
func (c Change) Kind() Kind { return c.kind }

// Section returns where the change is.
func (c Change) Section() Section { return c.section }

// Name returns the name of the entry, empty in sections that are not lists.
func (c Change) Name() string { return c.name }

// Field returns the changed field as the file spells it, empty if the entry as a whole was
// added or removed. It is empty too for the keys of a client account, see IsKeys.
func (c Change) Field() string { return c.field }

// IsKeys reports whether the keys of a client account changed.
func (c Change) IsKeys() bool { return c.kind == KindChanged && c.field == "" }

// Old returns the value before, empty if there was none.
func (c Change) Old() string { return c.old }

// New returns the value after, empty if there is none.
func (c Change) New() string { return c.new }

// entry is what Diff compares of a queue, service or client account.
type entry struct {
	fields map[string]string
	keys   []string
}

// Diff returns the changes from one configuration to another by section, name and field. Of
// entries with the same name it compares the last ones.
func Diff(before, after *Config) []Change {
	var changes []Change
	if before.Version != after.Version {
		changes = append(changes, Change{KindChanged, SectionConfig, "", string(FieldVersion), fmt.Sprint(before.Version), fmt.Sprint(after.Version)})
	}
	for _, s := range []Section{SectionQueues, SectionServices, SectionTeams, SectionLimits} {
		old, next := before.entries(s), after.entries(s)
		for _, name := range sortedKeys(old, next) {
			a, had := old[name]
			b, has := next[name]
			switch {
			case !has:
				changes = append(changes, Change{kind: KindRemoved, section: s, name: name})
			case !had:
				changes = append(changes, Change{kind: KindAdded, section: s, name: name})
			default:
				changes = append(changes, diffEntry(s, name, a, b)...)
			}
		}
	}
	return changes
}

// entries returns the entries of a section by name; limits are one entry without a name.
func (c *Config) entries(s Section) map[string]entry {
	out := make(map[string]entry)
	switch s {
	case SectionQueues:
		for _, q := range c.Queues {
			out[q.Name] = entry{fields: q.Fields}
		}
	case SectionServices:
		for _, s := range c.Services {
			out[s.Name] = entry{fields: s.Fields}
		}
	case SectionTeams:
		for _, t := range c.Teams {
			out[t.Name] = entry{fields: t.Fields, keys: t.APIKeys}
		}
	case SectionLimits:
		out[""] = entry{fields: c.Limits.Fields}
	}
	return out
}

// diffEntry returns the changed fields of an entry, and one change for all its keys.
func diffEntry(s Section, name string, before, after entry) []Change {
	var changes []Change
	for _, field := range sortedKeys(before.fields, after.fields) {
		if old, next := before.fields[field], after.fields[field]; old != next {
			changes = append(changes, Change{KindChanged, s, name, field, old, next})
		}
	}
	removed, added := without(before.keys, after.keys), without(after.keys, before.keys)
	if len(removed)+len(added) > 0 {
		changes = append(changes, Change{KindChanged, s, name, "", describeKeys(before.keys, "removed", removed), describeKeys(after.keys, "added", added)})
	}
	return changes
}

// describeKeys returns the number of keys and the labels of those that changed.
func describeKeys(keys []string, verb string, changed []string) string {
	text := fmt.Sprintf("%d keys", len(keys))
	if len(changed) == 0 {
		return text
	}
	var labels []string
	for _, key := range changed {
		labels = append(labels, KeyLabel(key))
	}
	return fmt.Sprintf("%s, %s: %s", text, verb, strings.Join(labels, ", "))
}

// without returns the keys that are not among others.
func without(keys, others []string) []string {
	skip := make(map[string]bool, len(others))
	for _, key := range others {
		skip[key] = true
	}
	var out []string
	for _, key := range keys {
		if !skip[key] {
			out = append(out, key)
		}
	}
	return out
}

// sortedKeys returns the keys of both maps, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	all := maps.Clone(a)
	if all == nil {
		all = make(map[string]V)
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
