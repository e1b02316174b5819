package main

import (
	"fmt"
	"io"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const checkManual = `Reports all faults of a bundle, each with its line and field. FILE is a bundle
document or a signed bundle, whose signatures are verified if approvers are
configured. With --after the bundle is also checked as the successor of another
one: a file, "current" for the one in force, or a version such as v7.

Examples:

  limctl check bundle.json
  limctl check bundle.json --after current`

type checkCmd struct {
	File  string `arg:"" help:"Bundle to check."`
	After string `help:"Bundle that this one must succeed." placeholder:"REF"`
}

// Help implements kong.HelpProvider.
func (*checkCmd) Help() string { return checkManual }

// faultDoc is one fault in the JSON output.
type faultDoc struct {
	Code  rcode.Code `json:"code"`
	Line  int        `json:"line,omitempty"`
	Field string     `json:"field,omitempty"`
	Text  string     `json:"text"`
}

// checkResult is the JSON output of check.
type checkResult struct {
	File    string     `json:"file"`
	Version int64      `json:"version,omitempty"`
	Faults  []faultDoc `json:"faults"`
}

// Run verifies the signatures, reports the faults and fails if there are any.
func (cmd *checkCmd) Run(a *app) error {
	f, err := a.load(cmd.File)
	if err != nil {
		return err
	}
	list, ok, err := a.approvers()
	if err != nil {
		return err
	}
	if f.signed != nil && ok {
		if err := f.signed.Verify(list); err != nil {
			return err
		}
	}
	result, err := cmd.inspect(a, f)
	if err != nil {
		return err
	}
	err = a.printResult(result, func(w io.Writer) { result.print(w) })
	if err == nil && len(result.Faults) > 0 {
		return rcode.New(result.Faults[0].Code, "%s has faults: %d", cmd.File, len(result.Faults))
	}
	return err
}

func (cmd *checkCmd) inspect(a *app, f *bundleFile) (checkResult, error) {
	result := checkResult{File: cmd.File, Faults: []faultDoc{}}
	doc, faults := policy.Inspect(f.doc)
	if doc != nil {
		result.Version = doc.Version
	}
	for _, x := range faults {
		result.Faults = append(result.Faults, faultDoc{rcode.BundleInvalid, x.Line(), x.Field(), x.Text()})
	}
	if cmd.After == "" || len(faults) > 0 {
		return result, nil
	}
	bundle, err := f.compile()
	if err != nil {
		return result, err
	}
	old, err := a.load(cmd.After)
	if err != nil {
		return result, err
	}
	before, err := old.compile()
	if err != nil {
		return result, err
	}
	for _, r := range policy.SuccessorViolations(before, bundle) {
		result.Faults = append(result.Faults, faultDoc{Code: r.Code(), Text: r.Text()})
	}
	return result, nil
}

func (r checkResult) print(w io.Writer) {
	for _, f := range r.Faults {
		switch {
		case f.Line > 0:
			fmt.Fprintf(w, "%s:%d: %s: %s\n", r.File, f.Line, f.Field, f.Text)
		case f.Field != "":
			fmt.Fprintf(w, "%s: %s: %s\n", r.File, f.Field, f.Text)
		default:
			fmt.Fprintf(w, "%s: %s\n", r.File, f.Text)
		}
	}
	if len(r.Faults) == 0 {
		fmt.Fprintf(w, "%s: version %d has no faults\n", r.File, r.Version)
	}
}
