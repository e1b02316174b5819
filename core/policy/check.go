package policy

import (
	"fmt"
	"strings"
	"unicode"

	"limpethitch.example/core/rcode"
)

// Diagnostic is one validation error of a document.
type Diagnostic struct {
	field, text string
	line        int
}

// Field returns the path of the invalid field, such as teams[2].limit.
func (d Diagnostic) Field() string { return d.field }

// Text returns what is wrong with the field.
func (d Diagnostic) Text() string { return d.text }

// Line returns the field's line in the document, or 0 if it is unknown.
func (d Diagnostic) Line() int { return d.line }

// String returns the line if it is known, the field and the text.
func (d Diagnostic) String() string {
	if d.line == 0 {
		return d.field + ": " + d.text
	}
	return fmt.Sprintf("line %d: %s: %s", d.line, d.field, d.text)
}

// maxListedInError bounds the length of an error message. Inspect returns all
// diagnostics.
const maxListedInError = 20

func diagnosticsError(name string, diagnostics []Diagnostic) error {
	lines := make([]string, 0, maxListedInError+1)
	for i, d := range diagnostics {
		if i == maxListedInError {
			lines = append(lines, fmt.Sprintf("and %d more", len(diagnostics)-i))
			break
		}
		lines = append(lines, d.String())
	}
	return rcode.New(rcode.BundleInvalid, "policy.%s: %s", name, strings.Join(lines, "; "))
}

// checker collects the diagnostics of a document.
type checker struct{ diagnostics []Diagnostic }

// require adds a diagnostic for field unless ok is true.
func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.diagnostics = append(c.diagnostics, Diagnostic{field: field, text: fmt.Sprintf(format, args...)})
	}
}

// checkName checks the syntax of a name and that it is not in seen, to which it
// adds the name.
func (c *checker) checkName(seen map[string]bool, field, name string) {
	c.require(validName(name), field, "name %q must be 1 to 63 characters from a-z, 0-9 and -", name)
	c.require(!seen[name], field, "name %q appears twice", name)
	seen[name] = true
}

func validName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// Check validates the document and returns all diagnostics. They have no line
// numbers, which Inspect adds.
func (d *Document) Check() []Diagnostic {
	c := &checker{}
	c.require(d.Version > 0, "version", "must be positive")
	c.require(d.Author != "", "author", "must name the bundle's author")
	// limctl prints both fields on the terminals of other operators.
	c.require(printable(d.Author), "author", "must not contain control characters")
	c.require(printable(d.Comment), "comment", "must not contain control characters")
	c.require(d.MaxStalenessMS > 0 && d.MaxStalenessMS <= MaxStalenessLimitMS, "blind_ms", "%d is not within 1 to %d", d.MaxStalenessMS, MaxStalenessLimitMS)
	c.require(d.MaxStalenessOpenMS > 0 && d.MaxStalenessOpenMS <= 24*MaxStalenessLimitMS, "blind_open_ms", "%d is out of range", d.MaxStalenessOpenMS)
	d.checkDataCentres(c)
	teams := d.checkTeams(c)
	d.checkQueues(c, teams)
	return c.diagnostics
}

func printable(s string) bool { return strings.IndexFunc(s, unicode.IsControl) < 0 }

func (d *Document) checkDataCentres(c *checker) {
	seen := map[string]bool{}
	inService := 0
	for i, dc := range d.DataCentres {
		c.checkName(seen, fmt.Sprintf("data_centres[%d]", i), dc.Name)
		if dc.InService {
			inService++
		}
	}
	c.require(inService > 0, "data_centres", "no data centre is in service")
}

// keyChecker finds key ids and secrets that occur more than once in a bundle.
type keyChecker struct {
	ids     map[string]string // Team by key id.
	secrets map[string]string // Key id by salt and hash.
}

func (d *Document) checkTeams(c *checker) map[string]TeamDoc {
	seen := map[string]bool{}
	byName := make(map[string]TeamDoc, len(d.Teams))
	count := 0
	for _, t := range d.Teams {
		count += len(t.Keys)
	}
	keys := keyChecker{ids: make(map[string]string, count), secrets: make(map[string]string, count)}
	c.require(len(d.Teams) > 0, "teams", "the bundle has no teams")
	for i, t := range d.Teams {
		f := fmt.Sprintf("teams[%d]", i)
		c.checkName(seen, f, t.Name)
		c.require(t.Share > 0 && t.Share <= 1_000_000, f+".share", "%d is not within 1 to 1000000", t.Share)
		t.Limit.check(c, f+".limit")
		for j, k := range t.Keys {
			before := len(c.diagnostics)
			keys.check(c, t.Name, k)
			prefixFields(c.diagnostics[before:], "%s.keys[%d]", f, j)
		}
		byName[t.Name] = t
	}
	return byName
}

func (l LimitDoc) check(c *checker, field string) {
	amounts := []struct {
		name string
		n    int64
	}{
		{"cpu_milli", l.CPUMilli},
		{"memory_mib", l.MemoryMiB},
		{"accelerators", l.Accelerators},
		{"requests", l.Requests},
	}
	for _, a := range amounts {
		c.require(a.n >= 0 && a.n <= maxAmount, field+"."+a.name, "%d is not within 0 to %d", a.n, int64(maxAmount))
	}
	c.require(l.Accelerators <= 0 || l.allowsJobs(), field+".accelerators",
		"%d accelerators cannot be used without processors and memory", l.Accelerators)
}

