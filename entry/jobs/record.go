// Package jobs stores the records of accepted jobs in the platform's store. It
// batches changes into groups to limit the number of writes.
//
// # Usage
//
//	j := jobs.New(cfg, st, clk, log, fence)
//	records, err := j.Load(ctx)         // at takeover
//	go j.Serve(ctx)                     // writes groups
//	err = j.Accept(ctx, record)         // returns nil only once the record is stored
//	j.Update(record)                    // stored with the next group
//	err = j.WaitStored(ctx, record.ID)  // returns once that update is stored
//
// Records are distributed over buckets, each stored under one key. A group is one
// transaction that writes the changed buckets. It is conditional on their
// revisions and on the epoch key of the shard, so that a late write of a former
// owner has no effect.
package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/bits"
	"strconv"
	"strings"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// State is the state of a job.
type State string

// States of a job. StateUnknown is a job whose outcome can't be determined: it
// may have run, and it must not be repeated.
const (
	StateWaiting   State = "waiting"
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
	StateUnknown   State = "unknown"
)

// Final reports whether s is a terminal state.
func (s State) Final() bool {
	switch s {
	case StateDone, StateFailed, StateCancelled, StateUnknown:
		return true
	case StateWaiting, StateRunning:
	}
	return false
}

// Limits of a submission. MaxPayload is in bytes.
const (
	MaxMembers = 4096
	MaxPayload = 4 << 10
	maxRunMS   = 365 * 24 * 3_600_000
)

// Spec is a job as a caller submits it, in JSON.
type Spec struct {
	Queue      string          `json:"queue"`
	Kind       string          `json:"kind,omitempty"`
	Members    int             `json:"members,omitempty"`
	Size       amount.Vec      `json:"size"`
	RunMS      int64           `json:"run_ms,omitempty"`
	DeadlineMS int64           `json:"deadline_unix_ms,omitempty"`
	Repeatable bool            `json:"repeatable,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Defaults replaces omitted fields with their default values.
func (s *Spec) Defaults() {
	if s.Members == 0 {
		s.Members = 1
	}
	if s.Kind == "" {
		s.Kind = s.Queue
	}
	if s.RunMS == 0 {
		s.RunMS = 60_000
	}
}

// Check validates a submission. It returns all violations in one error.
func (s *Spec) Check() error {
	var faults []string
	if s.Members < 1 || s.Members > MaxMembers {
		faults = append(faults, "members must be within 1 to "+strconv.Itoa(MaxMembers))
	}
	if s.Size.HasNegative() || s.Size.Requests() != 0 || s.Size.CPUMilli() == 0 {
		faults = append(faults, "size must name cpu_milli and no negative amount")
	}
	if s.RunMS < 0 || s.RunMS > maxRunMS {
		faults = append(faults, "run_ms is out of range")
	}
	if len(s.Payload) > MaxPayload {
		faults = append(faults, "payload is larger than "+strconv.Itoa(MaxPayload)+" bytes")
	}
	if len(s.Kind) > 63 {
		faults = append(faults, "kind is longer than 63 characters")
	}
	if len(faults) > 0 {
		return rcode.New(rcode.BadRequest, "jobs.Spec: %s", strings.Join(faults, "; "))
	}
	return nil
}

// Record is an accepted job as it is stored.
type Record struct {
	ID        string       `json:"id"`
	Team      string       `json:"team"`
	Key       string       `json:"key,omitempty"`
	Class     policy.Class `json:"class"`
	Spec      Spec         `json:"spec"`
	Hash      string       `json:"hash"`
	CreatedMS int64        `json:"created_unix_ms"`
	EndedMS   int64        `json:"ended_unix_ms,omitempty"`
	// Attempted is set and stored before the first task of a job that may not be
	// repeated is started.
	Attempted bool `json:"attempted,omitempty"`
	// Delegated is the shard that may run tasks of the job. It is stored before
	// the job is offered to that shard.
	Delegated string     `json:"delegated,omitempty"`
	State     State      `json:"state"`
	Code      rcode.Code `json:"code,omitempty"`
	Reason    string     `json:"reason,omitempty"`
	// Finished is a bitmap of the members that completed successfully.
	Finished []byte `json:"finished,omitempty"`
}

// MarkFinished records that a member completed successfully. It reports whether
// the record changed.
func (r *Record) MarkFinished(member int) bool {
	if len(r.Finished) == 0 {
		r.Finished = make([]byte, (r.Spec.Members+7)/8)
	}
	if member/8 >= len(r.Finished) || r.Finished[member/8]&(1<<(member%8)) != 0 {
		return false
	}
	r.Finished[member/8] |= 1 << (member % 8)
	return true
}

// IsFinished reports whether a member completed successfully.
func (r *Record) IsFinished(member int) bool {
	return member/8 < len(r.Finished) && r.Finished[member/8]&(1<<(member%8)) != 0
}

// Remaining returns the number of members that have not completed successfully.
func (r *Record) Remaining() int {
	n := r.Spec.Members
	for _, b := range r.Finished {
		n -= bits.OnesCount8(b)
	}
	return n
}

// Clone returns a copy that is independent of later changes of r. The payload is
// shared.
func (r *Record) Clone() *Record {
	c := *r
	c.Finished = append([]byte(nil), r.Finished...)
	return &c
}

// AnyTeam is the team name with which an operator reads the jobs of all teams.
const AnyTeam = "*"

// HashCallerID returns the job id for an id that the caller chose. The hash
// includes the team, so that two teams can use the same id, and gives all ids
// the same format.
func HashCallerID(team, id string) string {
	sum := sha256.Sum256([]byte(team + "/" + id))
	return "c" + hex.EncodeToString(sum[:15])
}
