package front_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"limpethitch.example/entry/front"
)

// pipes is a listener whose connections are pipes in memory.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Guards against callers that hold connections by sending a byte a second, in the
// headers or in the body: each is cut off within 20 s of the bubble's time.
func TestSlowSenders(t *testing.T) {
	// The first response starts fasthttp's date goroutine, which never ends and so
	// must not belong to a bubble.
	newRig(t, front.Config{}).call("GET", "/healthz", "")
	for name, head := range map[string]string{
		"headers": "POST /v1/queues/counter/requests HTTP/1.1\r\nX-A: ",
		"body":    "POST /v1/queues/counter/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lis := &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
				r := newRigOn(t, front.Config{}, lis)
				ours, theirs := net.Pipe()
				lis.conns <- theirs
				go func() { _, _ = io.Copy(io.Discard, ours) }()
				begun := time.Now()
				_, err := io.WriteString(ours, head)
				for i := 0; err == nil && i < 120; i++ {
					time.Sleep(time.Second) // Advances the bubble's clock only.
					_, err = io.WriteString(ours, "a")
				}
				if took := time.Since(begun); !errors.Is(err, io.ErrClosedPipe) || took > 20*time.Second {
					t.Errorf("%v after %v", err, took)
				}
				r.stop()
				r.done <- <-r.done
				// fasthttp's worker pool notices its end every 10 s.
				time.Sleep(30 * time.Second)
			})
		})
	}
}
