// Package fleet reads the platform's list of VMs. The list has the entry VMs, workers
// and backend servers that are live or leaving, and lags behind their actual state.
//
// # Usage
//
//	src, err := fleet.New("http://127.0.0.1:9300/vms")
//	list, err := src.Read(ctx)
//	for _, vm := range list.Role(fleet.RoleWorker) { ... }
//
// The list has the format of Prometheus HTTP service discovery (http_sd): an array of
// {"targets": ["IP:PORT"], "labels": {...}}. The labels are id, role, data_centre,
// rack, state, service, cpu_milli, memory_mib, accelerators, slots and connections.
package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
)

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleWorker  Role = "worker"
	RoleBackend Role = "backend"
)

// State is the state of a VM as the platform reports it. A VM that is not on the list
// has ended, and its id is not used again.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is an entry of the list.
type VM struct {
	id, addr, dataCentre, rack, service string
	role                                Role
	state                               State
	cpuMilli, memoryMiB, accelerators   int64
	slots, connections                  int
}

// ID returns the platform's id of the VM.
func (v VM) ID() string { return v.id }

// Addr returns the VM's address as IP:PORT.
func (v VM) Addr() string { return v.addr }

// DataCentre returns the name of the VM's data centre.
func (v VM) DataCentre() string { return v.dataCentre }

// Rack returns the name of the VM's rack.
func (v VM) Rack() string { return v.rack }

// Service returns the service that a backend server offers.
func (v VM) Service() string { return v.service }

// Role returns the VM's role.
func (v VM) Role() Role { return v.role }

// State returns the VM's state as the platform reports it.
func (v VM) State() State { return v.state }

// CPUMilli returns a worker's processors in thousandths.
func (v VM) CPUMilli() int64 { return v.cpuMilli }

// MemoryMiB returns a worker's memory in MiB.
func (v VM) MemoryMiB() int64 { return v.memoryMiB }

// Accelerators returns a worker's number of accelerators.
func (v VM) Accelerators() int64 { return v.accelerators }

// Slots returns the number of requests that a backend server runs concurrently.
func (v VM) Slots() int { return v.slots }

// Connections returns the number of connections that a backend server accepts.
func (v VM) Connections() int { return v.connections }

// List is the platform's list of VMs at the time it was read.
type List struct {
	vms []VM
	// unreadable holds the ids of the entries that describe no VM, each empty if it cannot be
	// read either.
	unreadable []string
}

// NewList returns a list of the given VMs.
func NewList(vms ...VM) List { return List{vms: vms} }

// WithRole returns the VMs with the given role, ordered by id.
func (l List) WithRole(r Role) []VM {
	var out []VM
	for _, v := range l.vms {
		if v.role == r {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// Find returns the VM with the given id.
func (l List) Find(id string) (VM, bool) {
	for _, v := range l.vms {
		if v.id == id {
			return v, true
		}
	}
	return VM{}, false
}

// Len returns the number of VMs.
func (l List) Len() int { return len(l.vms) }

// Unreadable returns the ids of the entries that describe no VM, each empty if it cannot be read
// either.
func (l List) Unreadable() []string { return l.unreadable }

// Since returns the list that holds after an earlier one. An unreadable entry does not show
// that its VM has ended: the list keeps the VM from the earlier one, and all VMs that it does not
// have itself if it is not known whose entry is unreadable.
func (l List) Since(earlier List) List {
	if len(l.unreadable) == 0 {
		return l
	}
	anyone := slices.Contains(l.unreadable, "")
	out := List{vms: slices.Clone(l.vms), unreadable: l.unreadable}
	for _, v := range earlier.vms {
		if _, ok := l.Find(v.id); !ok && (anyone || slices.Contains(l.unreadable, v.id)) {
			out.vms = append(out.vms, v)
		}
	}
	return out
}

// Group is an element of the http_sd document.
type Group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Parse decodes an http_sd document. It returns an error for one that is no list as a whole. A
// group that describes no VM is noted as unreadable and does not keep the others from being
// used.
func Parse(doc []byte) (List, error) {
	var raw []json.RawMessage
	if err := json.Unmarshal(doc, &raw); err != nil {
		return List{}, rcode.Wrap(err, rcode.BadRequest, "fleet.Parse")
	}
	list := List{vms: make([]VM, 0, len(raw))}
	for _, r := range raw {
		var g Group
		v, err := VM{}, json.Unmarshal(r, &g)
		if err == nil {
			v, err = g.vm()
		}
		if err != nil {
			list.unreadable = append(list.unreadable, g.Labels["id"])
			continue
		}
		list.vms = append(list.vms, v)
	}
	return list, nil
}

// Check returns an error if the group describes no VM.
func (g Group) Check() error {
	_, err := g.vm()
	return rcode.Wrap(err, rcode.BadRequest, "fleet.Group")
}

// vm returns the VM that a group describes.
func (g Group) vm() (VM, error) {
	if len(g.Targets) != 1 {
		return VM{}, rcode.New(rcode.BadRequest, "%d targets, want 1", len(g.Targets))
	}
	l := g.Labels
	v := VM{
		id: l["id"], addr: g.Targets[0], dataCentre: l["data_centre"], rack: l["rack"], service: l["service"],
		role: Role(l["role"]), state: State(l["state"]),
	}
	if v.id == "" || v.dataCentre == "" {
		return VM{}, rcode.New(rcode.BadRequest, "id or data_centre is empty")
	}
	switch v.role {
	case RoleEntry, RoleWorker, RoleBackend:
	default:
		return VM{}, rcode.New(rcode.BadRequest, "unknown role %q", v.role)
	}
	switch v.state {
	case "":
		v.state = StateLive
	case StateLive, StateLeaving:
	default:
		return VM{}, rcode.New(rcode.BadRequest, "unknown state %q", v.state)
	}
	var err error
	number := func(name string) int64 {
		s := l[name]
		if s == "" || err != nil {
			return 0
		}
		var n int64
		n, err = strconv.ParseInt(s, 10, 64)
		if err == nil && (n < 0 || n > 1<<40) {
			err = rcode.New(rcode.BadRequest, "%s %d is out of range", name, n)
		}
		return n
	}
	v.cpuMilli, v.memoryMiB, v.accelerators = number("cpu_milli"), number("memory_mib"), number("accelerators")
	v.slots, v.connections = int(number("slots")), int(number("connections"))
	return v, err
}

// Source reads the platform's list over HTTP.
type Source struct {
	url    string
	client *fasthttp.Client
}

// ReadTimeout is the timeout for reading the list once.
const ReadTimeout = 2 * time.Second

// New returns a source that reads the list at url.
func New(url string) *Source {
	return &Source{url: url, client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 64 << 20}}
}

// Read fetches the current list. An error never comes with a partial list.
func (s *Source) Read(_ context.Context) (List, error) {
	status, body, err := s.client.GetDeadline(nil, s.url, time.Now().Add(ReadTimeout))
	if err != nil {
		return List{}, rcode.Wrap(err, rcode.StoreUnavailable, "fleet.Read")
	}
	if status != fasthttp.StatusOK {
		return List{}, rcode.New(rcode.StoreUnavailable, "fleet.Read: status %d", status)
	}
	return Parse(body)
}

// NewBackend returns a live backend server that is not read from the list.
func NewBackend(id, addr, service string, slots, connections int) VM {
	return VM{id: id, addr: addr, service: service, role: RoleBackend, state: StateLive, slots: slots, connections: connections}
}
