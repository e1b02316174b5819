// Package amount implements vectors of resources: the capacity of workers, the
// requests of tasks and the limits of teams.
//
// # Usage
//
//	free := amount.New(32_000, 65_536, 0, 0)
//	if task.Fits(free) {
//		free = free.Sub(task)
//	}
//
// Arithmetic saturates, so that a huge declared size cannot overflow and pass a check
// against a limit.
package amount

import (
	"encoding/json"
	"fmt"
	"math"
)

// Vec is an amount of each resource. The zero value has none of any resource.
type Vec struct {
	cpu, mem, acc, req int64
}

// New returns an amount of processors in thousandths, memory in MiB, accelerators and
// concurrent requests.
func New(cpuMilli, memoryMiB, accelerators, requests int64) Vec {
	return Vec{cpu: cpuMilli, mem: memoryMiB, acc: accelerators, req: requests}
}

// CPUMilli returns processors in thousandths.
func (v Vec) CPUMilli() int64 { return v.cpu }

// MemoryMiB returns memory in MiB.
func (v Vec) MemoryMiB() int64 { return v.mem }

// Accelerators returns the number of accelerators.
func (v Vec) Accelerators() int64 { return v.acc }

// Requests returns the number of concurrent requests.
func (v Vec) Requests() int64 { return v.req }

// Add returns v + o. A component that overflows saturates.
func (v Vec) Add(o Vec) Vec {
	return Vec{saturatingAdd(v.cpu, o.cpu), saturatingAdd(v.mem, o.mem), saturatingAdd(v.acc, o.acc), saturatingAdd(v.req, o.req)}
}

// Sub returns v - o, whose components may be negative. A component that overflows
// saturates.
func (v Vec) Sub(o Vec) Vec {
	return Vec{saturatingSub(v.cpu, o.cpu), saturatingSub(v.mem, o.mem), saturatingSub(v.acc, o.acc), saturatingSub(v.req, o.req)}
}

func saturatingSub(a, b int64) int64 {
	if b == math.MinInt64 {
		return saturatingAdd(saturatingAdd(a, math.MaxInt64), 1)
	}
	return saturatingAdd(a, -b)
}

func saturatingAdd(a, b int64) int64 {
	s := a + b
	if a > 0 && b > 0 && s < 0 {
		return math.MaxInt64
	}
	if a < 0 && b < 0 && s >= 0 {
		return math.MinInt64
	}
	return s
}

// Fits reports whether no component of v exceeds that of free.
func (v Vec) Fits(free Vec) bool {
	return v.cpu <= free.cpu && v.mem <= free.mem && v.acc <= free.acc && v.req <= free.req
}

// Max returns the larger of each component.
func (v Vec) Max(o Vec) Vec {
	return Vec{max(v.cpu, o.cpu), max(v.mem, o.mem), max(v.acc, o.acc), max(v.req, o.req)}
}

// Min returns the smaller of each component.
func (v Vec) Min(o Vec) Vec {
	return Vec{min(v.cpu, o.cpu), min(v.mem, o.mem), min(v.acc, o.acc), min(v.req, o.req)}
}

// ClampToZero returns v with negative components set to 0.
func (v Vec) ClampToZero() Vec { return v.Max(Vec{}) }

// IsZero reports whether all components are 0.
func (v Vec) IsZero() bool { return v == Vec{} }

// HasNegative reports whether any component is negative.
func (v Vec) HasNegative() bool { return v.cpu < 0 || v.mem < 0 || v.acc < 0 || v.req < 0 }

// String returns the amount in a readable form with units.
func (v Vec) String() string {
	return fmt.Sprintf("cpu=%dm memory=%dMiB accelerators=%d requests=%d", v.cpu, v.mem, v.acc, v.req)
}

// jsonVec is the JSON form of a Vec.
type jsonVec struct {
	CPUMilli     int64 `json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `json:"memory_mib,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
	Requests     int64 `json:"requests,omitempty"`
}

// MarshalJSON encodes the components that are not 0.
func (v Vec) MarshalJSON() ([]byte, error) { return json.Marshal(jsonVec{v.cpu, v.mem, v.acc, v.req}) }

// UnmarshalJSON decodes the components. Missing components are 0.
func (v *Vec) UnmarshalJSON(b []byte) error {
	var d jsonVec
	if err := json.Unmarshal(b, &d); err != nil {
		return err
	}
	*v = Vec{d.CPUMilli, d.MemoryMiB, d.Accelerators, d.Requests}
	return nil
}
