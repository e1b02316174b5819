package standkv_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/stand/httpd"
	"limpethitch.example/stand/standkv"
)

func serve(t *testing.T, cfg standkv.Config, clk clock.Clock) (*standkv.Server, *store.Gateway) {
	t.Helper()
	srv := standkv.New(cfg, clk)
	return srv, gateway(t, listen(t, srv))
}

// listen starts the server and returns its address.
func listen(t *testing.T, srv *standkv.Server) net.Addr {
	t.Helper()
	ln, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr()
}

func gateway(t *testing.T, addr net.Addr) *store.Gateway {
	t.Helper()
	g, err := store.New(store.Config{URL: "http://" + addr.String(), CallTimeout: 10 * time.Second}, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func put(t *testing.T, st store.Store, key, value string) int64 {
	t.Helper()
	res, err := st.Commit(context.Background(), store.NewTxn().Put(key, []byte(value)))
	if err != nil || !res.Succeeded() {
		t.Fatalf("put %s: done=%v err=%v", key, res.Succeeded(), err)
	}
	return res.Revision()
}

// TestGetListCommit checks that the stand-in is compatible with the adapter
// store.Gateway.
func TestGetListCommit(t *testing.T) {
	_, g := serve(t, standkv.Config{}, clock.New())
	ctx := context.Background()
	_, err := g.Get(ctx, "a/1")
	if d := cmp.Diff(rcode.NotFound, rcode.Of(err)); d != "" {
		t.Error(d)
	}
	rev := put(t, g, "a/1", "one")
	last := put(t, g, "a/2", "two")
	put(t, g, "b/1", "other")
	kv, err := g.Get(ctx, "a/1")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(store.NewKV("a/1", []byte("one"), rev), kv, cmp.AllowUnexported(store.KV{})); d != "" {
		t.Error(d)
	}
	kvs, at, err := g.List(ctx, "a/")
	if err != nil {
		t.Fatal(err)
	}
	want := []store.KV{store.NewKV("a/1", []byte("one"), rev), store.NewKV("a/2", []byte("two"), last)}
	if d := cmp.Diff(want, kvs, cmp.AllowUnexported(store.KV{})); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(last+1, at); d != "" {
		t.Error(d)
	}
	res, err := g.Commit(ctx, store.NewTxn().If("a/1", rev).If("a/3", 0).Put("a/3", []byte("x")).Delete("a/1"))
	if err != nil || !res.Succeeded() {
		t.Fatalf("done=%v err=%v", res.Succeeded(), err)
	}
	res, err = g.Commit(ctx, store.NewTxn().If("a/1", rev).Put("a/1", []byte("late")))
	if err != nil || res.Succeeded() {
		t.Errorf("a transaction on an old revision: done=%v err=%v", res.Succeeded(), err)
	}
}

// watch sends the key of each change to the channel and closes it when the watch ends.
func watch(ctx context.Context, g *store.Gateway, from int64) (<-chan string, <-chan error) {
	keys, ended := make(chan string, 100), make(chan error, 1)
	go func() {
		_, err := g.Watch(ctx, "w/", from, func(c store.Change) {
			if c.Deleted() {
				keys <- "-" + c.KV().Key()
				return
			}
			keys <- c.KV().Key()
		})
		ended <- err
		close(keys)
	}()
	return keys, ended
}

func take(keys <-chan string, n int) []string {
	var out []string
	for range n {
		out = append(out, <-keys)
	}
	return out
}

// TestWatchResume checks that a resumed watch neither misses nor repeats changes, and
// that a watch is no longer counted after its client has disconnected.
func TestWatchResume(t *testing.T) {
	srv, g := serve(t, standkv.Config{}, clock.New())
	first := put(t, g, "w/1", "1")
	put(t, g, "other", "x")
	ctx, cancel := context.WithCancel(context.Background())
	keys, ended := watch(ctx, g, first)
	got := take(keys, 1)
	put(t, g, "w/2", "2")
	got = append(got, take(keys, 1)...)
	if d := cmp.Diff([]string{"w/1", "w/2"}, got); d != "" {
		t.Error(d)
	}
	cancel()
	<-ended
	last := put(t, g, "w/3", "3")
	if _, err := g.Commit(context.Background(), store.NewTxn().Delete("w/1")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel = context.WithCancel(context.Background())
	keys, ended = watch(ctx, g, last)
	if d := cmp.Diff([]string{"w/3", "-w/1"}, take(keys, 2)); d != "" {
		t.Error(d)
	}
	cancel()
	<-ended
	for srv.Stats().Watches != 0 {
		runtime.Gosched()
	}
}

// TestWatchCompacted checks that a watch from a compacted revision fails instead of
// silently skipping changes, and that its error differs from that of a broken stream, after
// which the caller resumes the watch instead of listing the keys again.
func TestWatchCompacted(t *testing.T) {
	_, g := serve(t, standkv.Config{LogEntries: 2}, clock.New())
	first := put(t, g, "w/1", "1")
	for range 3 {
		put(t, g, "w/1", "2")
	}
	keys, ended := watch(context.Background(), g, first)
	if d := cmp.Diff(rcode.NotFound, rcode.Of(<-ended)); d != "" {
		t.Error(d)
	}
	if _, open := <-keys; open {
		t.Error("changes after a gap were reported")
	}
}

// TestWatchWholeTransactions guards against a transaction of which a client receives only the first key,
// because its stream is cut between two messages and it resumes after the revision of that key.
func TestWatchWholeTransactions(t *testing.T) {
	srv := standkv.New(standkv.Config{}, clock.New())
	addr := listen(t, srv)
	g := gateway(t, addr)
	request := fmt.Sprintf(`{"create_request":{"key":%q,"range_end":%q,"start_revision":"2"}}`, base64.StdEncoding.EncodeToString([]byte("w/")),
		base64.StdEncoding.EncodeToString(store.PrefixEnd("w/")))
	resp, err := http.Post("http://"+addr.String()+"/v3/watch", "application/json", strings.NewReader(request))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	first := store.NewTxn().Put("w/b", nil).Put("other", nil).Put("w/a", nil)
	second := store.NewTxn().Put("w/c", nil).Delete("w/a").Put("w/b", nil)
	for _, txn := range []*store.Txn{first, second} {
		if _, err := g.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
	var got [][]string
	for stream := json.NewDecoder(resp.Body); len(got) < 2; {
		var message struct {
			Result struct {
				Events []struct {
					KV struct {
						Key []byte `json:"key"`
					} `json:"kv"`
				} `json:"events"`
			} `json:"result"`
		}
		if err := stream.Decode(&message); err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, e := range message.Result.Events {
			keys = append(keys, string(e.KV.Key))
		}
		if len(keys) > 0 {
			got = append(got, keys)
		}
	}
	if d := cmp.Diff([][]string{{"w/b", "w/a"}, {"w/c", "w/a", "w/b"}}, got); d != "" {
		t.Errorf("keys in each message (-want +got):\n%s", d)
	}
}

// TestLostReply checks that the adapter reports a lost reply as an unknown outcome and
// does not send the write again.
func TestLostReply(t *testing.T) {
	srv, g := serve(t, standkv.Config{}, clock.New())
	ctx := context.Background()
	srv.SetControl(standkv.Control{LoseReplyEvery: 2, Seed: 1})
	var got []rcode.Code
	for range 4 {
		_, err := g.Commit(ctx, store.NewTxn().Put("k", []byte("v")))
		got = append(got, rcode.Of(err))
	}
	want := []rcode.Code{rcode.OutcomeUnknown, rcode.OK, rcode.OutcomeUnknown, rcode.OK}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	var revs []int64
	for _, w := range srv.History("k", 0) {
		revs = append(revs, w.Revision)
	}
	if d := cmp.Diff([]int64{2, 3, 4, 5}, revs); d != "" {
		t.Errorf("writes applied:\n%s", d)
	}
	if d := cmp.Diff(int64(2), srv.Stats().LostReplies); d != "" {
		t.Error(d)
	}
}

// TestDown checks that an outage ends open watches and that writes during it are not
// applied.
func TestDown(t *testing.T) {
	srv, g := serve(t, standkv.Config{}, clock.New())
	ctx := context.Background()
	rev := put(t, g, "w/1", "1")
	keys, ended := watch(ctx, g, rev)
	take(keys, 1)
	srv.SetControl(standkv.Control{Down: true})
	if d := cmp.Diff(rcode.StoreUnavailable, rcode.Of(<-ended)); d != "" {
		t.Errorf("open watch:\n%s", d)
	}
	if _, err := g.Commit(ctx, store.NewTxn().Put("w/1", []byte("2"))); err == nil {
		t.Error("a write succeeded")
	}
	if _, err := g.Watch(ctx, "w/", rev, func(store.Change) { t.Error("a change was reported") }); err == nil {
		t.Error("a watch ended without an error")
	}
	srv.SetControl(standkv.Control{})
	kv, err := g.Get(ctx, "w/1")
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff("1", string(kv.Value())); d != "" {
		t.Error(d)
	}
}

// waitReportingClock sends the duration of each wait to a channel, so that a test can
// advance the clock once the server waits.
type waitReportingClock struct {
	*clock.Fake
	waits chan time.Duration
}

func newWaitReportingClock() waitReportingClock {
	return waitReportingClock{clock.NewFake(time.UnixMilli(1_800_000_000_000)), make(chan time.Duration, 100)}
}

func (g waitReportingClock) After(d time.Duration) <-chan time.Time {
	ch := g.Fake.After(d)
	g.waits <- d
	return ch
}

// TestSlow checks that a delayed call is processed after the delay, not before.
func TestSlow(t *testing.T) {
	clk := newWaitReportingClock()
	srv, g := serve(t, standkv.Config{}, clk)
	srv.SetControl(standkv.Control{SlowMS: 700})
	done := make(chan error, 1)
	go func() {
		_, err := g.Commit(context.Background(), store.NewTxn().Put("k", nil))
		done <- err
	}()
	if d := cmp.Diff(700*time.Millisecond, <-clk.waits); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(0, len(srv.History("", 0))); d != "" {
		t.Error(d)
	}
	clk.Advance(700 * time.Millisecond)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestRates checks that calls above the rate of the platform's service are refused.
func TestRates(t *testing.T) {
	clk := newWaitReportingClock()
	srv, g := serve(t, standkv.Config{WritesPerSecond: 3, ReadsPerSecond: 5}, clk)
	ctx := context.Background()
	second := func() (reads, writes int) {
		for range 10 {
			if _, _, err := g.List(ctx, ""); err == nil {
				reads++
			}
			_, err := g.Commit(ctx, store.NewTxn().Put("k", nil))
			if err == nil {
				writes++
			} else if !rcode.Is(err, rcode.StoreUnavailable) {
				t.Error(err)
			}
		}
		return reads, writes
	}
	for range 2 {
		reads, writes := second()
		if d := cmp.Diff([]int{5, 3}, []int{reads, writes}); d != "" {
			t.Error(d)
		}
		clk.Advance(time.Second)
	}
	s := srv.Stats()
	got := map[string]int64{"refused": s.Refused, "reads": s.Reads, "writes": s.Writes, "peak": int64(s.PeakReadsPerSec)}
	if d := cmp.Diff(map[string]int64{"refused": 24, "reads": 10, "writes": 6, "peak": 5}, got); d != "" {
		t.Error(d)
	}
}
