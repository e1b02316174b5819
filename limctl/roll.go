package main

import (
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const rollManual = `Publishes a signed bundle through an entry VM and waits until it is in force:
every data centre in service has confirmed it, or its permission to run without
confirmation has expired. Each data centre is shown when it confirms.

The bundle's version is the one it was made from plus 1. When another operator
published a version in between, nothing changes and the winner is named. A lost
reply is settled by reading the published bytes; --entry may name several VMs,
and the next one is tried only where that cannot publish anything twice.

Rolling a file that is published already only waits for it.

Examples:

  limctl roll signed.json
  limctl roll signed.json --wait 2m --output json`

type rollCmd struct {
	File string        `arg:"" help:"Signed bundle."`
	Wait time.Duration `help:"Longest wait until it is in force." default:"90s"`
}

// Help returns the manual.
func (*rollCmd) Help() string { return rollManual }

// Run publishes the bundle.
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

// prepare compares the bundle with the one in force. Nothing is sent when it
// cannot follow it or is published already.
func (r *rollout) prepare() error {
	p := &publication{app: r.app, signed: r.signed, version: r.bundle.Version()}
	found, err := p.find()
	if found == findingUnread || found == findingOther {
		return err
	}
	if found == findingSame {
		r.published, r.old = true, r.bundle
		return nil
	}
	if _, r.old, err = r.app.current(); err != nil {
		return err
	}
	return policy.CheckSuccessor(r.old, r.bundle)
}
