package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"limpethitch.example/core/rcode"
)

// Class says how work of a queue is treated.
type Class string

// Classes of treatment. Interactive queues take requests that a backend server
// answers immediately; the others take jobs that run on workers. A gang job starts
// all its tasks at once or none.
const (
	ClassInteractive Class = "interactive"
	ClassUrgent      Class = "urgent"
	ClassService     Class = "service"
	ClassBatch       Class = "batch"
	ClassGang        Class = "gang"
)

// Classes returns all classes in a fixed order.
func Classes() []Class {
	return []Class{ClassInteractive, ClassUrgent, ClassService, ClassBatch, ClassGang}
}

// Document is the bundle as operators write it, in JSON. Its fields are
// exported because encoding/json fills them.
type Document struct {
	Version     int64           `json:"version"`
	Author      string          `json:"author"`
	Comment     string          `json:"comment,omitempty"`
	BlindMS     int64           `json:"blind_ms,omitempty"`
	BlindOpenMS int64           `json:"blind_open_ms,omitempty"`
	DataCentres []DataCentreDoc `json:"data_centres"`
	Teams       []TeamDoc       `json:"teams"`
	Queues      []QueueDoc      `json:"queues"`
}

// DataCentreDoc states whether a data centre is in service.
type DataCentreDoc struct {
	Name      string `json:"name"`
	InService bool   `json:"in_service"`
}

// TeamDoc is one team: its share when the cell is full and its upper limit.
type TeamDoc struct {
	Name  string   `json:"name"`
	Share int64    `json:"share"`
	Limit LimitDoc `json:"limit"`
	Keys  []KeyDoc `json:"keys,omitempty"`
}

// LimitDoc is an upper limit across the fleet on what runs at once.
type LimitDoc struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
	Requests     int64 `json:"requests"`
}

// KeyDoc is a team's key as a salted hash; the key itself is never stored.
type KeyDoc struct {
	ID      string `json:"id"`
	Salt    string `json:"salt"`
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked,omitempty"`
}

// QueueDoc is one queue that callers name.
type QueueDoc struct {
	Name       string   `json:"name"`
	Class      Class    `json:"class"`
	Service    string   `json:"service,omitempty"`
	Open       bool     `json:"open,omitempty"`
	Team       string   `json:"team,omitempty"`
	Teams      []string `json:"teams,omitempty"`
	MaxWaiting int      `json:"max_waiting,omitempty"`
	MaxBody    int      `json:"max_body,omitempty"`
}

// Bounds and defaults of a bundle.
const (
	DefaultBlindMS     = 5_000
	MaxBlindMS         = 3_600_000
	DefaultBlindOpenMS = 3_600_000
	DefaultMaxWaiting  = 256
	DefaultMaxBody     = 256 << 10
	MaxMaxBody         = 4 << 20
	maxAmount          = 1 << 40
)

// Decode reads a document and refuses unknown fields, since a misspelt limit
// would otherwise silently not apply.
func Decode(raw []byte) (*Document, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var d Document
	if err := dec.Decode(&d); err != nil {
		return nil, rcode.Wrap(err, rcode.BundleInvalid, "policy.Decode: %s", position(raw, dec.InputOffset()))
	}
	if dec.More() {
		return nil, rcode.New(rcode.BundleInvalid, "policy.Decode: %s: more than one document", position(raw, dec.InputOffset()))
	}
	return &d, nil
}

func position(raw []byte, off int64) string {
	if off > int64(len(raw)) {
		off = int64(len(raw))
	}
	return fmt.Sprintf("line %d", 1+bytes.Count(raw[:off], []byte("\n")))
}

// Defaults sets what the document leaves out.
func (d *Document) Defaults() {
	if d.BlindMS == 0 {
		d.BlindMS = DefaultBlindMS
	}
	if d.BlindOpenMS == 0 {
		d.BlindOpenMS = DefaultBlindOpenMS
	}
	for i := range d.Teams {
		if d.Teams[i].Share == 0 {
			d.Teams[i].Share = 1
		}
	}
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.MaxWaiting == 0 {
			q.MaxWaiting = DefaultMaxWaiting
		}
		if q.MaxBody == 0 {
			q.MaxBody = DefaultMaxBody
		}
	}
}

// Fault is one thing wrong with a document.
type Fault struct {
	field, text string
}

