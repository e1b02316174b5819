package quota

import (
	"context"
	"encoding/json"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

const (
	// IdlePeriod is the minimum time for which a part of an allotment must be unused
	// before it is returned or transferred.
	IdlePeriod = 5 * time.Second
	// DemandTTL is how long a demand is pursued after it was last raised.
	DemandTTL = 5 * time.Second
	// CallTimeout is the timeout of a call to the store or to a peer.
	CallTimeout = time.Second
	// RetryInterval is the minimum delay after a failed attempt for a team. Up to the
	// same time is added as jitter.
	RetryInterval = 500 * time.Millisecond
	// ConflictJitter is the maximum random delay after another shard has changed the
	// record first. At a cold start all shards allocate from the same records; with a
	// delay of RetryInterval the last of 8 shards had to wait for 6 s.
	ConflictJitter = 200 * time.Millisecond
	// maxGroupSize is the maximum number of teams in one transaction. A single record
	// that has changed in the meantime makes the whole transaction fail.
	maxGroupSize = 16
	tickInterval = 100 * time.Millisecond
)

// Config holds the settings of a Rebalancer.
type Config struct {
	// Shard is the shard's name, <data centre>/<number>.
	Shard string
	// EpochKey is the store key that changes with the shard's owner, see
	// owner.EpochKey.
	EpochKey string
	// CallInterval is the minimum average interval of store calls, and Burst the
	// number of calls that may follow each other without delay. The defaults are
	// 500 ms and 16.
	CallInterval time.Duration
	Burst        int
	// Shards is the number of shards in the cell. Each shard keeps half of an even
	// share of each limit while it is idle, so that the first requests after a pause
	// do not wait for a transfer. With 0 it keeps nothing.
	Shards int
}

// Defaults sets CallInterval and Burst to their defaults if they are zero.
func (c *Config) Defaults() {
	if c.CallInterval == 0 {
		c.CallInterval = 500 * time.Millisecond
	}
	if c.Burst == 0 {
		c.Burst = 16
	}
}

// Check returns an error if a setting is missing or negative.
func (c Config) Check() error {
	if c.Shard == "" || c.EpochKey == "" || c.CallInterval < 0 || c.Burst < 0 {
		return rcode.New(rcode.SettingInvalid, "quota.Config: shard and epoch key are required, call interval and burst must not be negative")
	}
	return nil
}

// Peers requests idle allotment from the owners of other shards.
type Peers interface {
	// Yield asks the owner of a shard for up to want. It returns nil if the owner
	// transferred some of it; the team's record shows how much.
	Yield(ctx context.Context, shard, team string, want amount.Vec) error
}

// Deps are the dependencies of a Rebalancer. Fence returns the revision of the epoch
// key under which this VM owns the shard, or 0 while it is not the recorded owner. Rand
// must not be shared with other goroutines.
type Deps struct {
	Ledger *Ledger
	Store  store.Store
	Clock  clock.Clock
	Log    *zap.Logger
	Peers  Peers
	Fence  func() int64
	Rand   *rand.Rand
}

// teamState is the state of one team in a Rebalancer: its limit, its record, the
// shard's demand and the calls for it.
type teamState struct {
	// limit is the latest limit, and version the version of its bundle.
	limit    amount.Vec
	version  int64
	hasLimit bool

	// record is the record at revision, which is 0 while none has been found. known is
	// set once the record has been read, even if there was none.
	record   TeamRecord
	revision int64
	known    bool

	demand      amount.Vec
	demandUntil clock.Mono
	// nextDonor counts the transfer requests, to choose the next donor in turn.
	nextDonor int

	// inFlight is set during a call for this team.
	inFlight bool
	// mustRead is set if the record may have changed, or a write may still take
	// effect.
	mustRead bool
	// unsettled is set if a write that compared revision may still take effect.
	unsettled bool
	// lowered is set while the ledger's allotment is below the recorded one, which
	// lasts until a later revision.
	lowered       bool
	nextAttemptAt clock.Mono
}

// Rebalancer moves allotments to and from one shard while this VM owns it. Its methods
// are safe for concurrent use.
type Rebalancer struct {
	cfg  Config
	deps Deps
	log  *zap.Logger

	calls     atomic.Int64
	recovered atomic.Bool

	mu    sync.Mutex
	teams map[string]*teamState
	// spentUntil is the time at which the budget of store calls is full again.
	spentUntil clock.Mono
	// rotateAt is the end of the current period for idle allotments.
	rotateAt clock.Mono
	// listed is set once all records have been read together.
	listed     bool
	nextListAt clock.Mono
}

// New returns a Rebalancer, which writes nothing before Serve runs.
func New(cfg Config, deps Deps) (*Rebalancer, error) {
	cfg.Defaults()
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	r := &Rebalancer{cfg: cfg, deps: deps, teams: map[string]*teamState{}}
	r.log = deps.Log.With(zap.String("shard", cfg.Shard))
	r.rotateAt = deps.Clock.Now().Add(IdlePeriod)
	return r, nil
}

// Serve rebalances until ctx ends.
func (r *Rebalancer) Serve(ctx context.Context) error {
	for {
		r.runOnce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.deps.Clock.After(tickInterval):
		}
	}
}

