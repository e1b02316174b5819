package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// TestWatchCutMessage guards against a part of a transaction that is passed on because the stream was
// cut within its message: whoever resumes after its revision would never receive the rest.
func TestWatchCutMessage(t *testing.T) {
	const (
		whole   = `{"result":{"events":[{"kv":{"key":"YQ==","mod_revision":"2"}},{"type":"DELETE","kv":{"key":"Yg==","mod_revision":"2"}}]}}` + "\n"
		partial = `{"result":{"events":[{"kv":{"key":"Yw==","mod_revision":"3"}},{"kv":{"key":`
	)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"result":{"created":true}}` + "\n" + whole + partial))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer srv.Close()
	g, err := store.New(store.Config{URL: srv.URL}, clock.New())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var got []string
	next, err := g.Watch(ctx, "", 1, func(c store.Change) { got = append(got, c.KV().Key()) })
	if d := cmp.Diff([]any{[]string{"a", "b"}, int64(3), rcode.StoreUnavailable}, []any{got, next, rcode.Of(err)}); d != "" {
		t.Errorf("changes, next revision, code (-want +got):\n%s", d)
	}
}
