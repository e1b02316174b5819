package main

import (
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const rollManual = `Publishes a signed bundle through an entry VM and waits until it is in force:
every data centre in service has confirmed it, or its permission to run without
confirmation has expired. Each data centre is printed when it confirms.

The bundle's version is the one it was made from plus 1. If another operator
published a version in between, nothing changes and the error names that version
and its author. After a lost reply the published bytes are read to determine the
outcome. --entry may name several VMs; the next one is tried only if that cannot
publish a version twice.

If the file is already published, roll only waits until it is in force.

Examples:

  limctl roll signed.json
  limctl roll signed.json --wait 2m --output json`

type rollCmd struct {
	File string        `arg:"" help:"Signed bundle."`
	Wait time.Duration `help:"Maximum time to wait until the version is in force." default:"90s"`
}

// Help implements kong.HelpProvider.
func (*rollCmd) Help() string { return rollManual }

// Run publishes the bundle and waits until it is in force.
func (cmd *rollCmd) Run(a *app) error {
	f, err := a.load(cmd.File)
	if err != nil {
		return err
	}
	if f.signed == nil || len(f.signed.Signatures) == 0 {
		return rcode.New(rcode.BundleUnsigned, "%s is not signed", cmd.File)
	}
	bundle, err := f.compile()
	if err != nil {
		return err
	}
	if list, ok, err := a.approvers(); err != nil {
		return err
	} else if ok {
		if err := f.signed.Verify(list); err != nil {
			return err
		}
	}
	raw, err := f.signed.Marshal()
	if err != nil {
		return err
	}
	r := &rollout{app: a, bundle: bundle, signed: f.signed, raw: raw, wait: cmd.Wait}
	if err := r.prepare(); err != nil {
		return err
	}
	return r.run()
}

// prepare compares the bundle with the one in force, so that nothing is sent if the
// bundle is not a valid successor or is already published.
func (r *rollout) prepare() error {
	p := &publication{app: r.app, signed: r.signed, version: r.bundle.Version()}
	found, err := p.readPublished()
	if found == readBackFailed || found == readBackOther {
		return err
	}
	if found == readBackSame {
		r.published, r.old = true, r.bundle
		return nil
	}
	if _, r.old, err = r.app.current(); err != nil {
		return err
	}
	return policy.CheckSuccessor(r.old, r.bundle)
}
