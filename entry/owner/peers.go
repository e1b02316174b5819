package owner

import (
	"context"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// PromiseRequest is an owner's request that the standby neither act before the
// promise expires nor consent to a takeover before it is released. Sequence numbers
// let the standby recognise requests that arrive late.
type PromiseRequest struct {
	Record   Record `json:"record"`
	Revision int64  `json:"revision"`
	Seq      int64  `json:"seq"`
}

// PromiseReply is the standby's reply.
type PromiseReply struct {
	Granted bool `json:"granted"`
	// Acting is set when the standby has acted in this epoch, so that the owner
	// must yield.
	Acting bool `json:"acting"`
	// Incarnation identifies the process that replied.
	Incarnation string `json:"incarnation"`
}

// ReleaseRequest is an owner's request to end standby mode. With Yield it is sent
// in the other direction: the acting standby asks the owner to give up the epoch
// permanently.
type ReleaseRequest struct {
	Record   Record `json:"record"`
	Revision int64  `json:"revision"`
	Seq      int64  `json:"seq"`
	Yield    bool   `json:"yield"`
}

// ReleaseReply is the reply to a release or to a request to yield.
type ReleaseReply struct {
	Released    bool   `json:"released"`
	Acting      bool   `json:"acting"`
	Incarnation string `json:"incarnation"`
}

// ConsentRequest asks the standby to consent to the sender's takeover of this
// revision of the record.
type ConsentRequest struct {
	Record   Record `json:"record"`
	Revision int64  `json:"revision"`
}

// ConsentReply is the standby's reply.
type ConsentReply struct {
	Granted     bool   `json:"granted"`
	Incarnation string `json:"incarnation"`
}

// Peers sends requests to other entry VMs. An error whose code is NotRun (for
// example rcode.PeerUnreachable) means that the request was certainly not
// delivered; with any other error it may have been.
type Peers interface {
	Promise(ctx context.Context, addr string, shard string, req PromiseRequest) (PromiseReply, error)
	Release(ctx context.Context, addr string, shard string, req ReleaseRequest) (ReleaseReply, error)
	Consent(ctx context.Context, addr string, shard string, req ConsentRequest) (ConsentReply, error)
}

// Candidate is a live VM that can be the owner or the standby of a shard.
type Candidate struct {
	incarnation, addr string
	leaving, remote   bool
}

// NewCandidate returns a candidate. remote is set when it is in another data
// centre than the shard.
func NewCandidate(incarnation, addr string, leaving, remote bool) Candidate {
	return Candidate{incarnation: incarnation, addr: addr, leaving: leaving, remote: remote}
}

// Incarnation identifies a process of the VM: the VM's name and a number unique
// to the process.
func (c Candidate) Incarnation() string { return c.incarnation }

// Addr returns the VM's address for calls with Peers.
func (c Candidate) Addr() string { return c.addr }

// Leaving reports whether the VM is shutting down.
func (c Candidate) Leaving() bool { return c.leaving }

// Remote reports whether the VM is in another data centre than the shard.
func (c Candidate) Remote() bool { return c.remote }

// Membership reports which VMs are live and which have ended.
type Membership interface {
	// Gone reports whether this incarnation has ended and will not run again.
	// It may report the end late but never reports a running process as ended.
	Gone(incarnation string) bool
	// Candidates returns the live VMs, including this one, in the shard's order of
	// preference, with those of other data centres last.
	Candidates() []Candidate
}

// PreferenceOrder returns the VM names in a new slice, ordered for a shard by
// rendezvous hash with the most preferred first.
func PreferenceOrder(dc string, shard int, vms []string) []string {
	out := append([]string(nil), vms...)
	key := shardName(dc, shard)
	sort.Slice(out, func(i, j int) bool {
		a, b := Weight(key, out[i]), Weight(key, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out
}

// Weight returns the rendezvous weight of a VM for a shard's name.
func Weight(shard, vm string) uint64 { return xxhash.Sum64String(shard + "\x00" + vm) }
