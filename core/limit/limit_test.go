package limit

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
)

// TestShares guards against shares that are more than the machine together, and against none at
// all on a machine that is small or not known.
func TestShares(t *testing.T) {
	t.Parallel()
	type share struct {
		Conns int
		Bytes int64
	}
	tests := map[string]struct {
		machine Machine
		want    map[Port]share
	}{
		"memory is short": {Machine{160 << 20, 4100}, map[Port]share{Callers: {853, 10 << 20}, Peers: {853, 10 << 20}, Health: {53, 0}, Metrics: {26, 0}}},
		"descriptors are": {Machine{1 << 30, 1000}, map[Port]share{Callers: {200, 64 << 20}, Peers: {200, 64 << 20}, Health: {50, 0}, Metrics: {25, 0}}},
		"not known":       {Machine{}, map[Port]share{Callers: {974, 16 << 20}, Peers: {974, 16 << 20}, Health: {85, 0}, Metrics: {42, 0}}},
		"tiny":            {Machine{1 << 20, 100}, map[Port]share{Callers: {4, 64 << 10}, Peers: {4, 64 << 10}, Health: {4, 0}, Metrics: {4, 0}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := make(map[Port]share)
			for p := range tt.want {
				s := tt.machine.Share(p)
				got[p] = share{s.Conns(), s.Bytes()}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("shares (-want +got):\n%s", diff)
			}
		})
	}
}

// TestVictim guards against closing a client that was served for one that says nothing, against
// keeping clients for ever because they were served once, and against an answer that is cut
// before the client had time to read it.
func TestVictim(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ closed, kept candidate }{
		"silent before served":     {candidate{waiting: time.Second, unserved: true}, candidate{waiting: 3 * time.Second}},
		"served long ago":          {candidate{waiting: 10 * time.Second}, candidate{waiting: time.Second, unserved: true}},
		"longer":                   {candidate{waiting: 2 * time.Second}, candidate{waiting: time.Second}},
		"address with more":        {candidate{waiting: time.Second, overShare: true}, candidate{waiting: 2 * time.Second}},
		"waiting before writing":   {candidate{waiting: time.Millisecond}, candidate{waiting: writeGrace, writing: true}},
		"answer unread for long":   {candidate{waiting: 2 * writeGrace, writing: true}, candidate{waiting: time.Second}},
		"silent before handling":   {candidate{waiting: time.Millisecond, unserved: true}, candidate{handling: 1 << 30}},
		"many requests":            {candidate{handling: 100}, candidate{handling: 1}},
		"connected at this moment": {candidate{}, candidate{waiting: time.Second, writing: true}},
	}
	for name, tt := range tests {
		if tt.closed.weight() <= tt.kept.weight() {
			t.Errorf("%s: weight %v of the one to close, %v of the other", name, tt.closed.weight(), tt.kept.weight())
		}
	}
}

// testListener accepts connections into a channel.
type testListener struct {
	*Listener
	accepted chan *Conn
	clk      *clock.Fake
	mu       sync.Mutex
	reasons  []Reason
}

func newTestListener(t *testing.T, share Share) *testListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := &testListener{accepted: make(chan *Conn, 16), clk: clock.NewFake(time.Unix(1000, 0))}
	out.Listener = New(l, Config{
		Share: share, Clock: out.clk,
		Timeouts: func() Timeouts {
			return Timeouts{Idle: time.Minute, Head: time.Minute, Body: time.Minute, Write: time.Minute}
		},
		OnClosed: func(r Reason, _ string) {
			out.mu.Lock()
			defer out.mu.Unlock()
			out.reasons = append(out.reasons, r)
		},
	})
	t.Cleanup(func() { _ = out.Close() })
	go func() {
		for {
			c, err := out.Accept()
			if err != nil {
				return
			}
			out.accepted <- c.(*Conn)
		}
	}()
	return out
}

// connect returns both ends of a new connection.
func (l *testListener) connect(t *testing.T) (client net.Conn, server *Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client, <-l.accepted
}

// retry makes the listener look for a victim again and again: it does so when it has no room,
// and each retryDelay after that.
func (l *testListener) retry(t *testing.T) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				l.clk.Advance(retryDelay)
			}
		}
	}()
}

// read reads on a connection until it fails, and then closes it.
func read(c *Conn) chan error {
	failed := make(chan error, 1)
	go func() {
		buf := make([]byte, 1<<10)
		for {
			if _, err := c.Read(buf); err != nil {
				_ = c.Close()
				failed <- err
				return
			}
		}
	}()
	return failed
}

