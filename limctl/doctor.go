package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/policy"
)

const doctorManual = `Checks the settings, every entry VM named by --entry and the state of the cell:
token, approvers, private key files, the signatures of the bundle in force, policy
versions, the store, shards without an owner, teams above their limit, data
centres in service without a live VM. The exit code is 10 when something must be
repaired; warnings alone exit with 0.

Example:

  limctl doctor --key-file ana.key`

type doctorCmd struct {
	KeyFile []string `help:"Files with approvers' private keys to check." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (*doctorCmd) Help() string { return doctorManual }

// Severity is the severity of a finding.
type Severity string

// Severities.
const (
	SeverityOK   Severity = "ok"
	SeverityWarn Severity = "warn"
	SeverityFail Severity = "fail"
)

// findingDoc is one finding in the JSON output.
type findingDoc struct {
	Severity Severity `json:"severity"`
	Subject  string   `json:"subject"`
	Text     string   `json:"text"`
}

// diagnosis collects the findings of one run of doctor. bundle is the one in force,
// or nil.
type diagnosis struct {
	app      *app
	bundle   *policy.Bundle
	Findings []findingDoc `json:"findings"`
}

func (e *diagnosis) add(s Severity, subject, format string, args ...any) {
	e.Findings = append(e.Findings, findingDoc{s, subject, fmt.Sprintf(format, args...)})
}

// addCheck adds one finding: SeverityOK with the text good if ok is true, else s
// with the formatted text.
func (e *diagnosis) addCheck(ok bool, s Severity, subject, good, format string, args ...any) {
	if ok {
		e.add(SeverityOK, subject, "%s", good)
		return
	}
	e.add(s, subject, format, args...)
}

// Run performs all checks and prints the findings. It fails if one of them is a
// SeverityFail.
func (cmd *doctorCmd) Run(a *app) error {
	e := &diagnosis{app: a, Findings: []findingDoc{}}
	e.checkSettings(cmd.KeyFile)
	e.checkBundle()
	var newest cellState
	for _, entry := range a.client.entries {
		if s, ok := e.checkEntryVM(entry); ok && s.PolicyVersion >= newest.PolicyVersion {
			newest = s
		}
	}
	e.checkCell(newest)
	err := a.printResult(e, func(w io.Writer) {
		for _, f := range e.Findings {
			table(w, []string{fmt.Sprintf("%-4s", f.Severity), f.Subject + ": " + f.Text})
		}
	})
	for _, f := range e.Findings {
		if err == nil && f.Severity == SeverityFail {
			return errFindings
		}
	}
	return err
}

func (e *diagnosis) checkSettings(files []string) {
	e.addCheck(e.app.client.token != "", SeverityFail, "token", "is set", "LIMCTL_TOKEN is not set, so entry VMs refuse every call")
	list, known, err := e.app.approvers()
	switch {
	case err != nil:
		e.add(SeverityFail, "approvers", "%s", err)
	case !known:
		e.add(SeverityWarn, "approvers", "LIMCTL_APPROVERS is not set, so bundles from entry VMs are not verified here")
	default:
		e.add(SeverityOK, "approvers", "%d must sign", list.Threshold())
	}
	if len(files) == 0 && os.Getenv("LIMCTL_APPROVER_KEY") == "" {
		return
	}
	keys, err := loadKeys(files)
	if err != nil {
		e.add(SeverityFail, "private keys", "%s", err)
	}
	for _, k := range keys {
		public, ok := list.Key(k.name)
		e.addCheck(!known || ok && public.Equal(k.public()), SeverityFail, k.String(), "private key can be used",
			"private key is not that of an approver")
	}
}

func (e *diagnosis) checkBundle() {
	_, b, err := e.app.current()
	switch {
	case err != nil:
		e.add(SeverityFail, "bundle", "%s", err)
	case b == nil:
		e.add(SeverityWarn, "bundle", "none has been published yet")
	default:
		e.bundle = b
		e.add(SeverityOK, "bundle", "version %d by %s", b.Version(), b.Author())
	}
}

func (e *diagnosis) checkEntryVM(entry string) (cellState, bool) {
	var s cellState
	raw, err := e.app.client.call(fasthttp.MethodGet, entry, "/v1/status", nil)
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	if err != nil {
		e.add(SeverityFail, entry, "%s", err)
		return s, false
	}
	e.add(SeverityOK, entry, "%s in %s, policy version %d", s.VM, s.DataCentre, s.PolicyVersion)
	e.addCheck(s.StoreOK, SeverityFail, entry, "store responds", "the store does not respond to %s", s.VM)
	if e.bundle == nil {
		return s, true
	}
	if s.PolicyVersion < e.bundle.Version() {
		e.add(SeverityWarn, entry, "%s has policy version %d, version %d is published", s.VM, s.PolicyVersion, e.bundle.Version())
	}
	maxStaleness := e.bundle.MaxStaleness()
	age := time.Duration(s.PolicyAgeMS) * time.Millisecond
	e.addCheck(age <= maxStaleness, SeverityFail, entry, "policy is confirmed",
		"%s confirmed its policy %s ago and refuses keyed work above %s", s.VM, age, maxStaleness)
	return s, true
}

// checkCell checks the state of the cell as reported by one entry VM.
func (e *diagnosis) checkCell(s cellState) {
	now := e.app.clock.Wall()
	for _, x := range s.Shards {
		deadline := time.UnixMilli(x.DeadlineUnixMS)
		switch {
		case x.Owner == "":
			e.add(SeverityFail, "shard "+x.Shard, "has no owner")
		case deadline.Before(now):
			e.add(SeverityWarn, "shard "+x.Shard, "the deadline of %s passed %s ago according to the local clock", x.Owner, now.Sub(deadline).Round(time.Millisecond))
		}
	}
	live := map[string]bool{}
	for _, x := range s.VMs {
		live[x.DataCentre] = live[x.DataCentre] || x.State == "live"
		if x.PolicyVersion != s.PolicyVersion {
			e.add(SeverityWarn, "VM "+x.VM, "has policy version %d and not %d", x.PolicyVersion, s.PolicyVersion)
		}
	}
	for _, t := range s.Teams {
		e.addCheck(t.Running.Fits(t.Limit), SeverityFail, "team "+t.Team, "runs within its limit",
			"runs %s above its limit of %s", t.Running, t.Limit)
	}
	if e.bundle == nil || len(s.VMs) == 0 {
		return
	}
	for _, dc := range e.bundle.DataCentres() {
		if e.bundle.InService(dc) {
			e.addCheck(live[dc], SeverityFail, "data centre "+dc, "has live VMs", "is in service and has no live VM")
		}
	}
}
