package main

import (
	"os"
	"strings"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Format selects how results are printed.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// cli defines the global flags and the subcommands for kong.
type cli struct {
	Entry     []string      `help:"Addresses of entry VMs, tried in this order." placeholder:"URL" default:"http://127.0.0.1:8080"`
	TokenFile string        `help:"File with the operator token, instead of LIMCTL_TOKEN." placeholder:"FILE"`
	Approvers string        `help:"Public keys of the approvers: name=base64,name=base64." placeholder:"LIST"`
	Approvals int           `help:"Number of approvers that must have signed." default:"1"`
	Output    Format        `help:"Output format: text for people, json for programs." enum:"text,json" default:"text"`
	Timeout   time.Duration `help:"Timeout of one call to an entry VM." default:"5s"`

	Keygen     keygenCmd     `cmd:"" help:"Create an approver's key pair."`
	Key        keyCmd        `cmd:"" help:"Create a team key."`
	Check      checkCmd      `cmd:"" help:"Report all faults of a bundle."`
	Config     configCmd     `cmd:"" help:"Check a configuration of the users' platform."`
	Diff       diffCmd       `cmd:"" help:"Describe the changes between two bundles."`
	Sign       signCmd       `cmd:"" help:"Sign a bundle."`
	Roll       rollCmd       `cmd:"" help:"Publish a signed bundle and wait until it is in force."`
	Status     statusCmd     `cmd:"" help:"Show VMs, shards, teams and queues."`
	History    historyCmd    `cmd:"" help:"List the published versions or print one."`
	Revoke     revokeCmd     `cmd:"" help:"Revoke a team key everywhere."`
	Out        outCmd        `cmd:"" help:"Take a data centre out of service."`
	In         inCmd         `cmd:"" help:"Bring a data centre back into service."`
	Explain    explainCmd    `cmd:"" help:"Explain the state of a job."`
	Trace      traceCmd      `cmd:"" help:"Print the timeline of one job from the logs of all VMs."`
	Usage      usageCmd      `cmd:"" help:"Show the past use of client accounts on the users' platform."`
	Doctor     doctorCmd     `cmd:"" help:"Check settings, entry VMs and the cell."`
	Completion completionCmd `cmd:"" help:"Print the completion script of a shell."`
}

// connect creates the API client from the flags. It opens no connection.
func (a *app) connect() error {
	token := os.Getenv("LIMCTL_TOKEN")
	if a.cli.TokenFile != "" {
		raw, err := readSecretFile(a.cli.TokenFile)
		if err != nil {
			return err
		}
		token = strings.TrimSpace(string(raw))
	}
	a.client = newClient(a.cli.Entry, token, a.cli.Timeout)
	return nil
}

// approvers returns the configured approvers; ok is false when there are none.
func (a *app) approvers() (list policy.Approvers, ok bool, err error) {
	if a.cli.Approvers == "" {
		return list, false, nil
	}
	list, err = policy.NewApprovers(a.cli.Approvers, a.cli.Approvals)
	return list, err == nil, err
}

// requireApprovers returns the approvers for commands that sign a change to the
// bundle in force, and fails if none are configured: without verification a
// process on the network could serve a forged bundle and have the operator sign it.
func (a *app) requireApprovers() (policy.Approvers, error) {
	list, ok, err := a.approvers()
	if err == nil && !ok {
		err = rcode.New(rcode.SettingInvalid, "set --approvers or LIMCTL_APPROVERS: the bundle in force must be verified before a change to it is signed")
	}
	return list, err
}
