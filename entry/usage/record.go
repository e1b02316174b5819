package usage

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"limpethitch.example/core/rcode"
)

const (
	// recordVersion is the version of the records that this build writes and reads.
	recordVersion = 1
	// MaxRecordBytes is the size of the largest record that is written or read.
	MaxRecordBytes = 64 << 10
	// shareScale is the number of steps of a stored share between 0 and 1: shares are rounded, so
	// that use too small to matter does not change a record.
	shareScale = 1e6
	// recordOverhead is the size of a record without accounts, accountOverhead the size of an
	// account without its name, both in bytes and at most.
	recordOverhead, accountOverhead = 96, 32
	// maxNameGrowth is how many times longer a name may be when it is encoded: JSON writes some
	// characters of one byte as six.
	maxNameGrowth = 6
)

// Record is the stored use of all accounts.
type Record struct {
	shares map[string]float64
}

// Len returns the number of accounts.
func (r Record) Len() int { return len(r.shares) }

type jsonRecord struct {
	Version  int                `json:"version"`
	Epoch    int64              `json:"epoch"`
	Accounts map[string]float64 `json:"accounts"`
}

// Encode returns the record of an owner's term as of the last refresh. If it would be larger
// than MaxRecordBytes, the accounts with the least use are left out.
func (t *Tracker) Encode(epoch int64) []byte {
	list := t.Accounts()
	slices.SortFunc(list, func(a, b Account) int { return cmp.Or(cmp.Compare(b.Share, a.Share), cmp.Compare(a.Name, b.Name)) })
	rec := jsonRecord{Version: recordVersion, Epoch: epoch, Accounts: make(map[string]float64)}
	size := recordOverhead
	for _, a := range list {
		size += maxNameGrowth*len(a.Name) + accountOverhead
		share := math.Round(a.Share*shareScale) / shareScale
		if share == 0 || size > MaxRecordBytes {
			break
		}
		rec.Accounts[a.Name] = share
	}
	raw, err := json.Marshal(rec)
	if err != nil { // no value of a record can fail to be encoded
		return nil
	}
	return raw
}

// Decode reads a record that an owner before the given epoch wrote. It fails with
// rcode.BadRequest if the record is damaged, too large, that of a later epoch or that of a
// newer build.
func Decode(raw []byte, epoch int64) (Record, error) {
	if len(raw) > MaxRecordBytes {
		return Record{}, rcode.New(rcode.BadRequest, "usage.Decode: %d bytes, more than %d", len(raw), MaxRecordBytes)
	}
	var rec jsonRecord
	if err := json.Unmarshal(raw, &rec); err != nil {
		return Record{}, rcode.Wrap(err, rcode.BadRequest, "usage.Decode")
	}
	if rec.Version != recordVersion {
		return Record{}, rcode.New(rcode.BadRequest, "usage.Decode: version %d is not %d", rec.Version, recordVersion)
	}
	if rec.Epoch > epoch {
		return Record{}, rcode.New(rcode.BadRequest, "usage.Decode: written in epoch %d, which is after %d", rec.Epoch, epoch)
	}
	for name, share := range rec.Accounts {
		if !(share >= 0 && share <= 1) {
			return Record{}, rcode.New(rcode.BadRequest, "usage.Decode: the use %g of account %q is not between 0 and 1", share, name)
		}
	}
	return Record{shares: rec.Accounts}, nil
}

// Restore adds the use of a former owner, which ended before the first refresh, to what was
// recorded since.
func (t *Tracker) Restore(r Record) {
	factor := t.decay(t.updatedAt.Sub(t.startedAt))
	for name, share := range r.shares {
		a := t.account(name)
		a.Share = min(1, a.Share+share*factor)
	}
}