// StoreCalls returns the number of store calls made.
func (r *Rebalancer) StoreCalls() int64 { return r.calls.Load() }

// MarkRecovered reports that the ledger includes everything that runs on the shard.
// Before that no allotment is returned or transferred, since it is not known what is
// idle.
func (r *Rebalancer) MarkRecovered() { r.recovered.Store(true) }

// teamState returns the state of a team, which it creates if needed; mu is held.
func (r *Rebalancer) teamState(team string) *teamState {
	st := r.teams[team]
	if st == nil {
		st = &teamState{}
		r.teams[team] = st
	}
	return st
}

// SetLimit sets a team's limit as of a bundle version. Older versions are ignored.
func (r *Rebalancer) SetLimit(team string, limit amount.Vec, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.teamState(team)
	if st.hasLimit && version <= st.version {
		return
	}
	st.limit, st.version, st.hasLimit = limit, version, true
	// All shards see a new bundle at the same time, and the first write serves them
	// all; the jitter avoids conflicts.
	st.nextAttemptAt = r.deps.Clock.Now().Add(r.jitter(RetryInterval))
}

// RaiseDemand raises a team's demand to at least v for the next DemandTTL. The demand
// is the amount that should be available on the shard for starts.
func (r *Rebalancer) RaiseDemand(team string, v amount.Vec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.teamState(team)
	now := r.deps.Clock.Now()
	if now >= st.demandUntil {
		st.demand = amount.Vec{}
	}
	st.demand, st.demandUntil = st.demand.Max(v), now.Add(DemandTTL)
}

// Observe applies a team's record from the watch of all records. It is ignored until
// the record has been read: a watch may not show yet that the former owner lowered
// the allotment, while a read under this owner's epoch does.
func (r *Rebalancer) Observe(team string, kv store.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.teamState(team).known {
		r.applyRecord(team, kv)
	}
}

// applyRecord applies a record with a later revision, which settles every write that
// compared an earlier one; mu is held.
func (r *Rebalancer) applyRecord(team string, kv store.KV) {
	st := r.teamState(team)
	if kv.ModRevision() <= st.revision {
		return
	}
	var t TeamRecord
	if err := json.Unmarshal(kv.Value(), &t); err != nil {
		r.log.Error("failed to decode team record", append(logs.Err(err), zap.String("team", team))...)
		return
	}
	r.setRecord(team, t, kv.ModRevision())
}

// setRecord sets a team's record and the allotment in the ledger if the revision is
// later; mu is held.
func (r *Rebalancer) setRecord(team string, t TeamRecord, revision int64) {
	st := r.teamState(team)
	if revision <= st.revision {
		return
	}
	st.record, st.revision, st.known = t, revision, true
	st.mustRead, st.unsettled, st.lowered = false, false, false
	r.deps.Ledger.SetAllotment(team, t.Allotment(r.cfg.Shard), t.Blocked())
}

