package main

const outManual = `Takes a data centre out of service: reads and verifies the bundle in force, makes
the next version with the data centre out, signs and rolls it. No task starts
there any more a few seconds after the version is published; tasks that run and
responses continue. The last data centre in service cannot be taken out.

Examples:

  limctl out dc2 --key-file ana.key
  limctl out dc2 --key-file ana.key --rebase 3`

type outCmd struct {
	DataCentre string `arg:"" name:"datacentre" help:"Name of the data centre."`
	changeFlags
}

// Help returns the manual.
func (*outCmd) Help() string { return outManual }

// Run takes the data centre out.
func (cmd *outCmd) Run(a *app) error {
	return a.change(cmd.changeFlags, "take "+cmd.DataCentre+" out of service", inServiceEdit(cmd.DataCentre, false))
}
