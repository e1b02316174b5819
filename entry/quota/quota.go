// Package quota enforces the upper limits of teams across the shards of a cell. It
// has the ledger of one shard, the record of a team's allotments in the store, and
// the loop that moves allotments between shards.
//
// # Usage
//
//	led := quota.NewLedger()
//	reb, err := quota.New(cfg, quota.Deps{Ledger: led, Store: st, Clock: clk, Log: log, Peers: peers, Fence: fence, Rand: rng})
//	supervisor.Add(reb)
//	reb.SetLimit("checkout", limit, bundleVersion)
//	// Recovery adds what already runs:
//	led.Adopt("checkout", amount)
//	reb.MarkRecovered()
//	// Before each start:
//	if !led.Reserve("checkout", amount) { reb.RaiseDemand("checkout", amount) }
//	led.Start("checkout", amount)
//	led.Stop("checkout", amount)
//
// # Invariants
//
// The sum of all allotments never exceeds the limit, and a shard starts work only
// within its own allotment. A lowered limit scales the allotments down. What was
// taken from an allotment stays in the record as pending until the shard's owner
// confirms that it does not run any more, so that nobody else gets it before that.
// While allotments and pending amounts together exceed the limit, the team starts
// nothing.
//
// Every write of a shard compares the shard's epoch key, so that a former owner
// cannot lower the allotment that its successor has adopted. Without an epoch key, as
// in an acting standby, no allotment is known and a team with a limit starts nothing:
// an older copy of the record may have a higher allotment than the current one.
package quota

import (
	"encoding/json"
	"math/bits"
	"sort"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
)

// Prefix is the store prefix of all team records.
const Prefix = "quota/"

// Key returns the store key of a team's record.
func Key(team string) string { return Prefix + team }

// TeamRecord is the stored record of a team: its limit, the allotments of the shards,
// and the pending amounts. It is immutable; methods that change it return a copy.
type TeamRecord struct {
	limit      amount.Vec
	version    int64
	allotments map[string]amount.Vec
	pending    map[string]amount.Vec
}

// NewTeamRecord returns a record whose whole limit is unallocated. The version is that
// of the bundle.
func NewTeamRecord(limit amount.Vec, version int64) TeamRecord {
	return TeamRecord{limit: limit, version: version}
}

