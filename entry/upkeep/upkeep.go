// Package upkeep plans maintenance waves. Each VM of a wave goes down once, after its
// worker has drained and before the wave's deadline, with a bound on the number of VMs
// that are down at the same time.
//
// # Usage
//
//	p := upkeep.NewPlan(upkeep.Config{Downtime: 2 * time.Second})
//	p.AddWave(upkeep.NewWave(1, vms, deadline, maxDown), deadlineUnixMS, now)
//	p.SetVMs(list, requestedAt) // counts for the waves added before requestedAt
//	steps := p.Next(now, runs) // to be executed in order
//	p.MarkAccepted(1, vm, now)
//
// A Plan does no I/O and is not safe for concurrent use. Before a VM is ordered down, a
// record that lists it as started is stored. A new owner restores the records and
// repeats the orders for the VMs listed as started. The platform accepts a repeated order
// without effect, but the first one may have been lost or may still arrive: the workers
// of these VMs drain until the repeated order is accepted.
package upkeep

import (
	"encoding/json"
	"strconv"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// State is the state of a VM as the platform reports it.
type State string

// States of a VM. Only a VM that is up can be ordered down.
const (
	StateUp            State = "up"
	StateMoving        State = "moving"
	StateInMaintenance State = "in upkeep"
	StateDown          State = "down"
)

// VM is the host of at most one worker, as the platform lists it.
type VM struct {
	name, worker string
	state        State
}

// NewVM returns a VM. worker is the id of the worker on it, or empty if there is none.
func NewVM(name, worker string, state State) VM { return VM{name: name, worker: worker, state: state} }

// Name returns the VM's name, which stays the same when its worker is replaced.
func (v VM) Name() string { return v.name }

// Worker returns the id of the worker on the VM, or "".
func (v VM) Worker() string { return v.worker }

// State returns the VM's state.
func (v VM) State() State { return v.state }

// Wave is the operators' request to maintain a number of VMs.
type Wave struct {
	number   int64
	vms      []string
	deadline clock.Mono
	maxDown  int
}

// NewWave returns a wave that should be complete by deadline. maxDown bounds the number
// of VMs that are down for it at the same time.
func NewWave(number int64, vms []string, deadline clock.Mono, maxDown int) Wave {
	return Wave{number: number, vms: vms, deadline: deadline, maxDown: max(1, maxDown)}
}

// Number returns the wave's number.
func (w Wave) Number() int64 { return w.number }

// Deadline returns the time by which the wave should be complete.
func (w Wave) Deadline() clock.Mono { return w.deadline }

// Record is the stored progress of a wave. The fields are exported for the JSON
// encoding.
type Record struct {
	Number int64 `json:"wave"`
	// DeadlineUnixMS is the wave's deadline in wall time.
	DeadlineUnixMS int64 `json:"due"`
	// Started are VMs that may have been ordered down and are not done; Done are those
	// whose maintenance is over.
	Started []string `json:"begun,omitempty"`
	Done    []string `json:"done,omitempty"`
	// Workers are the workers of the started VMs, by the VM's name, as the platform listed
	// them at the last order.
	Workers map[string]string `json:"workers,omitempty"`
	// Complete is set once no VM of the wave is left to maintain.
	Complete bool `json:"complete,omitempty"`
}

// addStarted adds a started VM and its worker, or "" if there is none.
func (r *Record) addStarted(vm, worker string) {
	r.Started = append(r.Started, vm)
	if worker == "" {
		return
	}
	if r.Workers == nil {
		r.Workers = make(map[string]string)
	}
	r.Workers[vm] = worker
}

// Key returns the record's key below prefix.
func (r Record) Key(prefix string) string { return prefix + strconv.FormatInt(r.Number, 10) }

// Encode returns the JSON form of the record.
func (r Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	return raw, rcode.Wrap(err, rcode.Internal, "upkeep.Encode")
}

// DecodeRecord decodes the JSON form of a record.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	return r, rcode.Wrap(err, rcode.Internal, "upkeep.DecodeRecord")
}

// Step is an action for a wave: a StoreRecord or a TakeDown.
type Step interface{ step() }

// StoreRecord stores a wave's record. The following steps must wait until it is stored.
type StoreRecord struct{ Record Record }

// TakeDown orders a VM down for a wave.
type TakeDown struct {
	Wave   int64
	VM     string
	Worker string
}

func (StoreRecord) step() {}
func (TakeDown) step()    {}
