package main

import (
	"fmt"
	"io"
	"strings"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const historyManual = `Lists the published versions with author, times and comment. With a version it
prints that version's document as it was signed. Version numbers only increase, so
an earlier state is restored by publishing its document as a new version.

Examples:

  limctl history
  limctl history 6 > bundle.json`

type historyCmd struct {
	Version int64 `arg:"" optional:"" help:"Version to print."`
}

// Help implements kong.HelpProvider.
func (*historyCmd) Help() string { return historyManual }

type versionState struct {
	Version         int64  `json:"version"`
	Author          string `json:"author"`
	Comment         string `json:"comment"`
	PublishedUnixMS int64  `json:"published_unix_ms"`
	InForceUnixMS   int64  `json:"in_force_unix_ms"`
}

type historyState struct {
	Versions []versionState `json:"versions"`
}

// Run lists the versions or prints one.
func (cmd *historyCmd) Run(a *app) error {
	if cmd.Version != 0 {
		return cmd.printVersion(a)
	}
	var h historyState
	if err := a.client.get("/v1/bundles", &h); err != nil {
		return err
	}
	return a.printResult(h, func(w io.Writer) { h.print(w) })
}

func (cmd *historyCmd) printVersion(a *app) error {
	f, err := a.load(fmt.Sprintf("v%d", cmd.Version))
	if err != nil {
		return err
	}
	doc, err := policy.Unpack(f.doc)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n", strings.TrimRight(string(doc), "\n"))
	return rcode.Wrap(err, rcode.Internal, "historyCmd.printVersion")
}

func (h historyState) print(w io.Writer) {
	rows := [][]string{{"VERSION", "AUTHOR", "PUBLISHED", "IN FORCE", "COMMENT"}}
	for _, v := range h.Versions {
		rows = append(rows, []string{formatInt(v.Version), v.Author, formatUnixMS(v.PublishedUnixMS), formatUnixMS(v.InForceUnixMS), v.Comment})
	}
	table(w, rows...)
}
