package policy

import (
	"bytes"
	"compress/gzip"
	"crypto/ed25519"
	"encoding/binary"
	"encoding/json"
	"io"

	"limpethitch.example/core/rcode"
)

// Sizes of a bundle, in bytes.
const (
	// MaxSigned is the largest size of the signed form. The store accepts values of
	// up to 1 MB.
	MaxSigned = 1_000_000
	// MaxDocument is the largest size of a document after decompression. The planned
	// 360 teams with 10,000 keys take less than a quarter of it.
	MaxDocument = 8 << 20
	// compressAbove is the size above which a document is compressed. Smaller
	// documents stay readable in the store.
	compressAbove = 64 << 10
)

var gzipMagic = []byte{0x1f, 0x8b}

// Pack returns the bytes of a document that are signed: the document itself, or its
// gzip form if it is large. Compression halves the size of hexadecimal hashes.
func Pack(doc []byte) ([]byte, error) {
	if len(doc) > MaxDocument {
		return nil, rcode.New(rcode.BundleInvalid, "policy.Pack: the document has %d bytes, which are more than %d", len(doc), MaxDocument)
	}
	if len(doc) <= compressAbove || bytes.HasPrefix(doc, gzipMagic) {
		return doc, nil
	}
	var buf bytes.Buffer
	zw, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "policy.Pack")
	}
	if _, err := zw.Write(doc); err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "policy.Pack")
	}
	if err := zw.Close(); err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "policy.Pack")
	}
	return buf.Bytes(), nil
}

// Unpack reverses Pack. Decompression stops above MaxDocument, and trailing bytes
// after the compressed document are an error.
func Unpack(packed []byte) ([]byte, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		if len(packed) > MaxDocument {
			return nil, rcode.New(rcode.BundleInvalid, "policy.Unpack: the document is larger than %d bytes", MaxDocument)
		}
		return packed, nil
	}
	src := bytes.NewReader(packed)
	zr, err := gzip.NewReader(src)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.BundleInvalid, "policy.Unpack")
	}
	zr.Multistream(false)
	buf := bytes.NewBuffer(make([]byte, 0, sizeHint(packed)))
	if _, err := buf.ReadFrom(io.LimitReader(zr, MaxDocument+1)); err != nil {
		return nil, rcode.Wrap(err, rcode.BundleInvalid, "policy.Unpack")
	}
	doc := buf.Bytes()
	if len(doc) > MaxDocument {
		return nil, rcode.New(rcode.BundleInvalid, "policy.Unpack: the document is larger than %d bytes", MaxDocument)
	}
	if src.Len() > 0 {
		return nil, rcode.New(rcode.BundleInvalid, "policy.Unpack: %d bytes follow the document", src.Len())
	}
	return doc, nil
}

// sizeHint returns the initial buffer size for decompression. It is taken from the
// uncompressed size at the end of the gzip data (RFC 1952), which is only a hint
// since damaged data may have a wrong one.
func sizeHint(packed []byte) int {
	if len(packed) < 4 {
		return bytes.MinRead
	}
	size := binary.LittleEndian.Uint32(packed[len(packed)-4:])
	// bytes.Buffer.ReadFrom grows a buffer with less than MinRead bytes free, also
	// at the end of the data.
	return int(min(size, MaxDocument)) + 2*bytes.MinRead
}

// NewSigned packs a document without adding a signature.
func NewSigned(doc []byte) (*Signed, error) {
	packed, err := Pack(doc)
	if err != nil {
		return nil, err
	}
	return &Signed{Bundle: packed}, nil
}

// ParseSigned decodes the signed form without verifying its signatures.
func ParseSigned(raw []byte) (*Signed, error) {
	if len(raw) > MaxSigned {
		return nil, rcode.New(rcode.BundleInvalid, "policy.ParseSigned: the signed form has %d bytes, which are more than %d", len(raw), MaxSigned)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	var s Signed
	if err := dec.Decode(&s); err != nil {
		return nil, rcode.Wrap(err, rcode.BundleInvalid, "policy.ParseSigned: line %d", lineAt(raw, int(dec.InputOffset())))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, rcode.New(rcode.BundleInvalid, "policy.ParseSigned: bytes follow the signed form")
	}
	return &s, nil
}

// Marshal encodes the signed form for publication.
func (s *Signed) Marshal() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "policy.Marshal")
	}
	if len(raw) > MaxSigned {
		return nil, rcode.New(rcode.BundleInvalid, "policy.Marshal: the signed form has %d bytes, but the store accepts at most %d", len(raw), MaxSigned)
	}
	return raw, nil
}

// SignedBy reports whether s has a signature with the approver's name that is valid
// under the key.
func (s *Signed) SignedBy(approver string, key ed25519.PublicKey) bool {
	msg := append([]byte(signContext), s.Bundle...)
	for _, sig := range s.Signatures {
		if sig.Approver == approver && ed25519.Verify(key, msg, sig.Value) {
			return true
		}
	}
	return false
}
