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
)

// Publish writes a signed bundle as the next version and adopts it. If another
// operator published first, it returns the version of that operator and the code
// BundleConflict.
func (m *Manager) Publish(ctx context.Context, raw []byte, basedOn int64) (VersionInfo, error) {
	b, err := policy.Open(raw, m.deps.Approvers)
	if err != nil {
		return VersionInfo{}, err
	}
	if len(raw) > store.MaxValue {
		return VersionInfo{}, rcode.New(rcode.BundleInvalid, "roll.Publish: the signed bundle has %d bytes, more than %d", len(raw), store.MaxValue)
	}
	head, mod, err := m.readHead(ctx)
	if err != nil {
		return VersionInfo{}, err
	}
	if head.Version != basedOn {
		return head, rcode.New(rcode.BundleConflict, "the newest version is %d by %s; this bundle is based on version %d", head.Version, head.Author, basedOn)
	}
	if b.Version() != head.Version+1 {
		return head, rcode.New(rcode.BundleOlder, "the bundle has version %d; the next version is %d", b.Version(), head.Version+1)
	}
	next := VersionInfo{Version: b.Version(), Author: b.Author(), Comment: b.Comment(), PublishedMS: m.deps.Clock.Wall().UnixMilli(), By: m.deps.VM}
	if published, err := m.writeVersion(ctx, next, mod, raw); err != nil {
		return published, err
	}
	if _, err := m.Adopt(raw); err != nil {
		return next, err
	}
	m.deps.Log.Info("policy version published", zap.Int64("version", next.Version), zap.String("author", next.Author))
	return next, nil
}

// readHead returns the newest version and the revision of its key. Both are zero
// before the first publication.
func (m *Manager) readHead(ctx context.Context) (VersionInfo, int64, error) {
	kv, err := m.deps.Store.Get(ctx, headKey)
	if rcode.Is(err, rcode.NotFound) {
		return VersionInfo{}, 0, nil
	}
	if err != nil {
		return VersionInfo{}, 0, rcode.Wrap(err, rcode.StoreUnavailable, "roll.readHead")
	}
	var head VersionInfo
	if err := json.Unmarshal(kv.Value(), &head); err != nil {
		return VersionInfo{}, 0, rcode.Wrap(err, rcode.Internal, "roll.readHead")
	}
	return head, kv.ModRevision(), nil
}

// writeVersion writes a version if the head still has revision mod. With an error
// it returns the version to report: another operator's if that was published
// first.
func (m *Manager) writeVersion(ctx context.Context, next VersionInfo, mod int64, raw []byte) (VersionInfo, error) {
	info, err := json.Marshal(next)
	if err != nil {
		return next, rcode.Wrap(err, rcode.Internal, "roll.writeVersion")
	}
	txn := store.NewTxn().If(headKey, mod).Put(headKey, info).
		Put(fmt.Sprintf(bundleKeyFormat, next.Version), raw).Put(fmt.Sprintf(infoKeyFormat, next.Version), info)
	if next.Version > maxBundles {
		txn.Delete(fmt.Sprintf(bundleKeyFormat, next.Version-maxBundles))
	}
	if next.Version > maxHistory {
		txn.Delete(fmt.Sprintf(infoKeyFormat, next.Version-maxHistory))
	}
	res, err := m.deps.Store.Commit(ctx, txn)
	if err == nil && res.Succeeded() {
		return next, nil
	}
	if err != nil && rcode.Of(err).NotRun() {
		return next, rcode.Wrap(err, rcode.StoreUnavailable, "roll.writeVersion")
	}
	return m.resolveWrite(ctx, next, raw)
}