// allowsJobs reports whether the limit admits any job. Each job needs processors
// and memory.
func (l LimitDoc) allowsJobs() bool { return l.CPUMilli > 0 && l.MemoryMiB > 0 }

// suspended reports whether all limits are 0, by which operators suspend a team.
// A suspended team may be named by any queue.
func (l LimitDoc) suspended() bool { return l == LimitDoc{} }

// prefixFields prepends a path to the fields of diagnostics. The paths and texts of
// keys are formatted only if a key is invalid, since a bundle may have 10,000 keys.
func prefixFields(diagnostics []Diagnostic, format string, args ...any) {
	for i := range diagnostics {
		diagnostics[i].field = fmt.Sprintf(format, args...) + diagnostics[i].field
	}
}

func (kc keyChecker) check(c *checker, team string, k KeyDoc) {
	if !validName(k.ID) {
		c.require(false, "", "id %q must be 1 to 63 characters from a-z, 0-9 and -", k.ID)
	}
	if other, taken := kc.ids[k.ID]; taken {
		c.require(false, "", "id %q appears twice, first in team %q", k.ID, other)
	}
	kc.ids[k.ID] = team
	c.require(len(k.Hash) == 64 && isHex(k.Hash), ".hash", "must have 64 hexadecimal digits")
	c.require(len(k.Salt) >= 16 && isHex(k.Salt), ".salt", "must have at least 16 hexadecimal digits in pairs")
	// Two keys with the same secret are refused: after one is revoked, the secret
	// would still be valid through the other.
	secret := strings.ToLower(k.Salt + k.Hash)
	if other, same := kc.secrets[secret]; same && other != k.ID {
		c.require(false, "", "keys %q and %q have the same secret, which stays valid when one of them is revoked", other, k.ID)
	}
	kc.secrets[secret] = k.ID
}

func isHex(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(s)%2 == 0
}

func (d *Document) checkQueues(c *checker, teams map[string]TeamDoc) {
	seen := map[string]bool{}
	open := map[string]QueueDoc{}
	for i, q := range d.Queues {
		f := fmt.Sprintf("queues[%d]", i)
		c.checkName(seen, f, q.Name)
		q.checkClass(c, f)
		q.checkTeams(c, f, teams)
		c.require(q.MaxWaiting > 0 && q.MaxWaiting <= 1_000_000, f+".max_waiting", "%d is not within 1 to 1000000", q.MaxWaiting)
		c.require(q.MaxBody > 0 && q.MaxBody <= MaxBodyLimit, f+".max_body", "%d is not within 1 to %d", q.MaxBody, MaxBodyLimit)
		if !q.Open || q.Service == "" {
			continue
		}
		first, taken := open[q.Service]
		c.require(!taken || first.Team == q.Team, f+".team",
			"queues %q and %q are both open for service %q but count for teams %q and %q, so callers could choose the team that is charged",
			first.Name, q.Name, q.Service, first.Team, q.Team)
		open[q.Service] = q
	}
}

func (q QueueDoc) checkClass(c *checker, f string) {
	switch q.Class {
	case ClassInteractive:
		c.require(q.Service != "", f+".service", "an interactive queue must name the service that answers its requests")
	case ClassUrgent, ClassService, ClassBatch, ClassGang:
		c.require(q.Service == "", f+".service", "only an interactive queue may have a service")
	default:
		c.require(false, f+".class", "%q is not one of %v", q.Class, Classes())
	}
}

func (q QueueDoc) checkTeams(c *checker, f string, teams map[string]TeamDoc) {
	_, known := teams[q.Team]
	c.require(!q.Open || known, f+".team", "an open queue must name the team that its work counts for, but team %q does not exist", q.Team)
	c.require(q.Open || q.Team == "", f+".team", "only an open queue may have a team")
	c.require(!q.Open || len(q.Teams) == 0, f+".teams", "an open queue accepts work from any caller and cannot list teams")
	if q.Open && known {
		q.checkLimit(c, f+".team", teams[q.Team])
	}
	listed := map[string]bool{}
	for i, name := range q.Teams {
		tf := fmt.Sprintf("%s.teams[%d]", f, i)
		t, ok := teams[name]
		c.require(ok, tf, "team %q does not exist", name)
		c.require(!listed[name], tf, "team %q appears twice", name)
		listed[name] = true
		if ok {
			q.checkLimit(c, tf, t)
		}
	}
}

// checkLimit adds a diagnostic if the team's limit is so low that no work of the
// queue's class can ever run for the team.
func (q QueueDoc) checkLimit(c *checker, field string, t TeamDoc) {
	if t.Limit.suspended() {
		return
	}
	if q.Class == ClassInteractive {
		c.require(t.Limit.Requests > 0, field, "team %q has a limit of 0 requests, so the queue can never serve it", t.Name)
		return
	}
	c.require(t.Limit.allowsJobs(), field, "team %q has a limit of 0 processors or memory, so the queue can never serve it", t.Name)
}