// jitter returns a random duration up to d; mu is held.
func (r *Rebalancer) jitter(d time.Duration) time.Duration {
	return time.Duration(r.deps.Rand.Int63n(int64(d) + 1))
}

// delayRetry sets the time of a team's next attempt after a failed one; mu is held.
func (r *Rebalancer) delayRetry(st *teamState) {
	st.nextAttemptAt = r.deps.Clock.Now().Add(RetryInterval + r.jitter(RetryInterval))
}

// canSpend reports whether the budget allows a store call; mu is held.
func (r *Rebalancer) canSpend() bool {
	return r.spentUntil.Sub(r.deps.Clock.Now()) < time.Duration(r.cfg.Burst)*r.cfg.CallInterval
}

// spend takes one store call from the budget, or returns false if the budget is used
// up; mu is held.
func (r *Rebalancer) spend() bool {
	if !r.canSpend() {
		return false
	}
	r.spentUntil = max(r.spentUntil, r.deps.Clock.Now()).Add(r.cfg.CallInterval)
	r.calls.Add(1)
	return true
}

// recordChange is the write of one team's record in a transaction, planned from the
// record at baseRevision.
type recordChange struct {
	team         string
	baseRevision int64
	next         TeamRecord
}

// runOnce reads and writes the records of all teams for which that is due, and requests
// transfers for demand that the records cannot cover.
func (r *Rebalancer) runOnce(ctx context.Context) {
	if r.deps.Fence() == 0 {
		return
	}
	r.mu.Lock()
	returnIdle := r.recovered.Load() && r.deps.Clock.Now() >= r.rotateAt
	names := make([]string, 0, len(r.teams))
	for t := range r.teams {
		names = append(names, t)
	}
	r.mu.Unlock()
	sort.Strings(names)
	if !r.listRecords(ctx) {
		return
	}
	var group []recordChange
	for _, team := range names {
		if ctx.Err() != nil {
			break
		}
		if !r.refreshRecord(ctx, team) {
			continue
		}
		c, ok := r.planChange(team, returnIdle)
		if !ok {
			r.requestTransfer(ctx, team)
			continue
		}
		group = append(group, c)
		if len(group) == maxGroupSize {
			r.commit(ctx, group)
			group = nil
		}
	}
	if len(group) > 0 {
		r.commit(ctx, group)
	}
	if returnIdle {
		r.deps.Ledger.Rotate()
		r.mu.Lock()
		r.rotateAt = r.deps.Clock.Now().Add(IdlePeriod)
		r.mu.Unlock()
	}
}

// listRecords reads all records once, because reading each team's record at a takeover
// would use up the budget. It reports whether they have been read.
func (r *Rebalancer) listRecords(ctx context.Context) bool {
	r.mu.Lock()
	if r.listed || r.deps.Clock.Now() < r.nextListAt || !r.spend() {
		defer r.mu.Unlock()
		return r.listed
	}
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	kvs, _, err := r.deps.Store.List(cctx, Prefix)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.nextListAt = r.deps.Clock.Now().Add(RetryInterval + r.jitter(RetryInterval))
		r.log.Warn("failed to read team records", logs.Err(err)...)
		return false
	}
	r.listed = true
	for _, kv := range kvs {
		r.applyRecord(strings.TrimPrefix(kv.Key(), Prefix), kv)
	}
	return true
}

// refreshRecord reads a team's record if it is not known or may have changed. It
// reports whether a change of the record can be planned.
func (r *Rebalancer) refreshRecord(ctx context.Context, team string) bool {
	r.mu.Lock()
	st := r.teamState(team)
	if st.inFlight || !st.hasLimit || r.deps.Clock.Now() < st.nextAttemptAt {
		r.mu.Unlock()
		return false
	}
	if st.known && !st.mustRead {
		r.mu.Unlock()
		return true
	}
	if !r.spend() {
		r.mu.Unlock()
		return false
	}
	st.inFlight = true
	r.mu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	kv, err := r.deps.Store.Get(cctx, Key(team))
	r.mu.Lock()
	defer r.mu.Unlock()
	st.inFlight = false
	switch {
	case rcode.Is(err, rcode.NotFound):
		st.known, st.mustRead = true, false
	case err != nil:
		r.delayRetry(st)
		r.log.Warn("failed to read team record", append(logs.Err(err), zap.String("team", team))...)
		return false
	case kv.ModRevision() >= st.revision:
		r.applyRecord(team, kv)
		st.mustRead = false
	}
	return !st.mustRead
}

