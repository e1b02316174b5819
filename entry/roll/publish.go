package roll

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/member"
)

// Publish writes a signed bundle as the next version. It returns BundleConflict
// with the winner's version and author when another operator was first.
func (h *Holder) Publish(ctx context.Context, raw []byte, basedOn int64) (Head, error) {
	b, err := policy.Open(raw, h.d.Approvers)
	if err != nil {
		return Head{}, err
	}
	if len(raw) > store.MaxValue {
		return Head{}, rcode.New(rcode.BundleInvalid, "roll.Publish: the signed bundle has %d bytes, more than %d", len(raw), store.MaxValue)
	}
	head, mod, err := h.head(ctx)
	if err != nil {
		return Head{}, err
	}
	if head.Version != basedOn {
		return head, rcode.New(rcode.BundleConflict, "version %d by %s is published; this bundle is based on %d", head.Version, head.Author, basedOn)
	}
	if b.Version() != head.Version+1 {
		return head, rcode.New(rcode.BundleOlder, "the bundle has version %d, the next one is %d", b.Version(), head.Version+1)
	}
	next := Head{Version: b.Version(), Author: b.Author(), Comment: b.Comment(), PublishedMS: h.d.Clock.Wall().UnixMilli(), By: h.d.VM}
	if err := h.write(ctx, next, mod, raw); err != nil {
		return next, err
	}
	if _, err := h.Adopt(raw); err != nil {
		return next, err
	}
	h.d.Log.Info("policy version published", zap.Int64("version", next.Version), zap.String("author", next.Author))
	return next, nil
}

func (h *Holder) head(ctx context.Context) (Head, int64, error) {
	kv, err := h.d.Store.Get(ctx, headKey)
	if rcode.Is(err, rcode.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, rcode.Wrap(err, rcode.StoreUnavailable, "roll.head")
	}
	var head Head
	if err := json.Unmarshal(kv.Value(), &head); err != nil {
		return Head{}, 0, rcode.Wrap(err, rcode.Internal, "roll.head")
	}
	return head, kv.ModRevision(), nil
}

func (h *Holder) write(ctx context.Context, next Head, mod int64, raw []byte) error {
	line, err := json.Marshal(next)
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "roll.write")
	}
	txn := store.NewTxn().If(headKey, mod).Put(headKey, line).
		Put(fmt.Sprintf(versionAt, next.Version), raw).Put(fmt.Sprintf(metaAt, next.Version), line)
	if next.Version > versionsKept {
		txn.Delete(fmt.Sprintf(versionAt, next.Version-versionsKept))
	}
	if next.Version > metaKept {
		txn.Delete(fmt.Sprintf(metaAt, next.Version-metaKept))
	}
	res, err := h.d.Store.Commit(ctx, txn)
	if err == nil && res.Done() {
		return nil
	}
	if err != nil && rcode.Of(err).NotRun() {
		return rcode.Wrap(err, rcode.StoreUnavailable, "roll.write")
	}
	return h.settle(ctx, next, raw)
}

// settle reads back after a lost reply or a lost race: the version in the store
// is either this bundle, byte for byte, or another operator's.
func (h *Holder) settle(ctx context.Context, next Head, raw []byte) error {
	head, _, err := h.head(ctx)
	if err != nil {
		return rcode.Wrap(err, rcode.AcceptUnknown, "roll.settle: version %d may be published", next.Version)
	}
	if head.Version < next.Version {
		return rcode.New(rcode.AcceptUnknown, "roll.settle: version %d may still be published", next.Version)
	}
	kv, err := h.d.Store.Get(ctx, fmt.Sprintf(versionAt, next.Version))
	if err != nil {
		return rcode.Wrap(err, rcode.AcceptUnknown, "roll.settle: version %d may be published", next.Version)
	}
	if !bytes.Equal(kv.Value(), raw) {
		return rcode.New(rcode.BundleConflict, "version %d by %s was published first", head.Version, head.Author)
	}
	return nil
}

// History returns the lines about the versions kept, oldest first.
func (h *Holder) History(ctx context.Context) ([]Head, error) {
	kvs, _, err := h.d.Store.List(ctx, metaBelow)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.StoreUnavailable, "roll.History")
	}
	out := make([]Head, 0, len(kvs))
	for _, kv := range kvs {
		var line Head
		if err := json.Unmarshal(kv.Value(), &line); err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "roll.History")
		}
		out = append(out, line)
	}
	return out, nil
}

