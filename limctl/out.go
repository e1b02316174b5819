package main

const outManual = `Takes a data centre out of service: reads and verifies the bundle in force, makes
the next version with the data centre out of service, signs it and rolls it out.
A few seconds after the version is published no more tasks start there; running
tasks and responses continue. The last data centre in service cannot be taken out.

Examples:

  limctl out dc2 --key-file ana.key
  limctl out dc2 --key-file ana.key --rebase 3`

type outCmd struct {
	DataCentre string `arg:"" name:"datacentre" help:"Name of the data centre."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*outCmd) Help() string { return outManual }

// Run takes the data centre out of service.
func (cmd *outCmd) Run(a *app) error {
	return a.change(cmd.changeFlags, "take "+cmd.DataCentre+" out of service", setInService(cmd.DataCentre, false))
}
