package main

import (
	"os"
	"strings"
	"time"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Format is how results are printed.
type Format string

// Formats of the output.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// cli is the grammar of the command line.
type cli struct {
	Entry     []string      `help:"Addresses of entry VMs, tried in this order." placeholder:"URL" default:"http://127.0.0.1:8080"`
	TokenFile string        `help:"File with the operator token, instead of LIMCTL_TOKEN." placeholder:"FILE"`
	Approvers string        `help:"Public keys of the approvers: name=base64,name=base64." placeholder:"LIST"`
	Approvals int           `help:"How many approvers must have signed." default:"1"`
	Output    Format        `help:"Output for people (text) or programs (json)." enum:"text,json" default:"text"`
	Timeout   time.Duration `help:"Longest wait for one reply of an entry VM." default:"5s"`

	Keygen     keygenCmd     `cmd:"" help:"Create an approver's key pair."`
	Key        keyCmd        `cmd:"" help:"Create a team key."`
	Check      checkCmd      `cmd:"" help:"Report all faults of a bundle."`
	Diff       diffCmd       `cmd:"" help:"Show in words what changes between two bundles."`
	Sign       signCmd       `cmd:"" help:"Sign a bundle."`
	Roll       rollCmd       `cmd:"" help:"Publish a signed bundle and wait until it is in force."`
	Status     statusCmd     `cmd:"" help:"Show VMs, shards, teams and queues."`
	History    historyCmd    `cmd:"" help:"List the published versions or print one."`
	Revoke     revokeCmd     `cmd:"" help:"Revoke a team key everywhere."`
	Out        outCmd        `cmd:"" help:"Take a data centre out of service."`
	In         inCmd         `cmd:"" help:"Bring a data centre back into service."`
	Explain    explainCmd    `cmd:"" help:"Explain the state of a job."`
	Trace      traceCmd      `cmd:"" help:"Print the story of one job from the logs of all VMs."`
	Doctor     doctorCmd     `cmd:"" help:"Check settings, entry VMs and the cell."`
	Completion completionCmd `cmd:"" help:"Print the completion script of a shell."`
}

// connect prepares the client; it calls nobody yet.
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

// needApprovers returns the approvers for commands that sign a change of the
// bundle in force. Without them a process on the network could hand out a forged
// bundle and have the operator sign it.
func (a *app) needApprovers() (policy.Approvers, error) {
	list, ok, err := a.approvers()
	if err == nil && !ok {
		err = rcode.New(rcode.SettingInvalid, "set --approvers or LIMCTL_APPROVERS: the bundle in force must be verified before a change of it is signed")
	}
	return list, err
}
