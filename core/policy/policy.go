// Package policy implements the versioned policy bundle that operators roll out. A
// bundle defines teams with their keys, shares and upper limits, the data centres
// and whether they are in service, and queues.
//
// # Usage
//
// Operators write a Document in JSON, sign it and publish the Signed form. Each VM
// verifies the signatures and compiles the document:
//
//	b, err := policy.Open(raw, approvers)
//	q, err := b.Queue("reprints")
//	grant, err := b.Authorize(q, secret)
//
// A Bundle is immutable; a new version is a new Bundle. Operators review the
// changes of a new version and may publish it only if it is a valid successor:
//
//	for _, c := range policy.Diff(old, b) { ... }
//	err := policy.CheckSuccessor(old, b)
//
// Inspect returns all validation errors of a document with field and line. Large
// documents are compressed inside Signed, see Pack. docs/bundle.schema.json is the
// JSON schema of the document.
package policy

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
)

// Signed is a packed document with its approvers' signatures, which cover the exact
// bytes of Bundle.
type Signed struct {
	Bundle     []byte      `json:"bundle"`
	Signatures []Signature `json:"signatures"`
}

// Signature is one approver's signature.
type Signature struct {
	Approver string `json:"approver"`
	Value    []byte `json:"value"`
}

// Approvers holds the public keys of the approvers that a VM trusts, by name, and
// the number of them whose signatures a bundle needs. They come from the VM's
// settings: if a bundle named its own approvers, anyone could sign one.
type Approvers struct {
	keys      map[string]ed25519.PublicKey
	threshold int
}

// NewApprovers parses a list of public keys in the form "name=base64,name=base64".
func NewApprovers(list string, need int) (Approvers, error) {
	a := Approvers{keys: map[string]ed25519.PublicKey{}, threshold: need}
	for _, part := range strings.Split(list, ",") {
		name, enc, ok := strings.Cut(strings.TrimSpace(part), "=")
		key, err := base64.StdEncoding.DecodeString(enc)
		if !ok || name == "" || err != nil || len(key) != ed25519.PublicKeySize {
			return a, rcode.New(rcode.SettingInvalid, "policy.NewApprovers: %q is not name=base64 of a public key", part)
		}
		for other, k := range a.keys {
			if other == name || bytes.Equal(k, key) {
				return a, rcode.New(rcode.SettingInvalid, "policy.NewApprovers: %q and %q share a name or a key and would count as two approvals", other, name)
			}
		}
		a.keys[name] = key
	}
	if need < 1 || need > len(a.keys) {
		return a, rcode.New(rcode.SettingInvalid, "policy.NewApprovers: cannot require %d approvals of %d approvers", need, len(a.keys))
	}
	return a, nil
}

// Key returns the public key of an approver.
func (a Approvers) Key(name string) (ed25519.PublicKey, bool) {
	key, ok := a.keys[name]
	return key, ok
}

// Threshold returns the number of different approvers that must sign.
func (a Approvers) Threshold() int { return a.threshold }

// signContext is prepended to the signed bytes, so that a signature made with the
// same key for another purpose is never valid for a bundle.
const signContext = "limpethitch bundle v1\n"

// Sign adds an approver's signature to s.
func (s *Signed) Sign(approver string, key ed25519.PrivateKey) {
	value := ed25519.Sign(key, append([]byte(signContext), s.Bundle...))
	s.Signatures = append(s.Signatures, Signature{Approver: approver, Value: value})
}

// Verify returns an error unless all signatures are valid and enough different
// approvers have signed.
func (s *Signed) Verify(a Approvers) error {
	msg := append([]byte(signContext), s.Bundle...)
	valid := map[string]bool{}
	for _, sig := range s.Signatures {
		key, ok := a.keys[sig.Approver]
		if !ok || !ed25519.Verify(key, msg, sig.Value) {
			return rcode.New(rcode.BundleUnsigned, "policy.Verify: signature of %q is not valid", sig.Approver)
		}
		valid[sig.Approver] = true
	}
	if len(valid) < a.threshold {
		return rcode.New(rcode.BundleUnsigned, "policy.Verify: %d of %d approvals", len(valid), a.threshold)
	}
	return nil
}

