package owner

import (
	"encoding/json"
	"strconv"
	"time"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// Record says who owns a shard. Each write has another token, which tells a
// reader whose write it was after a lost reply.
type Record struct {
	shard, token         string
	owner, ownerAddr     string
	standby, standbyAddr string
	epoch                int64
	deadline             time.Time
}

// Shard returns the shard's name, <data centre>/<number>.
func (r Record) Shard() string { return r.shard }

// Epoch returns the number of the present ownership.
func (r Record) Epoch() int64 { return r.epoch }

// Token returns the mark of this write.
func (r Record) Token() string { return r.token }

// Owner returns the owner's incarnation.
func (r Record) Owner() string { return r.owner }

// OwnerAddr returns the owner's address.
func (r Record) OwnerAddr() string { return r.ownerAddr }

// Standby returns the standby's incarnation; empty when there is none.
func (r Record) Standby() string { return r.standby }

// StandbyAddr returns the standby's address.
func (r Record) StandbyAddr() string { return r.standbyAddr }

// Deadline returns the end of the owner's authority for operators to read; it
// decides nothing.
func (r Record) Deadline() time.Time { return r.deadline }

type recordDoc struct {
	Shard       string `json:"shard"`
	Epoch       int64  `json:"epoch"`
	Token       string `json:"token"`
	Owner       string `json:"owner"`
	OwnerAddr   string `json:"owner_addr"`
	Standby     string `json:"standby"`
	StandbyAddr string `json:"standby_addr"`
	Deadline    int64  `json:"deadline"`
}

// MarshalJSON writes the record; the deadline is in Unix milliseconds.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordDoc{
		Shard: r.shard, Epoch: r.epoch, Token: r.token, Owner: r.owner, OwnerAddr: r.ownerAddr,
		Standby: r.standby, StandbyAddr: r.standbyAddr, Deadline: r.deadline.UnixMilli(),
	})
}

// UnmarshalJSON reads the record.
func (r *Record) UnmarshalJSON(b []byte) error {
	var d recordDoc
	if err := json.Unmarshal(b, &d); err != nil {
		return rcode.Wrap(err, rcode.Internal, "owner.Record")
	}
	*r = Record{
		shard: d.Shard, epoch: d.Epoch, token: d.Token, owner: d.Owner, ownerAddr: d.OwnerAddr,
		standby: d.Standby, standbyAddr: d.StandbyAddr, deadline: time.UnixMilli(d.Deadline),
	}
	return nil
}

// RecordKey returns the store key of a shard's record.
func RecordKey(dc string, shard int) string { return "shard/" + name(dc, shard) }

// EpochKey returns the store key that changes only with the shard's owner.
func EpochKey(dc string, shard int) string { return "epoch/" + name(dc, shard) }

func name(dc string, shard int) string { return dc + "/" + strconv.Itoa(shard) }

// ParseRecord reads the record of a store value.
func ParseRecord(kv store.KV) (Record, error) {
	var r Record
	if err := json.Unmarshal(kv.Value(), &r); err != nil {
		return Record{}, rcode.Wrap(err, rcode.Internal, "owner.ParseRecord %s", kv.Key())
	}
	return r, nil
}
