// Package roll keeps this VM's copy of the policy bundle, confirms that it is
// current, publishes new versions and tracks their rollout.
//
// # Usage
//
//	m := roll.New(cfg, deps)
//	go m.Serve(ctx)
//	b, err := m.FreshBundle(open)   // the bundle, or why work must not start now
//	err = m.Publish(ctx, signed, basedOn)
//
// The store holds a small description of the newest version under policy/head,
// each signed bundle under policy/v/N and its description under policy/m/N. The
// relay of a data centre reads policy/head every second, since only a read proves
// that no newer version exists; a watch triggers an immediate read. Other VMs
// receive the version and the age of its proof in heartbeats.
package roll

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/member"
	"limpethitch.example/entry/peer"
)

const (
	headKey         = "policy/head"
	bundleKeyFormat = "policy/v/%012d"
	infoKeyFormat   = "policy/m/%012d"
	infoKeyPrefix   = "policy/m/"
	// maxBundles and maxHistory bound the signed bundles and the descriptions of
	// versions that are kept in the store.
	maxBundles = 20
	maxHistory = 500
	// readInterval is the interval at which the store is read to confirm that the
	// version is current.
	readInterval = time.Second
	// maxPropagationTime bounds the time that a published version takes to reach
	// all VMs of the publishing VM's data centre: two heartbeats, a fetch and a
	// retry.
	maxPropagationTime = 3 * time.Second
	// maxExpiries bounds the number of remembered expiries.
	maxExpiries = 64
	// maxPeerProofAge is the age of the peers' proof above which a VM reads the
	// store itself: two intervals of the relay and of the heartbeats.
	maxPeerProofAge = 3 * time.Second
)

// VersionInfo describes a published version, without its content.
type VersionInfo struct {
	Version     int64  `json:"version"`
	Author      string `json:"author"`
	Comment     string `json:"comment,omitempty"`
	PublishedMS int64  `json:"published_unix_ms"`
	// InForceMS is when the version was in force everywhere, or 0.
	InForceMS int64 `json:"in_force_unix_ms,omitempty"`
	// By is the VM that published the version.
	By string `json:"by,omitempty"`
}

// Deps are the dependencies of a Manager.
type Deps struct {
	Clock     clock.Clock
	Store     store.Store
	Log       *zap.Logger
	Members   *member.Members
	Client    *peer.Client
	Approvers policy.Approvers
	// VM and DataCentre are the names of this VM and its data centre.
	VM, DataCentre string
	// OnAdopt is called after this VM has adopted a newer bundle.
	OnAdopt func(*policy.Bundle)
	// Layout returns the data that a VM needs besides the bundle when it starts
	// while the store is down. OnLayout receives it on that VM.
	Layout   func() []byte
	OnLayout func([]byte)
}

// Manager keeps the newest bundle known to this VM. It is safe for concurrent
// use.
type Manager struct {
	deps    Deps
	current atomic.Pointer[policy.Bundle]

	// adoptMu serializes Adopt, so that OnAdopt is called in order of version.
	adoptMu sync.Mutex

	mu sync.Mutex
	// readAsOf is the start of the last store read that confirmed the version
	// that was current then.
	readAsOf clock.Mono
	// expiries holds, by version, when no VM may run on an older one any more.
	expiries map[int64]versionExpiry
	offers   chan offer
	storeOK  bool
}

// offer is a peer that has a newer version.
type offer struct {
	addr    string
	version int64
}

// New returns a Manager without a bundle.
func New(deps Deps) *Manager {
	return &Manager{deps: deps, expiries: map[int64]versionExpiry{}, offers: make(chan offer, 16)}
}

// Current returns the newest bundle, or nil.
func (m *Manager) Current() *policy.Bundle { return m.current.Load() }

// Version returns the version of the newest bundle, or 0.
func (m *Manager) Version() int64 {
	if b := m.Current(); b != nil {
		return b.Version()
	}
	return 0
}

