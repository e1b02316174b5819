package owner

import (
	"encoding/json"
	"strconv"
	"time"

	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// Record is the stored record of a shard's owner and standby. Each write has a
// unique token, by which a VM recognises its own write after a lost reply.
type Record struct {
	shard, token         string
	owner, ownerAddr     string
	standby, standbyAddr string
	epoch                int64
	deadline             time.Time
}

// Shard returns the shard's name, <data centre>/<number>.
func (r Record) Shard() string { return r.shard }

// Epoch returns the number of the ownership, which grows with each new owner.
func (r Record) Epoch() int64 { return r.epoch }

// Token returns the unique token of the write.
func (r Record) Token() string { return r.token }

// Owner returns the owner's incarnation.
func (r Record) Owner() string { return r.owner }

// OwnerAddr returns the owner's address.
func (r Record) OwnerAddr() string { return r.ownerAddr }

// Standby returns the standby's incarnation, or "" if there is none.
func (r Record) Standby() string { return r.standby }

// StandbyAddr returns the standby's address.
func (r Record) StandbyAddr() string { return r.standbyAddr }

// Deadline returns the end of the owner's authority by its wall clock. It is
// information for operators only; no rule uses it.
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

// MarshalJSON encodes the record with the deadline in Unix milliseconds.
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordDoc{
		Shard: r.shard, Epoch: r.epoch, Token: r.token, Owner: r.owner, OwnerAddr: r.ownerAddr,
		Standby: r.standby, StandbyAddr: r.standbyAddr, Deadline: r.deadline.UnixMilli(),
	})
}

// UnmarshalJSON decodes the record.
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

// RecordKey returns the store key of the shard's record.
func RecordKey(dc string, shard int) string { return "shard/" + shardName(dc, shard) }

// EpochKey returns the store key that is written only when the shard's owner
// changes.
func EpochKey(dc string, shard int) string { return "epoch/" + shardName(dc, shard) }

func shardName(dc string, shard int) string { return dc + "/" + strconv.Itoa(shard) }

// ParseRecord decodes the record in a store value.
func ParseRecord(kv store.KV) (Record, error) {
	var r Record
	if err := json.Unmarshal(kv.Value(), &r); err != nil {
		return Record{}, rcode.Wrap(err, rcode.Internal, "owner.ParseRecord %s", kv.Key())
	}
	return r, nil
}
