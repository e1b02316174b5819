package policy_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// FuzzOpen guards against a damaged signed form that crashes a VM, or that opens
// although its signed bytes differ from what was signed.
func FuzzOpen(f *testing.F) {
	good := signed(f, []byte(valid), "ana", "ben")
	f.Add(good)
	for name, tt := range badInputs(f) {
		if name != "larger than the store" && name != "decompression bomb" { // Too large to vary.
			f.Add(tt.raw)
		}
	}
	list := approvers(f, 2, "ana", "ben")
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := policy.Open(raw, list)
		if err != nil {
			if code := rcode.Of(err); code != rcode.BundleInvalid && code != rcode.BundleUnsigned {
				t.Errorf("error with code %s: %v", code, err)
			}
			return
		}
		s, err := policy.ParseSigned(raw)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(s.Bundle, []byte(valid)) || b.Version() != 1 {
			t.Errorf("opened bytes that nobody signed: %q", s.Bundle)
		}
	})
}

// FuzzDecode guards against a document that crashes the check or that reads
// differently after it was written again, as limctl key --into does.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add(gzipped(f, []byte(valid)))
	for _, pairs := range [][]string{
		{`"share": 1`, `"shrae": 1`},
		{`"share": 3`, `"share": 3, "share": 30`},
		{`"share": 3`, `"share": "3"`},
		{`"teams": [`, `"teams": null, "x": [`},
		{`"author": "ana"`, `"author": "a\u0000\"\\"`},
		{`"author": "ana"`, `"\"author": "ana"`},
		{valid, `[]`},
		{valid, `{"":1}`},
		{valid, `null`},
		{valid, strings.Repeat(`{"teams":`, 100)},
		{valid, `{"teams":[{"keys":[{}]}],"queues":[{}],"data_centres":[{}]}`},
	} {
		f.Add(replaced(f, pairs...))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, faults := policy.Inspect(raw)
		for _, x := range faults {
			if x.Field() == "" || x.Text() == "" || x.Line() < 0 {
				t.Errorf("fault without field or text: %q", x.String())
			}
		}
		d, err := policy.Decode(raw)
		if err != nil {
			return
		}
		again, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		d2, err := policy.Decode(again)
		if err != nil {
			t.Fatalf("%v in %s", err, again)
		}
		again2, err := d2.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(string(again), string(again2)); d != "" {
			t.Error(d)
		}
	})
}
