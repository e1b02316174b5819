package policy

import (
	"encoding/hex"
	"io"

	"limpethitch.example/core/rcode"
)

const (
	secretBytes = 16 // 128 random bits cannot be guessed, so one round of SHA-256 is enough.
	saltBytes   = 16
)

// Key is a new team key. Only this value has the secret; the bundle has its salted
// hash.
type Key struct {
	doc    KeyDoc
	secret string
}

// NewKey generates a key with the given id from a source of random bytes.
func NewKey(id string, random io.Reader) (Key, error) {
	if !validName(id) {
		return Key{}, rcode.New(rcode.BundleInvalid, "policy.NewKey: id %q must be 1 to 63 characters from a-z, 0-9 and -", id)
	}
	buf := make([]byte, secretBytes+saltBytes)
	if _, err := io.ReadFull(random, buf); err != nil {
		return Key{}, rcode.Wrap(err, rcode.Internal, "policy.NewKey")
	}
	secret, salt := hex.EncodeToString(buf[:secretBytes]), buf[secretBytes:]
	hash := HashKey(salt, secret)
	doc := KeyDoc{ID: id, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(hash[:])}
	return Key{doc: doc, secret: secret}, nil
}

// Doc returns the key as the bundle stores it, without the secret.
func (k Key) Doc() KeyDoc { return k.doc }

// Secret returns the credential that the team sends, in the form KEYID.SECRET.
func (k Key) Secret() string { return k.doc.ID + "." + k.secret }

// String returns only the id, so that a key printed by mistake reveals no secret.
func (k Key) String() string { return "key " + k.doc.ID }

// GoString returns only the id, for %#v.
func (k Key) GoString() string { return k.String() }
