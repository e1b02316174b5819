// Package lead elects the one VM that decides for all workers of a platform.
//
// # Usage
//
//	k := lead.New(lead.Config{Store: st, Self: lead.Holder{VM: "vm1", Name: "vm1-7f3a", Addr: "10.1.0.17:7420"}}, clk, log)
//	go k.Run(ctx)
//	if term, ok := k.Authority(); ok { ... }
//
// The store holds one record, changed only by compare-and-swap on its revision.
// The owner renews it every second. Another VM takes over when it has seen the
// same revision for TakeAfter on its own clock while the store answered it all
// the while; so an outage of the store for all changes no owner. It takes over
// sooner when another incarnation answers at the owner's address, and when nothing
// listens there and a renewal is overdue. Safety does not rest on these waits: the
// token and the conditions on TermKey keep a former owner from acting. The owner's
// authority ends AuthorityFor after it sent its last renewal that succeeded,
// which is earlier than any other VM may act. Clocks here count the time that a
// VM is suspended.
package lead

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

const (
	// Key is where the record lies.
	Key = "owner/record"
	// TermKey changes only at a takeover. Writes that only the owner may make are
	// conditioned on its revision, which is the term's token.
	TermKey = "owner/term"
)

const (
	// AuthorityFor is how long a renewal gives authority to decide.
	AuthorityFor = 1300 * time.Millisecond
	// ExtendFor is how long after its last renewal an owner may keep running tasks
	// alive, which starts nothing.
	ExtendFor = 8 * time.Second
	// TakeAfter is how long an unchanged record is waited for: AuthorityFor, 2% of
	// clock drift and a margin for the messages under way.
	TakeAfter = 1500 * time.Millisecond

	// refusedAfter is how long an unchanged record is waited for when nothing listens
	// at the owner's address: two renewals that did not come.
	refusedAfter = 900 * time.Millisecond
	probeTimeout = 300 * time.Millisecond

	renewEvery = 400 * time.Millisecond
	// retryEvery is the pause after a renewal that did not succeed.
	retryEvery = 50 * time.Millisecond
	lookEvery  = 300 * time.Millisecond
	// contactGap is the longest silence of the store that still counts as contact.
	contactGap = 1200 * time.Millisecond
	// callTimeout is how long a call to the store may take. It doubles with each call
	// that passes it, up to slowTimeout, since a slow store changes no owner.
	callTimeout = 400 * time.Millisecond
	slowTimeout = 1200 * time.Millisecond
	// resignFor is how long a VM that resigned leaves the record to others.
	resignFor = 3 * time.Second
	// releaseTries bounds the writes that give the record back.
	releaseTries = 3
)

// Holder names a VM's incarnation and the address at which other VMs reach it.
type Holder struct {
	VM   string `json:"vm"`
	Name string `json:"name"`
	Addr string `json:"addr"`
}

