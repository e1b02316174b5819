package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"limpethitch.example/core/rcode"
)

// Exit codes. Scripts depend on them, so they must not change.
const (
	exitOK          = 0
	exitInternal    = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitUnsigned    = 4
	exitConflict    = 5
	exitWaiting     = 6
	exitRefused     = 7
	exitUnavailable = 8
	exitUnknown     = 9
	exitFindings    = 10
	exitNotFound    = 11
	exitWarnings    = 12
)

var errFindings = errors.New("doctor found a fault")

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	if errors.Is(err, errFindings) {
		return exitFindings
	}
	if errors.Is(err, errWarnings) {
		return exitWarnings
	}
	code := rcode.Of(err)
	switch code {
	case rcode.OK:
		return exitOK
	case rcode.BundleInvalid:
		return exitInvalid
	case rcode.BundleUnsigned:
		return exitUnsigned
	case rcode.BundleConflict, rcode.BundleOlder:
		return exitConflict
	case rcode.RolloutWaiting:
		return exitWaiting
	case rcode.OperatorRefused:
		return exitRefused
	case rcode.JobUnknown, rcode.NotFound:
		return exitNotFound
	}
	switch code[2] {
	case '1', '5':
		return exitUsage
	case '2':
		return exitUnavailable
	case '3':
		return exitUnknown
	}
	return exitInternal
}

// errorDoc is an error in the JSON output.
type errorDoc struct {
	Code    rcode.Code `json:"code"`
	Message string     `json:"message"`
	Advice  string     `json:"advice,omitempty"`
	Exit    int        `json:"exit"`
}

// fail prints an error with its advice and returns the exit code.
func (a *app) fail(err error) int {
	code := rcode.Of(err)
	doc := errorDoc{Code: code, Message: err.Error(), Advice: adviceFor(code), Exit: exitCode(err)}
	if errors.Is(err, errFindings) || errors.Is(err, errWarnings) {
		return doc.Exit // The findings have been printed.
	}
	if a.cli.Output == FormatJSON {
		raw, _ := json.Marshal(doc)
		fmt.Fprintf(a.stderr, "%s\n", raw)
		return doc.Exit
	}
	fmt.Fprintf(a.stderr, "limctl: %s %s\n", doc.Code, doc.Message)
	if doc.Advice != "" {
		fmt.Fprintf(a.stderr, "        %s\n", doc.Advice)
	}
	return doc.Exit
}

// printResult prints a result as JSON, or as text by calling text.
func (a *app) printResult(result any, text func(w io.Writer)) error {
	if a.cli.Output != FormatJSON {
		text(a.stdout)
		return nil
	}
	raw, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return rcode.Wrap(err, rcode.Internal, "app.printResult")
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n", raw)
	return rcode.Wrap(err, rcode.Internal, "app.printResult")
}

// progress prints a line about a running command, in text output only.
func (a *app) progress(format string, args ...any) {
	if a.cli.Output != FormatJSON {
		fmt.Fprintf(a.stdout, format+"\n", args...)
	}
}

// table prints rows in aligned columns.
func table(w io.Writer, rows ...[]string) {
	var buf bytes.Buffer
	tw := tabwriter.NewWriter(&buf, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for _, cell := range row {
			fmt.Fprintf(tw, "%s\t", cell)
		}
		fmt.Fprintln(tw)
	}
	_ = tw.Flush() // Writes to a buffer do not fail.
	for line := range strings.Lines(buf.String()) {
		fmt.Fprintln(w, strings.TrimRight(line, " \n"))
	}
}
