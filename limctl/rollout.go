package main

import (
	"fmt"
	"strings"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

type dataCentreState struct {
	Name             string `json:"name"`
	InService        bool   `json:"in_service"`
	Confirmed        bool   `json:"confirmed"`
	ConfirmedUnixMS  int64  `json:"confirmed_unix_ms,omitempty"`
	BlindUntilUnixMS int64  `json:"blind_until_unix_ms,omitempty"`
}

type rolloutState struct {
	Version     int64             `json:"version"`
	InForce     bool              `json:"in_force"`
	DataCentres []dataCentreState `json:"data_centres"`
}

// rollResult is the JSON output of roll, revoke, out and in.
type rollResult struct {
	Version     int64             `json:"version"`
	Published   bool              `json:"published"`
	InForce     bool              `json:"in_force"`
	DataCentres []dataCentreState `json:"data_centres"`
	Changes     []changeDoc       `json:"changes"`
}

// rollout publishes a bundle and waits until it is in force.
type rollout struct {
	app    *app
	bundle *policy.Bundle
	old    *policy.Bundle
	signed *policy.Signed
	raw    []byte
	wait   time.Duration
	// published is set if the version is already published.
	published bool
}

func (r *rollout) run() error {
	changes := policy.Diff(r.old, r.bundle)
	deadline := r.app.clock.Now().Add(r.wait)
	if !r.published {
		r.app.progress("version %d by %s changes:\n%s", r.bundle.Version(), r.bundle.Author(), strings.TrimSuffix(formatChanges(changes), "\n"))
		p := &publication{app: r.app, raw: r.raw, signed: r.signed, version: r.bundle.Version(), deadline: deadline}
		if err := p.publish(); err != nil {
			return err
		}
	}
	r.app.progress("version %d is published", r.bundle.Version())
	state, err := r.waitInForce(deadline)
	if r.app.cli.Output == FormatJSON {
		result := rollResult{
			Version: r.bundle.Version(), Published: true, InForce: state.InForce,
			DataCentres: state.DataCentres, Changes: changeDocs(changes),
		}
		if eerr := r.app.printResult(result, nil); eerr != nil {
			return eerr
		}
	}
	return err
}

// waitInForce polls until the version is in force or the deadline has passed, and
// prints each data centre once it has confirmed. The deadline is set before
// publication.
func (r *rollout) waitInForce(deadline clock.Mono) (rolloutState, error) {
	version := r.bundle.Version()
	printed := map[string]bool{}
	var state rolloutState
	for {
		var next rolloutState
		err := r.app.client.get(fmt.Sprintf("/v1/rollouts/%d", version), &next)
		if err == nil {
			state = next
		}
		r.printConfirmed(state, printed)
		if state.InForce {
			r.app.progress("version %d is in force", version)
			return state, nil
		}
		if r.app.clock.Now() >= deadline {
			waiting := rcode.New(rcode.RolloutWaiting, "version %d is published and not yet in force, %s", version, state.unconfirmed())
			if err != nil {
				waiting = rcode.Wrap(err, rcode.RolloutWaiting, "version %d is published, but whether it is in force cannot be read", version)
			}
			return state, waiting
		}
		<-r.app.clock.After(pollInterval)
	}
}

func (r *rollout) printConfirmed(state rolloutState, printed map[string]bool) {
	for _, dc := range state.DataCentres {
		if !dc.Confirmed || printed[dc.Name] {
			continue
		}
		printed[dc.Name] = true
		r.app.progress("  %s confirmed at %s", dc.Name, formatUnixMS(dc.ConfirmedUnixMS))
	}
}

func (s rolloutState) unconfirmed() string {
	var out []string
	for _, dc := range s.DataCentres {
		if !dc.InService || dc.Confirmed {
			continue
		}
		text := dc.Name
		if dc.BlindUntilUnixMS > 0 {
			text += " (may run without confirmation until " + formatUnixMS(dc.BlindUntilUnixMS) + ")"
		}
		out = append(out, text)
	}
	if len(out) == 0 {
		return "no data centre is named as missing"
	}
	return "missing: " + strings.Join(out, ", ")
}

// formatUnixMS formats a time of the entry VMs in UTC, or "-" if it is unset.
func formatUnixMS(unixMS int64) string {
	if unixMS <= 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format("2006-01-02T15:04:05.000Z")
}