// resolveWrite reads the store after a lost reply or a conflicting write: the
// version in the store is either this bundle, byte for byte, or another
// operator's.
func (m *Manager) resolveWrite(ctx context.Context, next VersionInfo, raw []byte) (VersionInfo, error) {
	head, _, err := m.readHead(ctx)
	if err != nil {
		return next, rcode.Wrap(err, rcode.AcceptUnknown, "roll.resolveWrite: version %d may have been published", next.Version)
	}
	if head.Version < next.Version {
		return next, rcode.New(rcode.AcceptUnknown, "roll.resolveWrite: version %d may still become published", next.Version)
	}
	kv, err := m.deps.Store.Get(ctx, fmt.Sprintf(bundleKeyFormat, next.Version))
	if err != nil {
		return next, rcode.Wrap(err, rcode.AcceptUnknown, "roll.resolveWrite: version %d may have been published", next.Version)
	}
	if !bytes.Equal(kv.Value(), raw) {
		return head, rcode.New(rcode.BundleConflict, "another operator published first; the newest version is %d by %s", head.Version, head.Author)
	}
	return next, nil
}

// History returns the versions in the history, oldest first.
func (m *Manager) History(ctx context.Context) ([]VersionInfo, error) {
	kvs, _, err := m.deps.Store.List(ctx, infoKeyPrefix)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.StoreUnavailable, "roll.History")
	}
	out := make([]VersionInfo, 0, len(kvs))
	for _, kv := range kvs {
		var info VersionInfo
		if err := json.Unmarshal(kv.Value(), &info); err != nil {
			return nil, rcode.Wrap(err, rcode.Internal, "roll.History")
		}
		out = append(out, info)
	}
	return out, nil
}

// SignedBundle returns the signed bundle of a version.
func (m *Manager) SignedBundle(ctx context.Context, version int64) ([]byte, error) {
	if b := m.Current(); b != nil && b.Version() == version {
		return b.Raw(), nil
	}
	kv, err := m.deps.Store.Get(ctx, fmt.Sprintf(bundleKeyFormat, version))
	if err != nil {
		return nil, err
	}
	return kv.Value(), nil
}

// DataCentreStatus is the progress of a rollout in one data centre.
type DataCentreStatus struct {
	name         string
	inService    bool
	confirmed    bool
	staleUntilMS int64
}

// Name returns the data centre's name.
func (d DataCentreStatus) Name() string { return d.name }

// InService reports whether the data centre is in service in the newest bundle.
func (d DataCentreStatus) InService() bool { return d.inService }

// Confirmed reports whether all VMs of the data centre have the version.
func (d DataCentreStatus) Confirmed() bool { return d.confirmed }

// StaleUntilMS returns the latest time at which the data centre may still run on
// an older version, in Unix milliseconds by this VM's clock.
func (d DataCentreStatus) StaleUntilMS() int64 { return d.staleUntilMS }

// Rollout is the progress of the rollout of a version.
type Rollout struct {
	version     int64
	inForce     bool
	dataCentres []DataCentreStatus
}

// Version returns the version that the progress was requested for.
func (r Rollout) Version() int64 { return r.version }

// InForce reports whether no VM can act on an older version any more.
func (r Rollout) InForce() bool { return r.inForce }

// DataCentres returns the progress in each data centre, in the bundle's order.
func (r Rollout) DataCentres() []DataCentreStatus { return r.dataCentres }

// Rollout returns the progress of a version. The version is in force once each
// data centre has confirmed it or, for those that have not, once every permission
// to run on older versions has expired. The list of VMs comes from the platform.
func (m *Manager) Rollout(version int64, listed []fleet.VM) Rollout {
	b := m.Current()
	out := Rollout{version: version}
	if b == nil || b.Version() < version {
		return out
	}
	now := m.deps.Clock.Now()
	expiry := m.expiry(version)
	expiryMS := m.deps.Clock.Wall().Add(expiry.Sub(now)).UnixMilli()
	out.inForce = true
	for _, dc := range b.DataCentres() {
		p := DataCentreStatus{name: dc, inService: b.InService(dc), staleUntilMS: expiryMS}
		p.confirmed = m.confirmed(dc, version, listed)
		out.inForce = out.inForce && (p.confirmed || now >= expiry)
		out.dataCentres = append(out.dataCentres, p)
	}
	return out
}

