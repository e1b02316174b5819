package front_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/front"
	"limpethitch.example/entry/meter"
)

// certificate writes a self-signed pair with a serial number.
func certificate(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	t.Helper()
	priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	doc := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, doc, doc, &priv.PublicKey, priv)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(priv)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write(t, certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), serial)
	write(t, keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}), serial)
	return certFile, keyFile
}

// write sets the time of change too, since two writes may fall into one tick.
func write(t *testing.T, file string, b []byte, at int64) {
	t.Helper()
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, time.Unix(at, 0), time.Unix(at, 0)); err != nil {
		t.Fatal(err)
	}
}

// Guards against a renewed certificate that is used only after a restart, and a
// pair that is half written and ends TLS, or is never looked at again.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := certificate(t, dir, 1)
	r := newRig(t, front.Config{CertFile: certFile, KeyFile: keyFile})
	serial := func() int64 {
		c, err := tls.Dial("tcp", r.addr, &tls.Config{InsecureSkipVerify: true}) // The serial number is what is checked.
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	first := serial()
	oldKey, err := os.ReadFile(keyFile)
	if err != nil {
		t.Fatal(err)
	}
	certificate(t, dir, 2)
	newKey, err := os.ReadFile(keyFile)
	if err != nil {
		t.Fatal(err)
	}
	write(t, keyFile, oldKey, 1)
	soon := serial()
	r.clk.Advance(11 * time.Second)
	half := serial()
	write(t, keyFile, newKey, 2)
	r.clk.Advance(11 * time.Second)
	if d := cmp.Diff([]int64{1, 1, 1, 2}, []int64{first, soon, half, serial()}); d != "" {
		t.Error(d)
	}
}

// Guards against a VM that starts without the certificate that its settings name.
func TestCertificateMissing(t *testing.T) {
	f := front.New(front.Config{Listen: "127.0.0.1:0", CertFile: "none", KeyFile: "none"}, nil, meter.New(), clock.NewFake(start), zap.NewNop())
	if _, err := f.Listen(); rcode.Of(err) != rcode.SettingInvalid {
		t.Error(err)
	}
}
