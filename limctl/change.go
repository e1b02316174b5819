package main

import (
	"fmt"
	"io"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// changeFlags are the flags shared by revoke, out and in, each of which publishes
// one change to the bundle in force.
type changeFlags struct {
	KeyFile []string      `help:"Files with approvers' private keys." placeholder:"FILE"`
	Author  string        `help:"Author of the new version (default: the first approver)."`
	Comment string        `help:"Comment of the new version (default: a description of the change)."`
	Wait    time.Duration `help:"Maximum time to wait until the version is in force." default:"90s"`
	Rebase  int           `help:"How many times to reapply the change when another operator publishes first."`
	Save    string        `help:"Write the signed bundle to this file for another approver instead of publishing it." placeholder:"FILE"`
}

// change applies edit to the bundle in force, signs the result and rolls it out.
// edit must be valid on any version, because --rebase reapplies it to the version
// that another operator published first.
func (a *app) change(flags changeFlags, comment string, edit func(*policy.Document) error) error {
	list, err := a.requireApprovers()
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
	for retriesLeft := flags.Rebase; ; retriesLeft-- {
		err := a.changeOnce(flags, list, keys, edit)
		if retriesLeft <= 0 || !rcode.Is(err, rcode.BundleConflict) {
			return err
		}
		a.progress("%s; reapplying the change to that version", err)
	}
}

func (a *app) changeOnce(flags changeFlags, list policy.Approvers, keys []approverKey, edit func(*policy.Document) error) error {
	f, old, err := a.current()
	if err != nil {
		return err
	}
	if old == nil {
		return rcode.New(rcode.NoPolicy, "no bundle has been published yet")
	}
	r := &rollout{app: a, old: old, wait: flags.Wait}
	if r.signed, err = f.nextVersion(flags, edit); err != nil {
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

// save writes the signed bundle to a file, so that another approver can sign it,
// and prints the changes that it makes.
func (r *rollout) save(file string) error {
	if err := writeFileAtomic(file, r.raw); err != nil {
		return err
	}
	changes := policy.Diff(r.old, r.bundle)
	result := struct {
		signResult
		Changes []changeDoc `json:"changes"`
	}{newSignResult(r.signed, r.bundle.Version(), len(r.raw), file), changeDocs(changes)}
	return r.app.printResult(result, func(w io.Writer) {
		fmt.Fprintf(w, "version %d changes:\n%s", r.bundle.Version(), formatChanges(changes))
		result.print(w)
	})
}

// nextVersion returns the next version of the bundle with edit applied. It is not
// signed yet.
func (f *bundleFile) nextVersion(flags changeFlags, edit func(*policy.Document) error) (*policy.Signed, error) {
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

func setInService(name string, in bool) func(*policy.Document) error {
	return func(d *policy.Document) error { return d.SetInService(name, in) }
}
