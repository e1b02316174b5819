// Command limctl is the operators' command-line tool. It creates keys, checks,
// compares and signs bundles, rolls them out and shows the state of the cell.
//
// # Usage
//
//	limctl check bundle.json
//	limctl sign bundle.json --key-file ana.key --out signed.json
//	limctl roll signed.json
//
// Each subcommand is in one file, which begins with its help text. Operators change
// the system only by rolling out a new version of the bundle; revoke, out and in
// each publish a version with one change.
package main

import (
	"crypto/rand"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

const description = `limctl is the operators' command line of limpethitch.

Every flag can be set by an environment variable. Secrets come only from files
or the environment: LIMCTL_TOKEN holds the operator token, LIMCTL_APPROVER_KEY
holds approvers' private keys in the form of key files, separated by commas.

Exit codes: 0 success; 1 internal error; 2 usage or settings; 3 the bundle or
configuration has faults; 4 signatures or private keys are missing or wrong;
5 another version was published first; 6 published, not yet in force; 7 the
operator token was refused; 8 no entry VM accepted the call, nothing changed;
9 outcome unknown; 10 doctor found a fault; 11 not found; 12 the configuration
has warnings only.`

func main() {
	a := &app{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, clock: clock.New(), random: rand.Reader}
	os.Exit(run(a, os.Args[1:]))
}

// run parses the arguments, runs the subcommand and returns the exit code.
func run(a *app, args []string) int {
	exited := false
	parser, err := kong.New(
		&a.cli,
		kong.Name("limctl"),
		kong.Description(description),
		kong.DefaultEnvars("LIMCTL"),
		kong.Writers(a.stdout, a.stderr),
		kong.Exit(func(int) { exited = true }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 80}),
	)
	if err != nil {
		return a.fail(rcode.Wrap(err, rcode.Internal, "main.run"))
	}
	a.parser = parser
	ctx, err := parser.Parse(args)
	if exited { // --help was given and printed.
		return exitOK
	}
	if err != nil {
		return a.fail(rcode.Wrap(err, rcode.SettingInvalid, "limctl --help shows the usage"))
	}
	if err := a.connect(); err != nil {
		return a.fail(err)
	}
	if err := ctx.Run(a); err != nil {
		return a.fail(err)
	}
	return exitOK
}

// app holds the dependencies of all subcommands. Tests replace the clock and the
// source of randomness.
type app struct {
	cli    cli
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	clock  clock.Clock
	random io.Reader
	parser *kong.Kong
	client *client
}