// AsOf returns the time as of which the newest bundle is confirmed to be current.
func (m *Manager) AsOf() clock.Mono {
	b := m.Current()
	if b == nil {
		return 0
	}
	return m.bundleAsOf(b)
}

// bundleAsOf returns the time as of which b is confirmed to be current. Taking the
// bundle as an argument ensures that an older one is never accepted with the proof
// of its successor. All data centres that could publish count; those out of
// service count only while VMs of theirs are known.
func (m *Manager) bundleAsOf(b *policy.Bundle) clock.Mono {
	m.mu.Lock()
	own := m.readAsOf
	if m.current.Load() != b {
		own = 0
	}
	m.mu.Unlock()
	var dcs []string
	for _, dc := range b.DataCentres() {
		if b.InService(dc) {
			dcs = append(dcs, dc)
		}
	}
	return m.deps.Members.PolicyAsOf(b.Version(), own, dcs)
}

// StoreOK reports whether this VM's last policy read from the store succeeded.
func (m *Manager) StoreOK() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeOK
}

// FreshBundle returns the newest bundle if it was confirmed recently enough. The
// limit is the bundle's maximum staleness for work that needs a key and for new
// tasks, or the longer one for open queues if open is set.
func (m *Manager) FreshBundle(open bool) (*policy.Bundle, error) {
	b := m.Current()
	if b == nil {
		return nil, rcode.New(rcode.NoPolicy, "this VM has no policy bundle")
	}
	limit := b.MaxStaleness()
	if open {
		limit = max(limit, b.MaxStalenessOpen())
	}
	if age := m.deps.Clock.Now().Sub(m.bundleAsOf(b)); age > limit {
		return nil, rcode.New(rcode.PolicyStale, "policy version %d was last confirmed as current %v ago", b.Version(), age.Round(time.Millisecond))
	}
	return b, nil
}

// NotifyNewer reports that the VM at addr has a higher version. It does not block;
// when many reports are pending, further ones are dropped.
func (m *Manager) NotifyNewer(addr string, version int64) {
	if version <= m.Version() {
		return
	}
	select {
	case m.offers <- offer{addr: addr, version: version}:
	default:
	}
}

// Adopt verifies a signed bundle and makes it the current one if it is newer. A
// lower version is never adopted, so that a stale read cannot revert the policy.
// It returns the current bundle.
func (m *Manager) Adopt(raw []byte) (*policy.Bundle, error) {
	b, err := policy.Open(raw, m.deps.Approvers)
	if err != nil {
		return nil, err
	}
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	m.mu.Lock()
	old := m.current.Load()
	if old != nil && b.Version() <= old.Version() {
		m.mu.Unlock()
		return old, nil
	}
	m.recordExpiryLocked(m.deps.Clock.Now(), old, b)
	// readAsOf stays valid for b: an older version was the newest one then, so b
	// had no successor either.
	m.current.Store(b)
	m.mu.Unlock()
	m.deps.Log.Info("policy version in use", zap.Int64("version", b.Version()), zap.String("author", b.Author()))
	if m.deps.OnAdopt != nil {
		m.deps.OnAdopt(b)
	}
	return b, nil
}

