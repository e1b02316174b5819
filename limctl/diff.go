package main

import (
	"fmt"
	"io"

	"limpethitch.example/core/policy"
)

const diffManual = `Describes the changes from one bundle to another: shares and limits of teams, keys
granted and revoked, data centres taken out of and brought back into service, and
queues. OLD and NEW are files, "current" for the bundle in force, or a version
such as v7. The exit code is 0 whether or not there are changes.

Examples:

  limctl diff current bundle.json
  limctl diff v6 v7`

type diffCmd struct {
	Old string `arg:"" help:"Bundle before the change."`
	New string `arg:"" help:"Bundle after the change."`
}

// Help implements kong.HelpProvider.
func (*diffCmd) Help() string { return diffManual }

type diffResult struct {
	From    int64       `json:"from"`
	To      int64       `json:"to"`
	Changes []changeDoc `json:"changes"`
}

// Run compares the two bundles and prints the changes.
func (cmd *diffCmd) Run(a *app) error {
	before, err := a.compiled(cmd.Old)
	if err != nil {
		return err
	}
	after, err := a.compiled(cmd.New)
	if err != nil {
		return err
	}
	changes := policy.Diff(before, after)
	result := diffResult{From: before.Version(), To: after.Version(), Changes: changeDocs(changes)}
	return a.printResult(result, func(w io.Writer) {
		fmt.Fprintf(w, "version %d to %d:\n%s", result.From, result.To, formatChanges(changes))
	})
}

// compiled loads and compiles the bundle that ref names.
func (a *app) compiled(ref string) (*policy.Bundle, error) {
	f, err := a.load(ref)
	if err != nil {
		return nil, err
	}
	return f.compile()
}