// Signed returns the signed bundle of a version.
func (h *Holder) Signed(ctx context.Context, version int64) ([]byte, error) {
	if b := h.Current(); b != nil && b.Version() == version {
		return b.Raw(), nil
	}
	kv, err := h.d.Store.Get(ctx, fmt.Sprintf(versionAt, version))
	if err != nil {
		return nil, err
	}
	return kv.Value(), nil
}

// DataCentre is the progress of a rollout in one data centre.
type DataCentre struct {
	name      string
	inService bool
	confirmed bool
	blindMS   int64
}

// Name returns the data centre's name.
func (d DataCentre) Name() string { return d.name }

// InService reports whether the newest bundle has it in service.
func (d DataCentre) InService() bool { return d.inService }

// Confirmed reports whether all its VMs hold the version.
func (d DataCentre) Confirmed() bool { return d.confirmed }

// BlindUntilMS returns when its permission to run on an older version ends at
// the latest, in unix milliseconds by this VM's clock.
func (d DataCentre) BlindUntilMS() int64 { return d.blindMS }

// Rollout is the progress of a version.
type Rollout struct {
	version int64
	inForce bool
	dcs     []DataCentre
}

// Version returns the version asked for.
func (r Rollout) Version() int64 { return r.version }

// InForce reports whether no VM can still act on an older version.
func (r Rollout) InForce() bool { return r.inForce }

// DataCentres returns the progress in the bundle's order.
func (r Rollout) DataCentres() []DataCentre { return r.dcs }

// Rollout reports how far a version is. Data centres that do not confirm count
// from this VM's own first sight of the version, which is not earlier than its
// publication.
func (h *Holder) Rollout(version int64, listed []fleet.VM) Rollout {
	b := h.Current()
	out := Rollout{version: version}
	if b == nil || b.Version() < version {
		return out
	}
	h.mu.Lock()
	seen := h.seenAt[b.Version()]
	blind := h.blind[b.Version()]
	h.mu.Unlock()
	now := h.d.Clock.Now()
	until := seen.Add(blind + spread)
	untilMS := h.d.Clock.Wall().Add(until.Sub(now)).UnixMilli()
	out.inForce = true
	for _, dc := range b.DataCentres() {
		p := DataCentre{name: dc, inService: b.InService(dc), blindMS: untilMS}
		p.confirmed = h.confirmed(dc, version, now, listed)
		out.inForce = out.inForce && (p.confirmed || now >= until)
		out.dcs = append(out.dcs, p)
	}
	return out
}

// confirmed reports whether every entry VM of a data centre, listed by the
// platform or heard, holds the version.
func (h *Holder) confirmed(dc string, version int64, now clock.Mono, listed []fleet.VM) bool {
	holds := map[string]bool{}
	if dc == h.d.DataCentre {
		holds[h.d.VM] = h.Version() >= version
	}
	for _, v := range h.d.Members.All() {
		if v.DataCentre() == dc && (h.d.Members.IsLive(v.Name()) || v.PolicyVersion() >= version) {
			holds[v.Name()] = v.PolicyVersion() >= version
		}
	}
	for _, l := range listed {
		if l.DataCentre() == dc && l.Role() == fleet.RoleEntry && !holds[l.ID()] {
			return false
		}
	}
	for _, ok := range holds {
		if !ok {
			return false
		}
	}
	return len(holds) > 0 || now.Sub(h.firstSight(version)) > member.Forget
}

func (h *Holder) firstSight(version int64) clock.Mono {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seenAt[version]
}

// AwaitInForce notes in the history when a version is in force.
func (h *Holder) AwaitInForce(ctx context.Context, line Head, listed func() []fleet.VM) {
	for !h.Rollout(line.Version, listed()).InForce() {
		select {
		case <-ctx.Done():
			return
		case <-h.d.Clock.After(200 * time.Millisecond):
		}
	}
	line.InForceMS = h.d.Clock.Wall().UnixMilli()
	h.d.Log.Info("policy version in force", zap.Int64("version", line.Version), zap.Int64("after_ms", line.InForceMS-line.PublishedMS))
	body, err := json.Marshal(line)
	if err != nil {
		return
	}
	// The history line is for readers; a lost write leaves the time out of it.
	_, _ = h.d.Store.Commit(ctx, store.NewTxn().Put(fmt.Sprintf(metaAt, line.Version), body))
}
