package main

const inManual = `Brings a data centre back into service: reads and verifies the bundle in force,
makes the next version with the data centre in service, signs it and rolls it out.

Example:

  limctl in dc2 --key-file ana.key`

type inCmd struct {
	DataCentre string `arg:"" name:"datacentre" help:"Name of the data centre."`
	changeFlags
}

// Help implements kong.HelpProvider.
func (*inCmd) Help() string { return inManual }

// Run brings the data centre back into service.
func (cmd *inCmd) Run(a *app) error {
	return a.change(cmd.changeFlags, "bring "+cmd.DataCentre+" back into service", setInService(cmd.DataCentre, true))
}