// awaitReading returns when the process waits for the client.
func awaitReading(t *testing.T, c *Conn) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		c.mu.Lock()
		reading := c.reading
		c.mu.Unlock()
		if reading {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection is not read")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestEviction guards against clients that are kept out by silent ones, and against closing a
// connection whose request is being handled.
func TestEviction(t *testing.T) {
	t.Parallel()
	l := newTestListener(t, Share{conns: 2})
	client, handled := l.connect(t)
	if _, err := client.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := handled.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	handled.Whole()
	_, silent := l.connect(t)
	failed := read(silent)
	awaitReading(t, silent)
	l.clk.Advance(time.Hour)
	l.retry(t)
	_, _ = l.connect(t)
	if err := <-failed; !errors.Is(err, errEvicted) {
		t.Errorf("the silent connection ended with %v, want %v", err, errEvicted)
	}
	if _, err := handled.Write([]byte("answer")); err != nil {
		t.Errorf("answer of the request that was read: %v", err)
	}
	answer := make([]byte, 6)
	if _, err := io.ReadFull(client, answer); err != nil || string(answer) != "answer" {
		t.Errorf("answer %q, %v", answer, err)
	}
}

// TestEvictionAfterAnswer guards against clients that keep out others by sending request after
// request, and against a request that is handled and not answered.
func TestEvictionAfterAnswer(t *testing.T) {
	t.Parallel()
	l := newTestListener(t, Share{conns: 1})
	client, busy := l.connect(t)
	if _, err := client.Write(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(busy, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	busy.Whole()
	l.retry(t)
	waiting, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = waiting.Close() }()
	for deadline := time.Now().Add(10 * time.Second); !busy.Evicted(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the busy connection is not to make room")
		}
	}
	if _, err := busy.Write([]byte("answer")); err != nil {
		t.Errorf("answer of the request that was read: %v", err)
	}
	if _, err := busy.Read(make([]byte, 64)); !errors.Is(err, errEvicted) {
		t.Errorf("the next request was read, or failed with %v, want %v", err, errEvicted)
	}
}

// TestNoEvictionForNobody guards against a connection that is closed to make room although no other client
// waits for it: a listener whose last connection was just taken closed the least active one.
func TestNoEvictionForNobody(t *testing.T) {
	t.Parallel()
	l := newTestListener(t, Share{conns: 1})
	_, c := l.connect(t)
	failed := read(c)
	awaitReading(t, c)
	for range 50 {
		l.clk.Advance(retryDelay)
		time.Sleep(time.Millisecond)
	}
	if c.Evicted() {
		t.Errorf("the only connection makes room for no other: %v", <-failed)
	}
}

// TestRefusalIsRead guards against a refusal that the client loses because the connection is
// reset while it sends the rest of its request.
func TestRefusalIsRead(t *testing.T) {
	t.Parallel()
	l := newTestListener(t, Share{conns: 1})
	client, c := l.connect(t)
	sent := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 800<<10))
		sent <- err
	}()
	if _, err := io.ReadFull(c, make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	c.Whole()
	c.Refuse(BodyTooLarge)
	if _, err := c.Write([]byte("refusal")); err != nil {
		t.Fatal(err)
	}
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	if err := <-sent; err != nil {
		t.Errorf("rest of the request: %v", err)
	}
	if answer, err := io.ReadAll(client); err != nil || string(answer) != "refusal" {
		t.Errorf("answer %q, %v", answer, err)
	}
	_ = client.Close()
	if err := <-closed; err != nil || l.count() != 0 {
		t.Errorf("close: %v, %d connections left", err, l.count())
	}
}

// TestBytes guards against unfinished requests that take more than their share, and against
// bytes that stay charged after a request or a connection has ended.
func TestBytes(t *testing.T) {
	t.Parallel()
	l := newTestListener(t, Share{conns: 8, bytes: 64 << 10})
	send := func(n int) (*Conn, error) {
		client, c := l.connect(t)
		go func() { _, _ = client.Write(make([]byte, n)) }()
		_, err := io.ReadFull(c, make([]byte, n))
		return c, err
	}
	first, err := send(freeBytes + 60<<10)
	if err != nil {
		t.Fatal(err)
	}
	first.Whole()
	second, err := send(freeBytes + 30<<10)
	if !errors.Is(err, errBytes) {
		t.Errorf("a request beyond the share: error %v, want %v", err, errBytes)
	}
	_ = second.Close()
	if _, err := send(freeBytes); err != nil {
		t.Errorf("a small request: %v", err)
	}
	if _, err := first.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	third, err := send(freeBytes + 30<<10)
	if err != nil {
		t.Errorf("after the answer to the first: %v", err)
	}
	_ = third.Close()
	l.mu.Lock()
	conns := len(l.conns)
	l.mu.Unlock()
	if got, want := []int64{l.bytes.Load(), int64(conns)}, []int64{0, 2}; !cmp.Equal(want, got) {
		t.Errorf("bytes and connections left %v, want %v", got, want)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if diff := cmp.Diff([]Reason{BytesExceeded}, l.reasons[:min(1, len(l.reasons))]); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
}
