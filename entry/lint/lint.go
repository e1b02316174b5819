// Package lint checks a configuration before it is put in force: values that are invalid,
// entries that can never match a request, and values that contradict each other. It also
// describes what differs between two configurations. It decides on values only, without input
// or output, and does not know how a platform spells its fields.
//
// # Usage
//
//	findings := lint.Check(config)
//	changes := lint.Diff(inForce, config)
//
// A finding says where it is by section, index and field; the caller translates these into the
// spelling of the file. API keys never appear whole in a text, see KeyLabel.
package lint

import (
	"fmt"
	"strings"

	"limpethitch.example/entry/rules"
)

// Severity is how much a finding weighs.
type Severity string

// Severities. An error is an invalid value; a warning is a valid value that has no effect, or
// contradicts another one.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Section is a part of a configuration.
type Section string

// Sections. SectionConfig is the configuration itself.
const (
	SectionConfig   Section = "config"
	SectionQueues   Section = "queues"
	SectionServices Section = "services"
	SectionTeams    Section = "teams"
	SectionLimits   Section = "limits"
)

// Field is a field of an entry, or empty for the entry as a whole.
type Field string

// Fields that findings are about.
const (
	FieldVersion     Field = "version"
	FieldName        Field = "name"
	FieldHost        Field = "host"
	FieldPrefix      Field = "prefix"
	FieldService     Field = "service"
	FieldPriority    Field = "priority"
	FieldMaxAttempts Field = "attempts"
	FieldStretch     Field = "stretch"
	FieldTarget      Field = "target"
	FieldTimeout     Field = "timeout"
	FieldPublic      Field = "public"
	FieldAdviceBase  Field = "advice.base"
	FieldAdvicePer   Field = "advice.worker"
	FieldAdviceValid Field = "advice.valid"
	FieldKeys        Field = "keys"
	FieldRate        Field = "rate"
	FieldLimit       Field = "limit"
	FieldHeaderBytes Field = "header bytes"
	FieldBodyBytes   Field = "body bytes"
	FieldHeaderTime  Field = "header timeout"
	FieldIdleTime    Field = "idle timeout"
)

// Queue is a queue as written in a configuration.
type Queue struct {
	rules.Queue
	// TimeoutMS is the timeout of its requests.
	TimeoutMS int64
	// Fields holds the text of each field by its spelling in the file, for Diff.
	Fields map[string]string
}

// Service is a group of workers as written in a configuration.
type Service struct {
	Name string
	// Standby services hold workers that are off, and need no queue.
	Standby bool
	// Fields holds the text of each field by its spelling in the file, for Diff.
	Fields map[string]string
}

// Team is a client account as written in a configuration.
type Team struct {
	rules.Team
	// Fields holds the text of each field but the keys by its spelling in the file, for Diff.
	Fields map[string]string
}

// Limits are the limits of requests as written in a configuration.
type Limits struct {
	rules.Limits
	// HeaderBytes and BodyBytes are the limits of sizes, nil if the file sets none.
	HeaderBytes, BodyBytes *int64
	// Fields holds the text of each field by its spelling in the file, for Diff.
	Fields map[string]string
}

// Config is a configuration in the order of the file. Unlike a rules.Set it keeps entries
// with the same name.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Place is where a finding is. Index counts from 0 in the sections that are lists.
type Place struct {
	Section Section
	Index   int
	Field   Field
}

// Finding is one fault of a configuration.
type Finding struct {
	severity Severity
	place    Place
	text     string
}

// Severity returns how much the finding weighs.
func (f Finding) Severity() Severity { return f.severity }

// Place returns where the finding is.
func (f Finding) Place() Place { return f.place }

// Text returns the description.
func (f Finding) Text() string { return f.text }

// KeyLabel returns the last characters of an API key, or nothing of a short one.
func KeyLabel(key string) string {
	const (
		shown  = 4
		minLen = 16 // the rest of a shorter key could be guessed
	)
	if len(key) < minLen {
		return "a key of less than 16 characters"
	}
	return fmt.Sprintf("the key ending in %q", key[len(key)-shown:])
}

// check collects the findings about one configuration.
type check struct {
	config   *Config
	findings []Finding
}

// Check returns all findings about a configuration, in the order of its sections.
func Check(config *Config) []Finding {
	c := &check{config: config}
	if config.Version <= 0 {
		c.fail(Place{Section: SectionConfig, Field: FieldVersion}, "must be above 0")
	}
	c.queues()
	c.services()
	c.teams()
	c.limits()
	return c.findings
}

// CheckSuccessor returns the findings about a configuration that follows another one.
func CheckSuccessor(inForce, next *Config) []Finding {
	c := &check{config: next}
	if next.Version <= inForce.Version {
		c.fail(Place{Section: SectionConfig, Field: FieldVersion},
			"must be above %d, the version in force; the configuration would be ignored", inForce.Version)
	}
	return c.findings
}

func (c *check) fail(p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{SeverityError, p, fmt.Sprintf(format, args...)})
}

func (c *check) warn(p Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{SeverityWarning, p, fmt.Sprintf(format, args...)})
}

// name checks a name against those of the entries before it, which it is added to.
func (c *check) name(p Place, name string, seen map[string]int) {
	p.Field = FieldName
	if name == "" {
		c.fail(p, "is missing")
		return
	}
	if first, ok := seen[name]; ok {
		c.fail(p, "%q is already the name of entry %d", name, first)
		return
	}
	seen[name] = p.Index
}

// notNegative checks a number that may be 0.
func (c *check) notNegative(p Place, field Field, value float64) {
	p.Field = field
	if value < 0 {
		c.fail(p, "must not be negative")
	}
}

