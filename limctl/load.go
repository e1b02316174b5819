package main

import (
	"fmt"
	"os"
	"strings"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// bundleFile is a bundle that was read from a file or an entry VM. signed is nil if
// it was a bare document.
type bundleFile struct {
	ref    string
	doc    []byte
	signed *policy.Signed
	raw    []byte
}

// load reads a bundle: a file with a document or a signed bundle, "current" for the
// bundle in force, or a published version such as "v7".
func (a *app) load(ref string) (*bundleFile, error) {
	if path, ok := bundlePath(ref); ok {
		return a.fetch(ref, path)
	}
	raw, err := os.ReadFile(ref)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.SettingInvalid, "app.load")
	}
	if s, err := policy.ParseSigned(raw); err == nil && len(s.Bundle) > 0 {
		return &bundleFile{ref: ref, doc: s.Bundle, signed: s, raw: raw}, nil
	}
	return &bundleFile{ref: ref, doc: raw, raw: raw}, nil
}

func bundlePath(ref string) (string, bool) {
	if ref == "current" {
		return "/v1/bundles/current", true
	}
	digits, ok := strings.CutPrefix(ref, "v")
	if !ok || digits == "" || strings.Trim(digits, "0123456789") != "" {
		return "", false
	}
	return "/v1/bundles/" + digits, true
}

// fetch reads a published bundle and verifies its signatures if approvers are
// configured.
func (a *app) fetch(ref, path string) (*bundleFile, error) {
	raw, err := a.client.getRaw(path)
	if err != nil {
		return nil, err
	}
	s, err := policy.ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	list, ok, err := a.approvers()
	if err != nil {
		return nil, err
	}
	if ok {
		if err := s.Verify(list); err != nil {
			return nil, rcode.Wrap(err, rcode.BundleUnsigned, "the entry VM's bundle %s", ref)
		}
	}
	return &bundleFile{ref: ref, doc: s.Bundle, signed: s, raw: raw}, nil
}

// current returns the bundle in force, or nil if none has been published.
func (a *app) current() (*bundleFile, *policy.Bundle, error) {
	f, err := a.fetch("current", "/v1/bundles/current")
	if rcode.Is(err, rcode.NotFound) || rcode.Is(err, rcode.NoPolicy) {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := policy.Compile(f.doc)
	return f, b, err
}

func (f *bundleFile) compile() (*policy.Bundle, error) {
	b, err := policy.Compile(f.doc)
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Of(err), "%s", f.ref)
	}
	return b, nil
}

// changeDoc is one change between two bundles in the JSON output.
type changeDoc struct {
	Part policy.Part `json:"part"`
	Name string      `json:"name,omitempty"`
	Text string      `json:"text"`
}

func changeDocs(changes []policy.Change) []changeDoc {
	out := make([]changeDoc, 0, len(changes))
	for _, c := range changes {
		out = append(out, changeDoc{Part: c.Part(), Name: c.Name(), Text: c.Text()})
	}
	return out
}

func formatChanges(changes []policy.Change) string {
	if len(changes) == 0 {
		return "  no change\n"
	}
	var sb strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&sb, "  %s\n", c)
	}
	return sb.String()
}
