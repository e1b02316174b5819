package policy

import (
	"fmt"
	"slices"
	"strings"

	"limpethitch.example/core/rcode"
)

// Violation is a rule for successive versions that a new bundle breaks.
type Violation struct {
	code rcode.Code
	text string
}

// Code returns the result code of the violation.
func (v Violation) Code() rcode.Code { return v.code }

// Text describes the violation in one sentence.
func (v Violation) Text() string { return v.text }

// String returns the code and the text.
func (v Violation) String() string { return string(v.code) + " " + v.text }

// successorChecker collects the violations of a new bundle.
type successorChecker struct{ violations []Violation }

// require adds a violation unless ok is true.
func (c *successorChecker) require(ok bool, code rcode.Code, format string, args ...any) {
	if !ok {
		c.violations = append(c.violations, Violation{code: code, text: fmt.Sprintf(format, args...)})
	}
}

// CheckSuccessor returns an error if new is not a valid successor of old. The error
// lists the violations, up to a limit, and has the code of the first. If old is nil,
// new must be a valid first bundle.
func CheckSuccessor(old, new *Bundle) error {
	violations := SuccessorViolations(old, new)
	if len(violations) == 0 {
		return nil
	}
	lines := make([]string, 0, maxListedInError+1)
	for i, v := range violations {
		if i == maxListedInError {
			lines = append(lines, fmt.Sprintf("and %d more", len(violations)-i))
			break
		}
		lines = append(lines, v.String())
	}
	return rcode.New(violations[0].code, "policy.CheckSuccessor: %s", strings.Join(lines, "; "))
}

// SuccessorViolations returns all rules that new breaks as the successor of old. If
// old is nil, new must be a valid first bundle.
func SuccessorViolations(old, new *Bundle) []Violation {
	c := &successorChecker{}
	if old == nil {
		c.require(new.Version() == 1, rcode.BundleInvalid, "the first bundle must have version 1, not %d", new.Version())
		return c.violations
	}
	next := old.Version() + 1
	c.require(new.Version() >= next, rcode.BundleOlder, "version %d is not newer than version %d", new.Version(), old.Version())
	c.require(new.Version() <= next, rcode.BundleInvalid, "version %d does not follow version %d, the next one is %d",
		new.Version(), old.Version(), next)
	c.dataCentres(old, new)
	c.teams(old, new)
	c.keys(old, new)
	return c.violations
}

func (c *successorChecker) dataCentres(old, new *Bundle) {
	remains := false
	for _, name := range old.DataCentres() {
		if !old.inService[name] {
			continue
		}
		in, listed := new.inService[name]
		remains = remains || in
		// A rollout waits only for the data centres that the bundle lists. One that is
		// no longer listed could go on running under the old version after the new one
		// is in force.
		c.require(listed, rcode.BundleInvalid, "data centre %q is in service in version %d, so take it out of service before removing it",
			name, old.Version())
	}
	c.require(remains, rcode.BundleInvalid, "no data centre in service in version %d would stay in service", old.Version())
}

func (c *successorChecker) teams(old, new *Bundle) {
	for _, t := range old.doc.Teams {
		if _, ok := new.teams[t.Name]; ok {
			continue
		}
		for _, k := range t.Keys {
			c.require(k.Revoked, rcode.BundleInvalid, "team %q cannot be removed while its key %q is not revoked", t.Name, k.ID)
		}
		for _, q := range old.doc.Queues {
			named := q.Team == t.Name || slices.Contains(q.Teams, t.Name)
			c.require(!named, rcode.BundleInvalid, "team %q cannot be removed while queue %q names it in version %d",
				t.Name, q.Name, old.Version())
		}
	}
}

func (c *successorChecker) keys(old, new *Bundle) {
	for _, row := range old.keyRows() {
		n, ok := new.keys[row.id]
		if !ok {
			continue
		}
		// Waiting work is stored with the id of its key. If the id could get another
		// secret or team, work whose key was revoked could start.
		c.require(n.sameSecret(row.entry), rcode.BundleInvalid, "key %q has another secret, use a new id for a new key", row.id)
		c.require(n.team == row.entry.team, rcode.BundleInvalid, "key %q moves from team %q to %q, use a new key", row.id, row.entry.team, n.team)
		c.require(n.revoked || !row.entry.revoked, rcode.BundleInvalid, "key %q was revoked and cannot be granted again, use a new key", row.id)
	}
}
