package main

import (
	"fmt"
	"io"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// changeFlags are the flags of the commands that make one small change to the
// bundle in force.
type changeFlags struct {
	KeyFile []string      `help:"Files with approvers' private keys." placeholder:"FILE"`
	Author  string        `help:"Author of the new version; the first approver by default."`
	Comment string        `help:"Comment of the new version; the change by default."`
	Wait    time.Duration `help:"Longest wait until it is in force." default:"90s"`
	Rebase  int           `help:"How often to make the change again when another operator was first."`
	Save    string        `help:"Write the signed form here for another approver, and do not roll." placeholder:"FILE"`
}

// change makes one small change on top of the bundle in force, signs and rolls
// it. The change is safe to repeat on another version, which --rebase does.
func (a *app) change(flags changeFlags, comment string, edit func(*policy.Document) error) error {
	list, err := a.needApprovers()
	if err != nil {
		return err
	}
	keys, err := loadKeys(flags.KeyFile)
	if err != nil {
		return err
	}
	if flags.Author == "" {
		flags.Author = keys[0].name
	}
	if flags.Comment == "" {
		flags.Comment = comment
	}
	for left := flags.Rebase; ; left-- {
		err := a.changeOnce(flags, list, keys, edit)
		if left <= 0 || !rcode.Is(err, rcode.BundleConflict) {
			return err
		}
		a.progress("%s; making the change again on top of it", err)
	}
}

func (a *app) changeOnce(flags changeFlags, list policy.Approvers, keys []approverKey, edit func(*policy.Document) error) error {
	f, old, err := a.current()
	if err != nil {
		return err
	}
	if old == nil {
		return rcode.New(rcode.NoPolicy, "no bundle was published yet")
	}
	r := &rollout{app: a, old: old, wait: flags.Wait}
	if r.signed, err = f.edited(flags, edit); err != nil {
		return err
	}
	if r.raw, err = a.sign(r.signed, keys); err != nil {
		return err
	}
	if r.bundle, err = policy.Compile(r.signed.Bundle); err != nil {
		return err
	}
	if err := policy.CheckSuccessor(old, r.bundle); err != nil {
		return err
	}
	if flags.Save != "" {
		return r.save(flags.Save)
	}
	if err := r.signed.Verify(list); err != nil {
		return err
	}
	return r.run()
}

// save writes the signed form for another approver.
func (r *rollout) save(file string) error {
	if err := replaceFile(file, r.raw); err != nil {
		return err
	}
	changes := policy.Diff(r.old, r.bundle)
	result := struct {
		signResult
		Changes []changeDoc `json:"changes"`
	}{newSignResult(r.signed, r.bundle.Version(), len(r.raw), file), changeDocs(changes)}
	return r.app.emit(result, func(w io.Writer) {
		fmt.Fprintf(w, "version %d changes:\n%s", r.bundle.Version(), changeLines(changes))
		result.print(w)
	})
}

// edited returns the next version with the change, not yet signed.
func (f *bundleFile) edited(flags changeFlags, edit func(*policy.Document) error) (*policy.Signed, error) {
	doc, err := policy.Decode(f.doc)
	if err != nil {
		return nil, err
	}
	if err := edit(doc); err != nil {
		return nil, err
	}
	doc.Version++
	doc.Author = flags.Author
	doc.Comment = flags.Comment
	raw, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	return policy.NewSigned(raw)
}

func inServiceEdit(name string, in bool) func(*policy.Document) error {
	return func(d *policy.Document) error { return d.SetInService(name, in) }
}
