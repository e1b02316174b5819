package policy

import (
	"strings"

	"limpethitch.example/core/rcode"
)

// Authenticate checks a secret independently of any queue, for calls that read or
// cancel a job.
func (b *Bundle) Authenticate(secret string) (Grant, error) {
	if secret == "" {
		return Grant{}, rcode.New(rcode.KeyMissing, "a key is needed")
	}
	id, part, _ := strings.Cut(secret, ".")
	e, ok := b.keys[id]
	if !ok || e.revoked || !e.matches(part) {
		return Grant{}, rcode.New(rcode.KeyRefused, "the key is not known or is revoked")
	}
	return Grant{team: e.team, key: id}, nil
}

// Comment returns the author's comment on the version.
func (b *Bundle) Comment() string { return b.doc.Comment }
