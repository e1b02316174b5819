package fleet_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/fleet"
	"limpethitch.example/core/rcode"
)

const (
	worker = `{"targets":["127.0.0.1:1"],"labels":{"id":"w2","role":"worker","data_centre":"a","rack":"r1",` +
		`"cpu_milli":"32000","memory_mib":"65536","accelerators":"2"}}`
	backend = `{"targets":["127.0.0.1:2"],"labels":{"id":"b1","role":"backend","data_centre":"a","state":"leaving",` +
		`"service":"badges","slots":"8","connections":"64"}}`
	first = `{"targets":["127.0.0.1:3"],"labels":{"id":"w1","role":"worker","data_centre":"b"}}`
)

func group(labels string) string {
	return `[` + first + `,{"targets":["127.0.0.1:9"],"labels":{` + labels + `}}]`
}

// Guards against a document that is read in part: the VMs that are missing from the list would
// look as if they had ended.
func TestParseFaults(t *testing.T) {
	tests := map[string]string{
		"cut":              `[` + worker,
		"not a list":       `{}`,
		"empty, not JSON ": ``,
		"deeply nested":    strings.Repeat("[", 1e6) + strings.Repeat("]", 1e6),
	}
	for name, doc := range tests {
		t.Run(name, func(t *testing.T) {
			list, err := fleet.Parse([]byte(doc))
			if d := cmp.Diff(rcode.BadRequest, rcode.Of(err)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(0, list.Len()); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against one odd entry that keeps the whole list from being followed, is used as a VM, or
// makes VMs look as if they had ended: the one whose entry it is or, if that is not known, any.
func TestOddEntry(t *testing.T) {
	const earlier = `{"targets":["127.0.0.1:8"],"labels":{"id":"x","role":"worker","data_centre":"a"}},` +
		`{"targets":["127.0.0.1:7"],"labels":{"id":"y","role":"worker","data_centre":"a"}}`
	former, err := fleet.Parse([]byte(`[` + earlier + `]`))
	if err != nil {
		t.Fatal(err)
	}
	knownID, anyID := []string{"w1", "x"}, []string{"w1", "x", "y"}
	tests := map[string]struct {
		doc  string
		want []string // ids after the earlier list, which has x and y
	}{
		"none":             {doc: `[` + first + `]`, want: []string{"w1"}},
		"no id":            {doc: group(`"role":"worker","data_centre":"a"`), want: anyID},
		"no data centre":   {doc: group(`"id":"x","role":"worker"`), want: knownID},
		"unknown role":     {doc: group(`"id":"x","role":"router","data_centre":"a"`), want: knownID},
		"not a number":     {doc: group(`"id":"x","role":"worker","data_centre":"a","cpu_milli":"many"`), want: knownID},
		"negative number":  {doc: group(`"id":"x","role":"worker","data_centre":"a","memory_mib":"-1"`), want: knownID},
		"huge number":      {doc: group(`"id":"x","role":"worker","data_centre":"a","slots":"1099511627777"`), want: knownID},
		"bad after good":   {doc: group(`"id":"x","role":"worker","data_centre":"a","cpu_milli":"x","memory_mib":"1"`), want: knownID},
		"no target":        {doc: `[` + first + `,{"targets":[],"labels":{"id":"x","role":"worker","data_centre":"a"}}]`, want: knownID},
		"several targets":  {doc: `[` + first + `,{"targets":["127.0.0.1:1","127.0.0.1:2"],"labels":{"id":"x","role":"worker","data_centre":"a"}}]`, want: knownID},
		"another type":     {doc: `[` + first + `,7]`, want: anyID},
		"label of a type":  {doc: group(`"id":7,"role":"worker","data_centre":"a"`), want: anyID},
		"deep, but a list": {doc: `[` + first + `,` + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + `]`, want: anyID},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			list, err := fleet.Parse([]byte(tt.doc))
			if err != nil {
				t.Fatal(err)
			}
			if _, ok := list.Find("x"); ok {
				t.Error("the odd entry is used as a VM")
			}
			var got []string
			for _, v := range list.Since(former).WithRole(fleet.RoleWorker) {
				got = append(got, v.ID())
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against a label that is read into the wrong field.
func TestParse(t *testing.T) {
	list, err := fleet.Parse([]byte(`[` + worker + `,` + backend + `,` + first + `]`))
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, v := range list.WithRole(fleet.RoleWorker) {
		ids = append(ids, v.ID())
	}
	if d := cmp.Diff([]string{"w1", "w2"}, ids); d != "" {
		t.Error(d)
	}
	w, ok := list.Find("w2")
	got := []any{
		ok, w.Addr(), w.Role(), w.DataCentre(), w.Rack(), w.State(), w.CPUMilli(), w.MemoryMiB(), w.Accelerators(),
	}
	want := []any{
		true, "127.0.0.1:1", fleet.RoleWorker, "a", "r1", fleet.StateLive, int64(32000), int64(65536), int64(2),
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	b, ok := list.Find("b1")
	got = []any{ok, b.Role(), b.State(), b.Service(), b.Slots(), b.Connections()}
	want = []any{true, fleet.RoleBackend, fleet.StateLeaving, "badges", 8, 64}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if _, ok := list.Find("w3"); ok {
		t.Error("a VM that is not on the list was found")
	}
}

// Guards against a failed read that returns an empty list without an error.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   rcode.Code
		vms    int
	}{
		"list":   {200, `[` + worker + `]`, rcode.OK, 1},
		"empty":  {200, `[]`, rcode.OK, 0},
		"fault":  {500, `[` + worker + `]`, rcode.StoreUnavailable, 0},
		"broken": {200, `[` + worker, rcode.BadRequest, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
					ctx.SetStatusCode(tt.status)
					ctx.SetBodyString(tt.body)
				})
			}()
			list, err := fleet.New("http://" + ln.Addr().String() + "/vms").Read(context.Background())
			if d := cmp.Diff(tt.want, rcode.Of(err)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(tt.vms, list.Len()); d != "" {
				t.Error(d)
			}
		})
	}
}