// Serve keeps the bundle current until ctx ends, and returns the error of ctx.
func (m *Manager) Serve(ctx context.Context) error {
	changed := make(chan struct{}, 1)
	go m.watch(ctx, changed)
	for {
		if m.shouldReadStore() {
			m.checkStore(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case o := <-m.offers:
			if o.version > m.Version() {
				m.fetchFromPeer(ctx, o.addr)
			}
		case <-changed:
		case <-m.deps.Clock.After(readInterval):
		}
	}
}

// shouldReadStore reports whether this VM reads the store itself: as the relay of
// its data centre, or while the proofs from VMs of its data centre are too old.
func (m *Manager) shouldReadStore() bool {
	if m.deps.Members.IsRelay() {
		return true
	}
	return m.deps.Clock.Now().Sub(m.deps.Members.PeerAsOf(m.Version())) > maxPeerProofAge
}

// watch signals changes of the newest version while this VM is the relay.
func (m *Manager) watch(ctx context.Context, changed chan<- struct{}) {
	for ctx.Err() == nil {
		if m.deps.Members.IsRelay() {
			wctx, cancel := context.WithCancel(ctx)
			go m.endWatchUnlessRelay(wctx, cancel)
			_, err := m.deps.Store.Watch(wctx, headKey, 0, func(store.Change) {
				select {
				case changed <- struct{}{}:
				default:
				}
			})
			cancel()
			if ctx.Err() == nil {
				m.deps.Log.Debug("policy watch ended", logs.Err(err)...)
			}
		}
		select {
		case <-ctx.Done():
		case <-m.deps.Clock.After(2 * readInterval):
		}
	}
}

// endWatchUnlessRelay calls cancel when this VM stops being the relay.
func (m *Manager) endWatchUnlessRelay(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil && m.deps.Members.IsRelay() {
		select {
		case <-ctx.Done():
		case <-m.deps.Clock.After(2 * readInterval):
		}
	}
	cancel()
}

// checkStore confirms from the store that the version is current, or fetches a
// newer one.
func (m *Manager) checkStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	startedAt := m.deps.Clock.Now()
	kv, err := m.deps.Store.Get(ctx, headKey)
	m.setStoreOK(err)
	if err != nil {
		if !rcode.Is(err, rcode.NotFound) {
			m.deps.Log.Warn("failed to read the newest policy version", logs.Err(err)...)
		}
		return
	}
	var head VersionInfo
	if err := json.Unmarshal(kv.Value(), &head); err != nil {
		m.deps.Log.Error("failed to decode the newest policy version", logs.Err(err)...)
		return
	}
	if head.Version > m.Version() {
		m.fetchVersion(ctx, head.Version)
	}
	if head.Version == m.Version() {
		m.recordProof(head.Version, startedAt)
	}
}

// setStoreOK records whether a store read that returned err reached the store.
func (m *Manager) setStoreOK(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeOK = err == nil || rcode.Is(err, rcode.NotFound)
}

// recordProof records that version was the newest one at the given time. It has no
// effect if another version has been adopted since.
func (m *Manager) recordProof(version int64, at clock.Mono) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b := m.current.Load(); b != nil && b.Version() == version {
		m.readAsOf = max(m.readAsOf, at)
	}
}

// fetchVersion reads a version from the store and adopts it.
func (m *Manager) fetchVersion(ctx context.Context, version int64) {
	kv, err := m.deps.Store.Get(ctx, fmt.Sprintf(bundleKeyFormat, version))
	if err == nil {
		_, err = m.Adopt(kv.Value())
	}
	if err != nil {
		m.deps.Log.Error("failed to adopt a policy version", append(logs.Err(err), zap.Int64("version", version))...)
	}
}

// fetchFromPeer requests a newer bundle from the VM at addr and adopts it.
func (m *Manager) fetchFromPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	msg, err := m.deps.Client.Bundle(ctx, addr, &peer.BundleMessage{Version: m.Version()})
	if err == nil && msg.GetVersion() > m.Version() {
		if m.deps.OnLayout != nil {
			m.deps.OnLayout(msg.GetLayout())
		}
		_, err = m.Adopt(msg.GetSigned())
	}
	if err != nil {
		m.deps.Log.Warn("failed to fetch the policy from a peer", append(logs.Err(err), zap.String("addr", addr))...)
	}
}

// BundleNewerThan returns the reply to a peer that requests a bundle newer than
// its own. The reply has no bundle if this VM has none that is newer.
func (m *Manager) BundleNewerThan(version int64) *peer.BundleMessage {
	b := m.Current()
	if b == nil || b.Version() <= version {
		return &peer.BundleMessage{Version: m.Version()}
	}
	msg := &peer.BundleMessage{Version: b.Version(), Signed: b.Raw()}
	if m.deps.Layout != nil {
		msg.Layout = m.deps.Layout()
	}
	return msg
}
