package policy_test

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/policy"
)

func gzipped(t testing.TB, doc []byte) []byte {
	t.Helper()
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if _, err := zw.Write(doc); err != nil {
		t.Fatal(err)
	}
	if err := zw.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// Guards against faults that operators cannot find in their file, and against
// faults that are reported one at a time.
func TestInspect(t *testing.T) {
	tests := map[string]struct {
		doc  []byte
		want []string
	}{
		"none": {[]byte(valid), nil},
		"several at once": {
			replaced(t, `"version": 1`, `"version": 0`, `"share": 3`, `"share": -3`, `"class": "batch"`, `"class": "bulk"`),
			[]string{
				"line 2: version: must be positive",
				"line 9: teams[0].share: -3 is not within 1 to 1000000",
				`line 16: queues[1].class: "bulk" is not one of [interactive urgent service batch gang]`,
			},
		},
		"field left out": {replaced(t, "  \"author\": \"ana\",\n", ""), []string{"line 1: author: must name who wrote the bundle"}},
		"wrong type":     {replaced(t, `"share": 3`, `"share": "3"`), []string{"line 9: teams[0].share: string where whole number belongs"}},
		"author for the terminal": {
			replaced(t, `"author": "ana"`, `"author": "ana\u001b[2J"`), []string{"line 3: author: must not hold control characters"},
		},
		"wrong type in an array": {
			replaced(t, `["school"]`, `["school", 7]`), []string{"line 16: queues[1].teams[1]: number where string belongs"},
		},
		"not an object": {[]byte("[]"), []string{"line 1: document: array where object belongs"}},
		"field twice":   {replaced(t, `"share": 3`, `"share": 3, "share": 30`), []string{"line 9: teams[0].share: field stands twice"}},
		"field in another case": {
			replaced(t, `"share": 3`, `"Share": 3`), []string{"line 9: teams[0].Share: unknown field"},
		},
		"field with an escape": {
			replaced(t, `"share": 3`, `"share": 3, "sh\u0061re": 30`), []string{"line 9: teams[0].share: field stands twice"},
		},
		"two documents": {
			[]byte("{}\n{}"), []string{"line 2: document: invalid character '{' after top-level value"},
		},
		"key id in two teams": {
			replaced(t, `"school-1"`, `"window-1"`), []string{`line 12: teams[1].keys[0]: id "window-1" stands twice, first in team "window"`},
		},
		"two keys with one secret": {
			replaced(t, hash2, hash1),
			[]string{`line 12: teams[1].keys[0]: keys "window-1" and "school-1" hold the same secret, so revoking one leaves it working`},
		},
		"hash not hexadecimal": {
			replaced(t, hash2, "zz"+hash2[2:]), []string{"line 12: teams[1].keys[0].hash: must have 64 hexadecimal digits"},
		},
		"open queues of one service for two teams": {
			replaced(t, `{"name": "batches", "class": "batch", "teams": ["school"]}`,
				`{"name": "proofs", "class": "interactive", "service": "badges", "open": true, "team": "school"}`),
			[]string{`line 16: queues[1].team: queues "reprints" and "proofs" are both open for service "badges" but count for teams "window" and "school", so callers choose who pays`},
		},
		"open queue with a list of teams": {
			replaced(t, `"team": "window"}`, `"team": "window", "teams": ["window"]}`),
			[]string{"line 15: queues[0].teams: an open queue takes work from anyone and cannot list teams"},
		},
		"limit that a queue cannot meet": {
			replaced(t, `"requests": 200`, `"requests": 0`),
			[]string{`line 15: queues[0].team: team "window" has a limit of 0 requests, so the queue can never serve it`},
		},
		"suspended team": {
			replaced(t, `{"cpu_milli": 32000, "memory_mib": 65536, "accelerators": 2, "requests": 50}`,
				`{"cpu_milli": 0, "memory_mib": 0, "accelerators": 0, "requests": 0}`), nil,
		},
		"queue of an unknown team": {
			replaced(t, `["school"]`, `["school", "nobody", "school"]`),
			[]string{`line 16: queues[1].teams[1]: team "nobody" does not exist`, `line 16: queues[1].teams[2]: team "school" stands twice`},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, faults := policy.Inspect(tt.doc)
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}