// confirmed reports whether every entry VM of a data centre has the version. VMs
// count if the platform lists them or they have sent heartbeats. Without the
// platform's list no data centre is confirmed, since VMs may be missing. An
// unresponsive VM that the platform has never listed counts too, since it may be
// alive on the other side of a partition.
func (m *Manager) confirmed(dc string, version int64, listed []fleet.VM) bool {
	hasVersion := map[string]bool{}
	if dc == m.deps.DataCentre {
		hasVersion[m.deps.VM] = m.Version() >= version
	}
	for _, v := range m.deps.Members.All() {
		if v.DataCentre() == dc && !v.Gone() {
			hasVersion[v.Name()] = v.PolicyVersion() >= version
		}
	}
	for _, l := range listed {
		if l.DataCentre() == dc && l.Role() == fleet.RoleEntry && !hasVersion[l.ID()] {
			return false
		}
	}
	for _, ok := range hasVersion {
		if !ok {
			return false
		}
	}
	return len(hasVersion) > 0 && len(listed) > 0
}

// versionExpiry is when the permissions to run on versions older than a given one
// expire. It is counted from when this VM first adopted the given version, which
// is not earlier than its publication.
type versionExpiry struct{ until clock.Mono }

// recordExpiryLocked records the expiry for a new version b. VMs with the version
// before it stop at the maximum staleness of that version, VMs with even older
// ones no later than they would have without b. The maximum staleness of a version
// that this VM never had is unknown, so the longest allowed one is assumed.
func (m *Manager) recordExpiryLocked(now clock.Mono, old, b *policy.Bundle) {
	maxStaleness := time.Duration(policy.MaxStalenessLimitMS) * time.Millisecond
	until := clock.Mono(0)
	if old != nil {
		until = m.expiries[old.Version()].until
	}
	if old != nil && old.Version() == b.Version()-1 {
		maxStaleness = old.MaxStaleness()
	}
	if b.Version() == 1 {
		maxStaleness = 0
	}
	m.expiries[b.Version()] = versionExpiry{until: max(until, now.Add(maxStaleness+maxPropagationTime))}
	for v := range m.expiries {
		if v <= b.Version()-maxExpiries {
			delete(m.expiries, v)
		}
	}
}

// expiry returns when no VM may run on a version older than the given one any
// more. For a version that this VM never had or no longer remembers, it returns
// the expiry of the newest one.
func (m *Manager) expiry(version int64) clock.Mono {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.expiries[version]; ok {
		return e.until
	}
	return m.expiries[m.Version()].until
}

// AwaitInForce waits until a version is in force and records the time in the
// history.
func (m *Manager) AwaitInForce(ctx context.Context, info VersionInfo, listed func() []fleet.VM) {
	for !m.Rollout(info.Version, listed()).InForce() {
		select {
		case <-ctx.Done():
			return
		case <-m.deps.Clock.After(200 * time.Millisecond):
		}
	}
	info.InForceMS = m.deps.Clock.Wall().UnixMilli()
	m.deps.Log.Info("policy version in force", zap.Int64("version", info.Version), zap.Int64("after_ms", info.InForceMS-info.PublishedMS))
	body, err := json.Marshal(info)
	if err != nil {
		return
	}
	key := fmt.Sprintf(infoKeyFormat, info.Version)
	kv, err := m.deps.Store.Get(ctx, key)
	if err != nil {
		return
	}
	// The history is only informational, so a failed write is ignored and leaves
	// the time unset. An entry that has been deleted from the history meanwhile is
	// not written again.
	_, _ = m.deps.Store.Commit(ctx, store.NewTxn().If(key, kv.ModRevision()).Put(key, body))
}