// teamDoc is the JSON encoding of a TeamRecord.
type teamDoc struct {
	Limit      amount.Vec            `json:"limit"`
	Version    int64                 `json:"version"`
	Allotments map[string]amount.Vec `json:"parts"`
	Pending    map[string]amount.Vec `json:"pending,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (t TeamRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal(teamDoc{Limit: t.limit, Version: t.version, Allotments: t.allotments, Pending: t.pending})
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *TeamRecord) UnmarshalJSON(b []byte) error {
	var d teamDoc
	if err := json.Unmarshal(b, &d); err != nil {
		return rcode.Wrap(err, rcode.Internal, "quota.TeamRecord")
	}
	*t = TeamRecord{limit: d.Limit, version: d.Version, allotments: d.Allotments, pending: d.Pending}
	return nil
}

// Limit returns the upper limit.
func (t TeamRecord) Limit() amount.Vec { return t.limit }

// Version returns the bundle version that set the limit.
func (t TeamRecord) Version() int64 { return t.version }

// Allotment returns the allotment of a shard.
func (t TeamRecord) Allotment(shard string) amount.Vec { return t.allotments[shard] }

// Pending returns the amount that may still be running on a shard beyond its allotment
// after the limit was lowered.
func (t TeamRecord) Pending(shard string) amount.Vec { return t.pending[shard] }

// Shards returns the sorted names of the shards that have an allotment.
func (t TeamRecord) Shards() []string {
	out := make([]string, 0, len(t.allotments))
	for s := range t.allotments {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

func sum(m map[string]amount.Vec) amount.Vec {
	var s amount.Vec
	for _, v := range m {
		s = s.Add(v)
	}
	return s
}

// Allocated returns the sum of all allotments and pending amounts.
func (t TeamRecord) Allocated() amount.Vec { return sum(t.allotments).Add(sum(t.pending)) }

// Unallocated returns the part of the limit that is neither allotted nor pending.
func (t TeamRecord) Unallocated() amount.Vec { return t.limit.Sub(t.Allocated()).ClampToZero() }

// Blocked reports whether more than the limit may still be running, so that the team
// must not start anything.
func (t TeamRecord) Blocked() bool { return !t.Allocated().Fits(t.limit) }

func (t TeamRecord) clone() TeamRecord {
	c := t
	c.allotments, c.pending = copyOf(t.allotments), copyOf(t.pending)
	return c
}

func copyOf(m map[string]amount.Vec) map[string]amount.Vec {
	c := make(map[string]amount.Vec, len(m)+1)
	for k, v := range m {
		c[k] = v
	}
	return c
}

// set sets the amount of a shard, or deletes its entry if the amount is zero.
func set(m map[string]amount.Vec, shard string, v amount.Vec) {
	if v.IsZero() {
		delete(m, shard)
		return
	}
	m[shard] = v
}

// Allocate adds up to want of the unallocated amount to a shard's allotment, and
// returns the amount added.
func (t TeamRecord) Allocate(shard string, want amount.Vec) (TeamRecord, amount.Vec) {
	got := want.ClampToZero().Min(t.Unallocated())
	c := t.clone()
	set(c.allotments, shard, t.allotments[shard].Add(got))
	return c, got
}

// Transfer moves v from one shard's allotment to another's. It returns false if the
// donor has less.
func (t TeamRecord) Transfer(from, to string, v amount.Vec) (TeamRecord, bool) {
	if v.HasNegative() || !v.Fits(t.allotments[from]) {
		return t, false
	}
	c := t.clone()
	set(c.allotments, from, c.allotments[from].Sub(v))
	set(c.allotments, to, c.allotments[to].Add(v))
	return c, true
}

// Return subtracts v from a shard's allotment, so that it is unallocated. It returns
// false if the shard has less.
func (t TeamRecord) Return(shard string, v amount.Vec) (TeamRecord, bool) {
	if v.HasNegative() || !v.Fits(t.allotments[shard]) {
		return t, false
	}
	c := t.clone()
	set(c.allotments, shard, c.allotments[shard].Sub(v))
	return c, true
}

// WithLimit applies the limit of a newer bundle. If the allotments exceed it, they are
// scaled down and the differences become pending.
func (t TeamRecord) WithLimit(limit amount.Vec, version int64) TeamRecord {
	if version <= t.version {
		return t
	}
	c := t.clone()
	c.limit, c.version = limit, version
	total := sum(t.allotments)
	for shard, allotment := range t.allotments {
		kept := scale(allotment, limit, total)
		set(c.allotments, shard, kept)
		set(c.pending, shard, c.pending[shard].Add(allotment.Sub(kept)))
	}
	return c
}

// ReleasePending reduces a shard's pending amount to the usage beyond its allotment,
// because the rest does not run any more.
func (t TeamRecord) ReleasePending(shard string, used amount.Vec) TeamRecord {
	excess := used.Sub(t.allotments[shard]).ClampToZero()
	c := t.clone()
	set(c.pending, shard, t.pending[shard].Min(excess))
	return c
}

// scale returns allotment x limit / total for each resource whose total exceeds the
// limit, rounded down so that the sum stays within it.
func scale(allotment, limit, total amount.Vec) amount.Vec {
	limit = limit.ClampToZero()
	return amount.New(
		scaleOne(allotment.CPUMilli(), limit.CPUMilli(), total.CPUMilli()),
		scaleOne(allotment.MemoryMiB(), limit.MemoryMiB(), total.MemoryMiB()),
		scaleOne(allotment.Accelerators(), limit.Accelerators(), total.Accelerators()),
		scaleOne(allotment.Requests(), limit.Requests(), total.Requests()),
	)
}

func scaleOne(allotment, limit, total int64) int64 {
	if total <= limit || allotment <= 0 {
		return allotment
	}
	// total > limit >= 0, so the quotient is at most allotment and does not overflow.
	hi, lo := bits.Mul64(uint64(allotment), uint64(limit))
	q, _ := bits.Div64(hi, lo, uint64(total))
	return int64(q)
}