type record struct {
	Holder Holder `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Beat changes with each renewal, so that its reply can be told from others.
	Beat int64 `json:"beat"`
	// Released records were given back by their holder and may be taken at once.
	Released bool `json:"released,omitempty"`
}

// Term is one uninterrupted time of ownership.
type Term struct {
	epoch int64
	token int64
}

// Epoch rises with each owner.
func (t Term) Epoch() int64 { return t.epoch }

// Token is the fencing token: the store's revision of the takeover, which is also
// the revision of TermKey.
func (t Term) Token() int64 { return t.token }

// Evidence is what a VM finds at the owner's address.
type Evidence string

// Kinds of evidence.
const (
	EvidenceNone     Evidence = "none"
	EvidenceAlive    Evidence = "alive"
	EvidenceReplaced Evidence = "replaced"
	EvidenceRefused  Evidence = "refused"
)

// Prober looks for the holder of the record.
type Prober interface {
	Alive(ctx context.Context, holder, self Holder) Evidence
}

// Config are the settings of a Keeper.
type Config struct {
	Store store.Store
	Self  Holder
	// Prober looks for the owner when a renewal is overdue; nil never looks.
	Prober Prober
	// Delay returns how long this VM lets others go first when the owner is lost;
	// nil is not at all.
	Delay func() time.Duration
	// Eligible reports whether this VM may take over now.
	Eligible func() bool
}

// Keeper holds or watches the record. It is safe for concurrent use.
type Keeper struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	mu       sync.Mutex
	rec      record
	rev      int64
	seenAt   clock.Mono // when rev was first seen here
	contact  clock.Mono // last answer of the store
	term     Term
	owner    bool
	renewed  clock.Mono // before the last successful renewal was sent
	released bool
	// offeredBy is the address of the holder that asked this VM to take over.
	offeredBy string
	// patience is how long the next call may take; used by Run alone.
	patience time.Duration
	failing  bool // the last write of the record failed; used by Run alone
	changed  chan struct{}
	wake     chan struct{}
	// release has Run give the record back, which closes gaveBack.
	release, gaveBack chan struct{}
	gaveBackOnce      sync.Once
	// backAt is from when on a VM that resigned takes the record again.
	backAt clock.Mono
}

// New returns a keeper that does nothing before Run.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Keeper {
	return &Keeper{
		patience: callTimeout, cfg: cfg, clk: clk, log: log, changed: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		release: make(chan struct{}, 1), gaveBack: make(chan struct{}),
	}
}

// Changed receives after ownership of this VM or the known owner changed.
func (k *Keeper) Changed() <-chan struct{} { return k.changed }

// Authority returns the term while this VM may decide.
func (k *Keeper) Authority() (Term, bool) { return k.within(AuthorityFor) }

// Extend returns the term while this VM may keep running tasks alive.
func (k *Keeper) Extend() (Term, bool) { return k.within(ExtendFor) }

// Overdue reports whether this VM owns the record and its last renewal that
// succeeded was sent more than d ago.
func (k *Keeper) Overdue(d time.Duration) bool {
	_, recent := k.within(d)
	_, owner := k.Term()
	return owner && !recent
}

// Deposed takes in that a write of the term failed because another VM took over.
func (k *Keeper) Deposed(epoch int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner && k.term.epoch == epoch {
		k.owner, k.seenAt, k.contact = false, 0, 0
		k.log.Warn("ownership lost", zap.Int64("epoch", epoch))
		k.signal()
	}
}

// Offered takes in that a holder asked this VM to take over from it.
func (k *Keeper) Offered(by Holder) {
	k.mu.Lock()
	k.offeredBy = by.Addr
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) within(d time.Duration) (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term, k.owner && k.clk.Now() < k.renewed.Add(d)
}

// Term returns the term of which this VM is the owner as far as it knows; its
// authority may be interrupted.
func (k *Keeper) Term() (Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.term, k.owner
}

// Owner returns the holder that the record named last.
func (k *Keeper) Owner() (Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rec.Holder, k.rev != 0 && !k.rec.Released
}

// Run elects and renews until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := k.step(ctx)
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-k.release:
			k.giveBack(ctx)
		case <-k.clk.After(pause):
		}
	}
	return ctx.Err()
}

func (k *Keeper) step(ctx context.Context) time.Duration {
	if _, ok := k.Term(); ok {
		if !k.renew(ctx) {
			return retryEvery
		}
		return renewEvery
	}
	k.look(ctx)
	if k.mayTake(ctx) {
		k.take(ctx)
	}
	if _, ok := k.Term(); ok {
		return renewEvery
	}
	return lookEvery
}

// get reads the record.
func (k *Keeper) get(ctx context.Context) (store.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, k.patience)
	defer cancel()
	kv, err := k.cfg.Store.Get(ctx, Key)
	k.adapt(ctx.Err() != nil)
	return kv, err
}

// adapt sets how long the next call may take.
func (k *Keeper) adapt(timedOut bool) {
	if timedOut {
		k.patience = min(2*k.patience, slowTimeout)
		return
	}
	k.patience = callTimeout
}

// look reads the record.
func (k *Keeper) look(ctx context.Context) {
	sent := k.clk.Now()
	kv, err := k.get(ctx)
	if err != nil && rcode.Of(err) != rcode.NotFound {
		return
	}
	var rec record
	if err == nil {
		if jerr := json.Unmarshal(kv.Value(), &rec); jerr != nil {
			k.log.Error("owner record unreadable, treated as released", zap.Error(jerr))
			rec = record{Released: true}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner {
		return
	}
	if k.contact == 0 || sent.Sub(k.contact) > contactGap || kv.ModRevision() != k.rev {
		k.seenAt = k.clk.Now()
	}
	if rec.Holder != k.rec.Holder || rec.Epoch != k.rec.Epoch {
		k.log.Info("owner seen", zap.String("owner", rec.Holder.Name), zap.Int64("epoch", rec.Epoch))
		k.signal()
	}
	k.contact, k.rec, k.rev = k.clk.Now(), rec, kv.ModRevision()
}

func (k *Keeper) signal() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *Keeper) mayTake(ctx context.Context) bool {
	if k.cfg.Eligible != nil && !k.cfg.Eligible() {
		return false
	}
	k.mu.Lock()
	now := k.clk.Now()
	holder, unchanged := k.rec.Holder, now.Sub(k.seenAt)
	able := !k.released && !k.owner && now >= k.backAt && k.contact != 0 && now.Sub(k.contact) <= contactGap
	free := k.rev == 0 || k.rec.Released
	offered := k.offeredBy != "" && k.offeredBy == holder.Addr
	k.offeredBy = ""
	k.mu.Unlock()
	switch {
	case !able:
		return false
	case offered, free && unchanged >= k.delay(), unchanged >= TakeAfter+k.delay():
		return true
	case holder.VM == k.cfg.Self.VM:
		// An earlier process of this VM, or a takeover whose reply was lost.
		return true
	case unchanged < renewEvery || k.cfg.Prober == nil:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	switch k.cfg.Prober.Alive(ctx, holder, k.cfg.Self) {
	case EvidenceReplaced:
		k.log.Info("owner replaced by another incarnation", zap.String("owner", holder.Name))
		return true
	case EvidenceRefused:
		return unchanged >= refusedAfter+k.delay()
	case EvidenceAlive, EvidenceNone:
		return false
	default:
		return false
	}
}

func (k *Keeper) delay() time.Duration {
	if k.cfg.Delay == nil {
		return 0
	}
	return k.cfg.Delay()
}

func (k *Keeper) take(ctx context.Context) {
	k.mu.Lock()
	next := record{Holder: k.cfg.Self, Epoch: k.rec.Epoch + 1}
	rev := k.rev
	k.mu.Unlock()
	sent := k.clk.Now()
	newRev, ok := k.swap(ctx, rev, next, true)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rec, k.rev, k.owner, k.renewed = next, newRev, true, sent
	k.term = Term{epoch: next.Epoch, token: newRev}
	k.log.Info("ownership taken", zap.Int64("epoch", next.Epoch), zap.Int64("token", newRev))
	k.signal()
}

// renew reports whether the renewal certainly succeeded.
func (k *Keeper) renew(ctx context.Context) bool {
	k.mu.Lock()
	next := k.rec
	next.Beat++
	rev := k.rev
	k.mu.Unlock()
	sent := k.clk.Now()
	newRev, ok := k.swap(ctx, rev, next, false)
	if ok {
		k.mu.Lock()
		k.rec, k.rev, k.renewed = next, newRev, sent
		k.mu.Unlock()
		return true
	}
	k.verify(ctx, next, sent)
	return false
}

// verify reads the record after a renewal that did not succeed: it may have
// taken effect with its reply lost, or another VM may be the owner.
func (k *Keeper) verify(ctx context.Context, sentRec record, sent clock.Mono) {
	kv, err := k.get(ctx)
	if err != nil && rcode.Of(err) != rcode.NotFound {
		return
	}
	var rec record
	if err == nil {
		if jerr := json.Unmarshal(kv.Value(), &rec); jerr != nil {
			k.log.Error("owner record unreadable", zap.Error(jerr))
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case rec == sentRec:
		k.rec, k.rev, k.renewed = rec, kv.ModRevision(), sent
	case rec.Holder == k.cfg.Self && rec.Epoch == k.term.epoch && !rec.Released:
		// An earlier renewal, or one of this term that arrived late.
		k.rec, k.rev = rec, kv.ModRevision()
	default:
		k.owner, k.rec, k.rev = false, rec, kv.ModRevision()
		k.seenAt, k.contact = k.clk.Now(), k.clk.Now()
		k.log.Warn("ownership lost", zap.String("owner", rec.Holder.Name), zap.Int64("epoch", rec.Epoch))
		k.signal()
	}
}

// Release gives the record back, so that another VM may take it at once, and
// returns when that is stored or ctx ends. This VM does not take it again. Run must
// be under way.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	owner := k.owner
	k.owner, k.released = false, true
	k.mu.Unlock()
	k.signal()
	if !owner {
		return
	}
	k.askRelease()
	select {
	case <-k.gaveBack:
	case <-ctx.Done():
		k.log.Warn("ownership not given back in time")
	}
}

func (k *Keeper) askRelease() {
	select {
	case k.release <- struct{}{}:
	default:
	}
}

// Resign gives the record back for VMs that are better placed to take it. This VM
// takes it again only when nobody did.
func (k *Keeper) Resign() {
	k.mu.Lock()
	owner := k.owner
	k.owner = false
	k.backAt = k.clk.Now().Add(resignFor)
	k.mu.Unlock()
	if owner {
		k.signal()
		k.askRelease()
	}
}

// giveBack writes the record as released, for as long as nobody else changed it.
func (k *Keeper) giveBack(ctx context.Context) {
	defer k.gaveBackOnce.Do(func() { close(k.gaveBack) })
	k.patience = slowTimeout
	for range releaseTries {
		k.mu.Lock()
		next, rev := k.rec, k.rev
		k.mu.Unlock()
		next.Released = true
		if _, ok := k.swap(ctx, rev, next, false); ok {
			k.log.Info("ownership given back", zap.Int64("epoch", next.Epoch))
			return
		}
		kv, err := k.get(ctx)
		if err != nil {
			continue
		}
		var rec record
		if json.Unmarshal(kv.Value(), &rec) != nil || rec.Holder != next.Holder || rec.Epoch != next.Epoch || rec.Released {
			return
		}
		k.mu.Lock()
		k.rec, k.rev = rec, kv.ModRevision()
		k.mu.Unlock()
	}
}

func (k *Keeper) swap(ctx context.Context, rev int64, next record, takeover bool) (int64, bool) {
	raw, err := json.Marshal(next)
	if err != nil {
		k.log.Error("owner record not encoded", zap.Error(err))
		return 0, false
	}
	txn := store.NewTxn().If(Key, rev).Put(Key, raw)
	if takeover {
		txn.Put(TermKey, raw)
	}
	ctx, cancel := context.WithTimeout(ctx, k.patience)
	defer cancel()
	res, err := k.cfg.Store.Commit(ctx, txn)
	k.adapt(ctx.Err() != nil)
	if err != nil && !k.failing {
		k.log.Warn("owner record not written", logs.Err(err)...)
	}
	k.failing = err != nil
	return res.Revision(), err == nil && res.Done()
}