// Team is a team of a compiled bundle.
type Team struct {
	name  string
	share int64
	limit amount.Vec
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Share returns the team's weight in the division of a full cell's capacity.
func (t Team) Share() int64 { return t.share }

// Limit returns the team's upper limit on the resources in use across the fleet.
func (t Team) Limit() amount.Vec { return t.limit }

// Queue is a queue of a compiled bundle.
type Queue struct {
	doc   QueueDoc
	teams map[string]bool
}

// Name returns the queue's name.
func (q Queue) Name() string { return q.doc.Name }

// Class returns the queue's scheduling class.
func (q Queue) Class() Class { return q.doc.Class }

// Service returns the service that answers an interactive queue.
func (q Queue) Service() string { return q.doc.Service }

// Open reports whether the queue accepts work without a key.
func (q Queue) Open() bool { return q.doc.Open }

// MaxWaiting returns the largest number of waiting requests of one team.
func (q Queue) MaxWaiting() int { return q.doc.MaxWaiting }

// MaxBody returns the largest size of a body in bytes.
func (q Queue) MaxBody() int { return q.doc.MaxBody }

// keyEntry is a team's key with its salt and hash decoded.
type keyEntry struct {
	team    string
	salt    []byte
	hash    [sha256.Size]byte
	revoked bool
}

// Bundle is a validated, immutable document with indexes by name.
type Bundle struct {
	raw       []byte
	doc       *Document
	teams     map[string]Team
	queues    map[string]Queue
	keys      map[string]keyEntry
	inService map[string]bool
}

// Open decodes the signed form, verifies its signatures and compiles the document.
func Open(raw []byte, a Approvers) (*Bundle, error) {
	s, err := ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	if err := s.Verify(a); err != nil {
		return nil, err
	}
	b, err := Compile(s.Bundle)
	if err != nil {
		return nil, err
	}
	b.raw = append([]byte(nil), raw...)
	return b, nil
}

// Compile validates a document, compressed or plain, and builds its indexes.
func Compile(doc []byte) (*Bundle, error) {
	d, diagnostics := Inspect(doc)
	if len(diagnostics) > 0 {
		return nil, diagnosticsError("Compile", diagnostics)
	}
	b := &Bundle{
		doc: d, teams: map[string]Team{}, queues: map[string]Queue{},
		keys: map[string]keyEntry{}, inService: map[string]bool{},
	}
	for _, dc := range d.DataCentres {
		b.inService[dc.Name] = dc.InService
	}
	for _, t := range d.Teams {
		if err := b.addTeam(t); err != nil {
			return nil, err
		}
	}
	for _, q := range d.Queues {
		teams := map[string]bool{}
		for _, t := range q.Teams {
			teams[t] = true
		}
		b.queues[q.Name] = Queue{doc: q, teams: teams}
	}
	return b, nil
}

// addTeam adds a team and its keys to the indexes.
func (b *Bundle) addTeam(t TeamDoc) error {
	l := t.Limit
	b.teams[t.Name] = Team{name: t.Name, share: t.Share, limit: amount.New(l.CPUMilli, l.MemoryMiB, l.Accelerators, l.Requests)}
	for _, k := range t.Keys {
		salt, err := hex.DecodeString(k.Salt)
		if err != nil {
			return rcode.Wrap(err, rcode.BundleInvalid, "policy.Compile: key %s: salt", k.ID)
		}
		hash, err := hex.DecodeString(k.Hash)
		if err != nil {
			return rcode.Wrap(err, rcode.BundleInvalid, "policy.Compile: key %s: hash", k.ID)
		}
		e := keyEntry{team: t.Name, salt: salt, revoked: k.Revoked}
		copy(e.hash[:], hash)
		b.keys[k.ID] = e
	}
	return nil
}

// Version returns the bundle's version.
func (b *Bundle) Version() int64 { return b.doc.Version }

// Author returns the name of the bundle's author.
func (b *Bundle) Author() string { return b.doc.Author }

// Raw returns the signed form, which peers verify. It is nil for a bundle compiled
// from an unsigned document.
func (b *Bundle) Raw() []byte { return b.raw }

// MaxStaleness returns how long a VM may run work with a key without a confirmation
// that its policy is current.
func (b *Bundle) MaxStaleness() time.Duration {
	return time.Duration(b.doc.MaxStalenessMS) * time.Millisecond
}

// MaxStalenessOpen returns how long a VM may run work of open queues without a
// confirmation that its policy is current.
func (b *Bundle) MaxStalenessOpen() time.Duration {
	return time.Duration(b.doc.MaxStalenessOpenMS) * time.Millisecond
}

// InService reports whether the bundle has the data centre in service.
func (b *Bundle) InService(dc string) bool { return b.inService[dc] }

// DataCentres returns the names of all data centres in the bundle's order.
func (b *Bundle) DataCentres() []string {
	out := make([]string, 0, len(b.doc.DataCentres))
	for _, dc := range b.doc.DataCentres {
		out = append(out, dc.Name)
	}
	return out
}

// Teams returns all teams in the bundle's order.
func (b *Bundle) Teams() []Team {
	out := make([]Team, 0, len(b.doc.Teams))
	for _, t := range b.doc.Teams {
		out = append(out, b.teams[t.Name])
	}
	return out
}

// Team returns a team by name.
func (b *Bundle) Team(name string) (Team, bool) {
	t, ok := b.teams[name]
	return t, ok
}

// Queues returns all queues in the bundle's order.
func (b *Bundle) Queues() []Queue {
	out := make([]Queue, 0, len(b.doc.Queues))
	for _, q := range b.doc.Queues {
		out = append(out, b.queues[q.Name])
	}
	return out
}

// Queue returns a queue by name.
func (b *Bundle) Queue(name string) (Queue, error) {
	q, ok := b.queues[name]
	if !ok {
		return q, rcode.New(rcode.QueueUnknown, "queue %q is not in bundle version %d", name, b.Version())
	}
	return q, nil
}

// Grant is the authorization under which work was accepted. Reauthorize checks it
// again immediately before the work starts, so that queued work does not start after
// its key is revoked.
type Grant struct {
	team, key string
}

// NewGrant restores a grant that was stored with a job.
func NewGrant(team, key string) Grant { return Grant{team: team, key: key} }

// Team returns the team to which the work is charged.
func (g Grant) Team() string { return g.team }

// Key returns the id of the key, or "" for open queues.
func (g Grant) Key() string { return g.key }

// Authorize checks whether a caller's secret, in the form KEYID.SECRET, permits work
// on a queue. Open queues need no secret.
func (b *Bundle) Authorize(q Queue, secret string) (Grant, error) {
	if q.Open() {
		return Grant{team: q.doc.Team}, nil
	}
	if secret == "" {
		return Grant{}, rcode.New(rcode.KeyMissing, "queue %q needs a key", q.Name())
	}
	id, part, _ := strings.Cut(secret, ".")
	e, ok := b.keys[id]
	if !ok || !e.matches(part) {
		return Grant{}, rcode.New(rcode.KeyRefused, "the key is not known")
	}
	g := Grant{team: e.team, key: id}
	return g, b.Reauthorize(q, g)
}

// Reauthorize returns an error if this bundle no longer permits work under the grant.
func (b *Bundle) Reauthorize(q Queue, g Grant) error {
	if g.key == "" {
		if q.Open() && q.doc.Team == g.team {
			return nil
		}
		return rcode.New(rcode.KeyMissing, "queue %q is no longer open", q.Name())
	}
	e, ok := b.keys[g.key]
	if !ok || e.revoked || e.team != g.team {
		return rcode.New(rcode.KeyRefused, "key %q is revoked", g.key)
	}
	if len(q.teams) > 0 && !q.teams[g.team] {
		return rcode.New(rcode.KeyRefused, "team %q may not use queue %q", g.team, q.Name())
	}
	return nil
}

// matches reports whether the secret is that of the key, in constant time.
func (e keyEntry) matches(secret string) bool {
	h := HashKey(e.salt, secret)
	return subtle.ConstantTimeCompare(h[:], e.hash[:]) == 1
}

// HashKey returns the hash of a secret that a bundle stores. Secrets are 128 random
// bits, so one round of SHA-256 is enough.
func HashKey(salt []byte, secret string) [sha256.Size]byte {
	return sha256.Sum256(append(append([]byte{}, salt...), secret...))
}
