package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/lint"
	"limpethitch.example/platform/opconf"
)

const configManual = `Checks a configuration of the users' platform before it is written to the store.
Reports all findings at once: invalid values, entries that can never match and
values that contradict each other. With --in-force also what differs from the
configuration in force. FILE is "-" for the standard input. API keys are never
printed whole. Nothing is sent.

The exit code is 3 if there is an error, 12 if there are only warnings, else 0,
whether or not something differs.

Examples:

  limctl config next.json --in-force now.json
  limctl config - --output json < next.json`

type configCmd struct {
	File    string `arg:"" help:"Configuration to check, or - for the standard input."`
	InForce string `help:"Configuration in force." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*configCmd) Help() string { return configManual }

// errWarnings ends a check that found warnings only.
var errWarnings = errors.New("the configuration has warnings")

// configFindingDoc is one finding in the JSON output.
type configFindingDoc struct {
	Severity lint.Severity `json:"severity"`
	Path     string        `json:"path,omitempty"`
	Name     string        `json:"name,omitempty"`
	Text     string        `json:"text"`
}

// configChangeDoc is one difference in the JSON output.
type configChangeDoc struct {
	Kind lint.Kind `json:"kind"`
	Path string    `json:"path"`
	Old  string    `json:"old,omitempty"`
	New  string    `json:"new,omitempty"`
}

// configResult is the JSON output of config.
type configResult struct {
	File     string             `json:"file"`
	Version  int64              `json:"version,omitempty"`
	Findings []configFindingDoc `json:"findings"`
	Changes  []configChangeDoc  `json:"changes,omitempty"`
}

// Run prints the findings and the differences, and fails if there are findings.
func (cmd *configCmd) Run(a *app) error {
	raw, err := a.readInput(cmd.File)
	if err != nil {
		return err
	}
	var inForce []byte
	if cmd.InForce != "" {
		if inForce, err = os.ReadFile(cmd.InForce); err != nil {
			return rcode.Wrap(err, rcode.SettingInvalid, "configCmd.Run")
		}
		if !opconf.IsConfig(inForce) {
			return rcode.New(rcode.SettingInvalid, "--in-force: %s holds no configuration", cmd.InForce)
		}
	}
	report := opconf.Check(raw, inForce)
	result := configResult{File: cmd.File, Version: report.Version(), Findings: []configFindingDoc{}}
	for _, f := range report.Findings() {
		result.Findings = append(result.Findings, configFindingDoc{f.Severity(), f.Path(), f.Name(), f.Text()})
	}
	for _, c := range report.Changes() {
		result.Changes = append(result.Changes, configChangeDoc{c.Kind(), c.Path(), c.Old(), c.New()})
	}
	if err := a.printResult(result, func(w io.Writer) { result.print(w) }); err != nil {
		return err
	}
	if n := report.Count(lint.SeverityError); n > 0 {
		return rcode.New(rcode.BundleInvalid, "%s has errors: %d", cmd.File, n)
	}
	if len(result.Findings) > 0 {
		return errWarnings
	}
	return nil
}

// readInput reads a file, or the standard input if its name is "-".
func (a *app) readInput(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(a.stdin)
		return raw, rcode.Wrap(err, rcode.SettingInvalid, "app.readInput")
	}
	raw, err := os.ReadFile(name)
	return raw, rcode.Wrap(err, rcode.SettingInvalid, "app.readInput")
}

func (r configResult) print(w io.Writer) {
	for _, f := range r.Findings {
		place := ""
		if f.Path != "" {
			place = f.Path + ": "
		}
		if f.Name != "" {
			place = fmt.Sprintf("%s (%q): ", f.Path, f.Name)
		}
		fmt.Fprintf(w, "%s: %s: %s%s\n", r.File, f.Severity, place, f.Text)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(w, "%s: version %d has no findings\n", r.File, r.Version)
	}
	for _, c := range r.Changes {
		switch c.Kind {
		case lint.KindChanged:
			fmt.Fprintf(w, "%s: %s -> %s\n", c.Path, orNone(c.Old), orNone(c.New))
		default:
			fmt.Fprintf(w, "%s: %s\n", c.Path, c.Kind)
		}
	}
}

// orNone returns the text of a value, or a word for one that is not given.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