// Field returns the path of the field at fault, such as teams[2].limit.
func (f Fault) Field() string { return f.field }

// Text returns what is wrong with it.
func (f Fault) Text() string { return f.text }

// String returns field and text.
func (f Fault) String() string { return f.field + ": " + f.text }

type checker struct{ faults []Fault }

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{field: field, text: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) name(seen map[string]bool, field, name string) {
	c.require(validName(name), field, "name %q must be 1 to 63 of a-z, 0-9 and -", name)
	c.require(!seen[name], field, "name %q stands twice", name)
	seen[name] = true
}

func validName(s string) bool {
	if s == "" || len(s) > 63 {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// Check returns all faults of the document, each with its field.
func (d *Document) Check() []Fault {
	c := &checker{}
	c.require(d.Version > 0, "version", "must be positive")
	c.require(d.Author != "", "author", "must name who wrote the bundle")
	c.require(d.BlindMS > 0 && d.BlindMS <= MaxBlindMS, "blind_ms", "%d is not within 1 to %d", d.BlindMS, MaxBlindMS)
	c.require(d.BlindOpenMS > 0 && d.BlindOpenMS <= 24*MaxBlindMS, "blind_open_ms", "%d is out of range", d.BlindOpenMS)
	d.checkDataCentres(c)
	teams := d.checkTeams(c)
	d.checkQueues(c, teams)
	return c.faults
}

func (d *Document) checkDataCentres(c *checker) {
	seen := map[string]bool{}
	inService := 0
	for i, dc := range d.DataCentres {
		c.name(seen, fmt.Sprintf("data_centres[%d]", i), dc.Name)
		if dc.InService {
			inService++
		}
	}
	c.require(inService > 0, "data_centres", "none is in service")
}

func (d *Document) checkTeams(c *checker) map[string]bool {
	seen, ids := map[string]bool{}, map[string]bool{}
	c.require(len(d.Teams) > 0, "teams", "there is none")
	for i, t := range d.Teams {
		f := fmt.Sprintf("teams[%d]", i)
		c.name(seen, f, t.Name)
		c.require(t.Share > 0 && t.Share <= 1_000_000, f+".share", "%d is not within 1 to 1000000", t.Share)
		for name, n := range map[string]int64{
			"cpu_milli": t.Limit.CPUMilli, "memory_mib": t.Limit.MemoryMiB,
			"accelerators": t.Limit.Accelerators, "requests": t.Limit.Requests,
		} {
			c.require(n >= 0 && n <= maxAmount, f+".limit."+name, "%d is out of range", n)
		}
		for j, k := range t.Keys {
			kf := fmt.Sprintf("%s.keys[%d]", f, j)
			c.require(validName(k.ID), kf, "id %q must be 1 to 63 of a-z, 0-9 and -", k.ID)
			c.require(!ids[k.ID], kf, "id %q stands twice", k.ID)
			ids[k.ID] = true
			c.require(len(k.Hash) == 64 && len(k.Salt) >= 16, kf, "hash must have 64 and salt at least 16 hexadecimal digits")
		}
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].field < c.faults[j].field })
	return seen
}

func (d *Document) checkQueues(c *checker, teams map[string]bool) {
	seen := map[string]bool{}
	for i, q := range d.Queues {
		f := fmt.Sprintf("queues[%d]", i)
		c.name(seen, f, q.Name)
		switch q.Class {
		case ClassInteractive:
			c.require(q.Service != "", f+".service", "an interactive queue names the service that answers")
		case ClassUrgent, ClassService, ClassBatch, ClassGang:
			c.require(q.Service == "", f+".service", "only an interactive queue has a service")
		default:
			c.require(false, f+".class", "%q is not one of %v", q.Class, Classes())
		}
		c.require(!q.Open || teams[q.Team], f+".team", "an open queue names the team %q that its work counts for", q.Team)
		c.require(q.Open || q.Team == "", f+".team", "only an open queue has a team")
		for _, t := range q.Teams {
			c.require(teams[t], f+".teams", "team %q does not exist", t)
		}
		c.require(q.MaxWaiting > 0 && q.MaxWaiting <= 1_000_000, f+".max_waiting", "%d is out of range", q.MaxWaiting)
		c.require(q.MaxBody > 0 && q.MaxBody <= MaxMaxBody, f+".max_body", "%d is out of range", q.MaxBody)
	}
}
