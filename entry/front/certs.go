package front

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// certCheckInterval is the minimum time between two checks of the certificate file.
const certCheckInterval = 10 * time.Second

// certReloader loads a certificate again when its file has changed, so that a
// renewed certificate is used without a restart.
type certReloader struct {
	certFile, keyFile string
	clk               clock.Clock

	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	nextCheck clock.Mono
}

func newCertReloader(certFile, keyFile string, clk clock.Clock) *certReloader {
	return &certReloader{certFile: certFile, keyFile: keyFile, clk: clk}
}

// getCertificate implements tls.Config.GetCertificate.
func (c *certReloader) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clk.Now()
	if c.cert != nil && now < c.nextCheck {
		return c.cert, nil
	}
	c.nextCheck = now.Add(certCheckInterval)
	info, err := os.Stat(c.certFile)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.modTime) {
		return c.cert, nil
	}
	cert, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil || loadErr != nil {
		if c.cert != nil {
			// Only one file of the new pair may have been written so far: keep the
			// old certificate until both match.
			return c.cert, nil
		}
		return nil, rcode.New(rcode.SettingInvalid, "cannot load a TLS certificate and its key from %s and %s", c.certFile, c.keyFile)
	}
	c.cert, c.modTime = &cert, info.ModTime()
	return c.cert, nil
}