// planChange computes the next record of a team and marks a call for the team as in
// flight. It returns false if there is nothing to write or the budget is used up.
func (r *Rebalancer) planChange(team string, returnIdle bool) (recordChange, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.teamState(team)
	if !r.canSpend() {
		return recordChange{}, false
	}
	next := st.record
	if st.revision == 0 {
		next = NewTeamRecord(st.limit, st.version)
	}
	if st.version > next.version {
		next = next.WithLimit(st.limit, st.version)
	}
	if r.recovered.Load() && next.version == st.record.version {
		// This is not done together with a new limit: until the limit is written,
		// the ledger allows starts within the former allotment.
		next = next.ReleasePending(r.cfg.Shard, r.deps.Ledger.Used(team))
	}
	if unmetDemand := r.unmetDemand(team, st); !unmetDemand.IsZero() {
		next, _ = next.Allocate(r.cfg.Shard, unmetDemand)
	} else if returnIdle {
		idle := r.deps.Ledger.Idle(team).Min(next.Allotment(r.cfg.Shard).Sub(r.guaranteedMinimum(st.limit))).ClampToZero()
		if returned := r.deps.Ledger.Lower(team, idle); !returned.IsZero() {
			next, _ = next.Return(r.cfg.Shard, returned)
			st.lowered = true
		}
	}
	// After lowering the ledger, the record is written even if it stays the same. That
	// settles an earlier write that may still take effect.
	if st.revision > 0 && equalRecords(next, st.record) && !st.lowered || !r.spend() {
		return recordChange{}, false
	}
	st.inFlight = true
	return recordChange{team: team, baseRevision: st.revision, next: next}, true
}

// equalRecords reports whether two records have the same encoding.
func equalRecords(a, b TeamRecord) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// commit writes a group of changes in one transaction and reports whether they were
// certainly written. A call for each team must be marked as in flight; commit ends it.
func (r *Rebalancer) commit(ctx context.Context, group []recordChange) (done bool) {
	txn := store.NewTxn().If(r.cfg.EpochKey, r.deps.Fence())
	for _, c := range group {
		v, err := json.Marshal(c.next)
		if err != nil {
			r.log.Error("failed to encode team record", append(logs.Err(err), zap.String("team", c.team))...)
			continue
		}
		txn.If(Key(c.team), c.baseRevision).Put(Key(c.team), v)
	}
	cctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := r.deps.Store.Commit(cctx, txn)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range group {
		r.applyOutcome(c, res, err)
	}
	if err != nil {
		r.log.Warn("failed to write allotments", logs.Err(err)...)
	}
	return err == nil && res.Succeeded()
}

// applyOutcome updates a team's state by the outcome of a change; mu is held.
func (r *Rebalancer) applyOutcome(c recordChange, res store.Result, err error) {
	st := r.teamState(c.team)
	st.inFlight = false
	switch {
	case err == nil && res.Succeeded():
		r.setRecord(c.team, c.next, res.Revision())
		st.nextAttemptAt = 0
	case err != nil && rcode.Of(err).NotRun():
		// The change was certainly not written, so the record is unchanged.
		if st.revision == c.baseRevision && st.lowered && !st.unsettled {
			r.deps.Ledger.SetAllotment(c.team, st.record.Allotment(r.cfg.Shard), st.record.Blocked())
			st.lowered = false
		}
		r.delayRetry(st)
	default:
		st.mustRead = st.revision == c.baseRevision
		st.unsettled = st.unsettled || st.mustRead && err != nil
		if err != nil {
			r.delayRetry(st)
			return
		}
		st.nextAttemptAt = r.deps.Clock.Now().Add(r.jitter(ConflictJitter))
	}
}
