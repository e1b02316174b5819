package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"limpethitch.example/core/rcode"
)

const (
	nonceSize = 32
	// handshakeTimeout bounds the mutual authentication of a new connection.
	handshakeTimeout = 2 * time.Second
)

// Secret is shared by all entry VMs of a cell.
type Secret struct{ key []byte }

// NewSecret returns a secret. It refuses short ones, because they can be guessed
// from recorded datagrams.
func NewSecret(text string) (Secret, error) {
	if len(text) < 16 {
		return Secret{}, rcode.New(rcode.SettingInvalid, "peer.NewSecret: the secret has %d characters, want at least 16", len(text))
	}
	return Secret{key: []byte(text)}, nil
}

// String returns a placeholder, so that the secret does not appear in logs.
func (s Secret) String() string { return "[secret]" }

// GoString returns the same placeholder for %#v.
func (s Secret) GoString() string { return s.String() }

// mac returns the HMAC of a label, which separates the uses of the secret, and data.
func (s Secret) mac(label string, data ...[]byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(label))
	for _, p := range data {
		h.Write(p)
	}
	return h.Sum(nil)
}

// Sign appends an HMAC to a datagram.
func (s Secret) Sign(b []byte) []byte { return append(b, s.mac("heartbeat", b)...) }

// Verify checks the HMAC of a datagram and returns the datagram without it.
func (s Secret) Verify(b []byte) ([]byte, bool) {
	if len(b) < sha256.Size {
		return nil, false
	}
	msg, tag := b[:len(b)-sha256.Size], b[len(b)-sha256.Size:]
	return msg, hmac.Equal(tag, s.mac("heartbeat", msg))
}

// handshake authenticates both ends of a connection to each other: each proves that
// it knows the secret by the HMAC of both nonces. The labels of the two ends differ
// so that an HMAC cannot be reflected to its sender.
func (s Secret) handshake(c net.Conn, ownLabel, peerLabel string) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "peer.handshake: set deadline")
	}
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return rcode.Wrap(err, rcode.Internal, "peer.handshake: generate nonce")
	}
	if _, err := c.Write(nonce); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "peer.handshake: send nonce")
	}
	peerNonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, peerNonce); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "peer.handshake: receive nonce")
	}
	if _, err := c.Write(s.mac(ownLabel, peerNonce, nonce)); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "peer.handshake: send HMAC")
	}
	peerMAC := make([]byte, sha256.Size)
	if _, err := io.ReadFull(c, peerMAC); err != nil {
		return rcode.Wrap(err, rcode.PeerUnreachable, "peer.handshake: receive HMAC")
	}
	if !hmac.Equal(peerMAC, s.mac(peerLabel, nonce, peerNonce)) {
		return rcode.New(rcode.PeerUnreachable, "peer.handshake: %s did not prove that it knows the secret", c.RemoteAddr())
	}
	return c.SetDeadline(time.Time{})
}
