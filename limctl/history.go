package main

import (
	"fmt"
	"io"
	"strings"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const historyManual = `Lists the published versions with author, times and comment. With a version it
prints that version's document as it was signed, for example to make a new version
from it: a version never goes back, so an old state returns as a new version.

Examples:

  limctl history
  limctl history 6 > bundle.json`

type historyCmd struct {
	Version int64 `arg:"" optional:"" help:"Version to print."`
}

// Help returns the manual.
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
		return cmd.one(a)
	}
	var h historyState
	if err := a.client.get("/v1/bundles", &h); err != nil {
		return err
	}
	return a.emit(h, func(w io.Writer) { h.print(w) })
}

func (cmd *historyCmd) one(a *app) error {
	f, err := a.load(fmt.Sprintf("v%d", cmd.Version))
	if err != nil {
		return err
	}
	doc, err := policy.Unpack(f.doc)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n", strings.TrimRight(string(doc), "\n"))
	return rcode.Wrap(err, rcode.Internal, "historyCmd.one")
}

func (h historyState) print(w io.Writer) {
	rows := [][]string{{"VERSION", "AUTHOR", "PUBLISHED", "IN FORCE", "COMMENT"}}
	for _, v := range h.Versions {
		rows = append(rows, []string{num(v.Version), v.Author, wall(v.PublishedUnixMS), wall(v.InForceUnixMS), v.Comment})
	}
	table(w, rows...)
}
