package main

import "limpethitch.example/core/policy"

const revokeManual = `Revokes a team key everywhere: reads and verifies the bundle in force, marks the
key as revoked in the next version, signs it and rolls it out. Revoking a key stops
its new and waiting work; running work is not stopped. The id is never reused.

Where two approvers are needed, name both key files, or use --save and let the
other approver run sign and roll. With --rebase 3 the change is reapplied up
to 3 times if another operator publishes a version first.

Examples:

  limctl revoke reprints-1 --key-file ana.key
  limctl revoke reprints-1 --key-file ana.key --save revoke.json`

type revokeCmd struct {
	KeyID string `arg:"" name:"keyid" help:"Id of the key."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*revokeCmd) Help() string { return revokeManual }

// Run revokes the key.
func (cmd *revokeCmd) Run(a *app) error {
	edit := func(d *policy.Document) error { return d.Revoke(cmd.KeyID) }
	return a.change(cmd.changeFlags, "revoke key "+cmd.KeyID, edit)
}
