package standkv_test

import (
	"context"
	"net"
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
	ln, err := httpd.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return srv, gateway(t, ln.Addr())
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
	if err != nil || !res.Done() {
		t.Fatalf("put %s: done=%v err=%v", key, res.Done(), err)
	}
	return res.Revision()
}

// Guards against a stand-in whose form differs from what the adapter speaks.
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
	if err != nil || !res.Done() {
		t.Fatalf("done=%v err=%v", res.Done(), err)
	}
	res, err = g.Commit(ctx, store.NewTxn().If("a/1", rev).Put("a/1", []byte("late")))
	if err != nil || res.Done() {
		t.Errorf("a transaction on an old revision: done=%v err=%v", res.Done(), err)
	}
}
