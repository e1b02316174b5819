package front

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// certRecheck is how often the certificate's files are looked at.
const certRecheck = 10 * time.Second

// certificates reads a certificate again when its file changed, so that a
// renewed one is used without a restart.
type certificates struct {
	certFile, keyFile string
	clk               clock.Clock

	mu      sync.Mutex
	cert    *tls.Certificate
	modTime time.Time
	checkAt clock.Mono
}

func newCertificates(certFile, keyFile string, clk clock.Clock) *certificates {
	return &certificates{certFile: certFile, keyFile: keyFile, clk: clk}
}

func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	if c.cert != nil && now < c.checkAt {
		return c.cert, nil
	}
	c.checkAt = now.Add(certRecheck)
	info, err := os.Stat(c.certFile)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.modTime) {
		return c.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil || loadErr != nil {
		if c.cert != nil {
			// Keeps the old certificate while a new pair is half written.
			return c.cert, nil
		}
		return nil, rcode.New(rcode.SettingInvalid, "front.certificates: %s and %s are not a certificate and its key", c.certFile, c.keyFile)
	}
	c.cert, c.modTime = &cert, info.ModTime()
	return c.cert, nil
}
