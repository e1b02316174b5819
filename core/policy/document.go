package policy

// Class is the scheduling class of a queue's work.
type Class string

// Scheduling classes. Interactive queues take requests, which a backend server
// answers immediately. The other classes take jobs, which run on workers. The tasks
// of a gang job start together or not at all.
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

// Document is the JSON form of a bundle, as operators write it.
type Document struct {
	Version            int64           `json:"version"`
	Author             string          `json:"author"`
	Comment            string          `json:"comment,omitempty"`
	MaxStalenessMS     int64           `json:"blind_ms,omitempty"`
	MaxStalenessOpenMS int64           `json:"blind_open_ms,omitempty"`
	DataCentres        []DataCentreDoc `json:"data_centres"`
	Teams              []TeamDoc       `json:"teams"`
	Queues             []QueueDoc      `json:"queues"`
}

// DataCentreDoc is a data centre and whether it is in service.
type DataCentreDoc struct {
	Name      string `json:"name"`
	InService bool   `json:"in_service"`
}

// TeamDoc is a team with its weight when the cell is full, its upper limit and its
// keys.
type TeamDoc struct {
	Name  string   `json:"name"`
	Share int64    `json:"share"`
	Limit LimitDoc `json:"limit"`
	Keys  []KeyDoc `json:"keys,omitempty"`
}

// LimitDoc is a team's upper limit on the resources in use across the fleet.
type LimitDoc struct {
	CPUMilli     int64 `json:"cpu_milli"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
	Requests     int64 `json:"requests"`
}

// KeyDoc is a team's key as a salted hash. The secret itself is never stored.
type KeyDoc struct {
	ID      string `json:"id"`
	Salt    string `json:"salt"`
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked,omitempty"`
}

// QueueDoc is a queue to which callers submit requests or jobs.
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

// Defaults of a document's fields and the largest values that Check accepts.
const (
	DefaultMaxStalenessMS     = 5_000
	MaxStalenessLimitMS       = 3_600_000
	DefaultMaxStalenessOpenMS = 3_600_000
	DefaultMaxWaiting         = 256
	DefaultMaxBody            = 256 << 10
	MaxBodyLimit              = 4 << 20
	maxAmount                 = 1 << 40
)

// Defaults sets the fields that the document omits to their default values.
func (d *Document) Defaults() {
	if d.MaxStalenessMS == 0 {
		d.MaxStalenessMS = DefaultMaxStalenessMS
	}
	if d.MaxStalenessOpenMS == 0 {
		d.MaxStalenessOpenMS = DefaultMaxStalenessOpenMS
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