func (c *check) queues() {
	if len(c.config.Queues) == 0 {
		c.warn(Place{Section: SectionQueues}, "there is no queue, so every request is refused")
	}
	services := make(map[string]bool)
	for _, s := range c.config.Services {
		services[s.Name] = true
	}
	anyKey := false
	for _, t := range c.config.Teams {
		anyKey = anyKey || len(t.APIKeys) > 0
	}
	names, matches := make(map[string]int), make(map[[2]string]int)
	for i := range c.config.Queues {
		q, p := &c.config.Queues[i], Place{Section: SectionQueues, Index: i}
		at := func(f Field) Place { return Place{Section: SectionQueues, Index: i, Field: f} }
		c.name(p, q.Name, names)
		if q.Service == "" || !services[q.Service] {
			c.fail(at(FieldService), "there is no service %q", q.Service)
		}
		if q.MaxAttempts < 1 {
			c.fail(at(FieldMaxAttempts), "must be at least 1")
		}
		if q.StretchFactor <= 0 {
			c.fail(at(FieldStretch), "must be above 0")
		}
		c.notNegative(p, FieldPriority, float64(q.Priority))
		c.notNegative(p, FieldTarget, float64(q.TargetMS))
		c.notNegative(p, FieldTimeout, float64(q.TimeoutMS))
		if q.StretchFactor > 0 && q.StretchFactor < 1 && q.TargetMS == 0 {
			c.warn(at(FieldStretch), "below 1 with a target of 0, so every job misses its objective")
		}
		if !q.Public && !anyKey {
			c.warn(at(FieldPublic), "the queue needs a key and no client account has one, so it never accepts a job")
		}
		c.match(i, matches)
		c.advice(i)
	}
}

// match checks whether a queue can match a request. The queue with the longest prefix wins, so
// only a queue with the same host and prefix hides another one completely.
func (c *check) match(i int, matches map[[2]string]int) {
	q := &c.config.Queues[i]
	host := Place{Section: SectionQueues, Index: i, Field: FieldHost}
	prefix := Place{Section: SectionQueues, Index: i, Field: FieldPrefix}
	switch {
	case q.Host == "":
		c.fail(host, "is missing")
	case q.Host != strings.ToLower(q.Host):
		c.warn(host, "never matches: hosts of requests are compared in lower case")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		c.warn(prefix, `never matches: every path begins with "/"`)
	} else {
		for _, part := range []string{"//", "/./", "/../"} {
			if strings.Contains(q.Prefix, part) {
				c.warn(prefix, "never matches: paths are compared without %q", part)
				break
			}
		}
	}
	key := [2]string{q.Host, q.Prefix}
	if first, ok := matches[key]; ok {
		c.warn(prefix, "never matches: entry %d has the same host and prefix", first)
		return
	}
	matches[key] = i
}

// advice checks the calls to the advising service.
func (c *check) advice(i int) {
	a, p := c.config.Queues[i].Advice, Place{Section: SectionQueues, Index: i}
	if a == nil {
		return
	}
	c.notNegative(p, FieldAdviceBase, a.BaseMS)
	c.notNegative(p, FieldAdvicePer, a.PerWorkerMS)
	p.Field = FieldAdviceValid
	switch {
	case a.ValidMS <= 0:
		c.fail(p, "must be above 0")
	case float64(a.ValidMS) <= a.BaseMS+a.PerWorkerMS:
		c.warn(p, "not above the duration of a call about one worker, so every ticket is invalid when it is used")
	}
}

func (c *check) services() {
	used := make(map[string]bool)
	for i := range c.config.Queues {
		used[c.config.Queues[i].Service] = true
	}
	names := make(map[string]int)
	for i, s := range c.config.Services {
		p := Place{Section: SectionServices, Index: i}
		c.name(p, s.Name, names)
		if s.Name != "" && !used[s.Name] && !s.Standby {
			c.warn(p, "no queue uses this service")
		}
	}
}

func (c *check) teams() {
	names, holders := make(map[string]int), make(map[string]int)
	for i, t := range c.config.Teams {
		p := Place{Section: SectionTeams, Index: i}
		c.name(p, t.Name, names)
		c.notNegative(p, FieldRate, t.Rate)
		if p.Field = FieldLimit; t.Limit.HasNegative() {
			c.fail(p, "must not be negative")
		}
		p.Field = FieldKeys
		if len(t.APIKeys) == 0 {
			c.warn(p, "there is no key, so no call belongs to this client account")
		}
		for _, key := range t.APIKeys {
			holder, held := holders[key]
			switch {
			case key == "":
				c.fail(p, "a key is empty")
			case held && holder != i:
				c.fail(p, "%s is also held by entry %d", KeyLabel(key), holder)
			case held:
				c.warn(p, "%s is listed twice", KeyLabel(key))
			default:
				holders[key] = i
			}
		}
	}
}

func (c *check) limits() {
	l, p := &c.config.Limits, Place{Section: SectionLimits}
	for _, x := range []struct {
		field Field
		size  *int64
	}{{FieldHeaderBytes, l.HeaderBytes}, {FieldBodyBytes, l.BodyBytes}} {
		if x.size == nil {
			continue
		}
		c.notNegative(p, x.field, float64(*x.size))
		if *x.size == 0 {
			c.warn(Place{Section: SectionLimits, Field: x.field}, "0 sets no limit; the limits of the process apply")
		}
	}
	c.notNegative(p, FieldHeaderTime, float64(l.HeaderTimeoutMS))
	c.notNegative(p, FieldIdleTime, float64(l.IdleTimeoutMS))
}
