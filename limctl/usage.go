package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"limpethitch.example/core/rcode"
)

const usageManual = `Shows what the client accounts used of the fleet over the last hours, their weights
and their place in the order of waiting work, as known to the owner on the users'
platform. Past use counts there if the VMs run with --past-use-half-life.

The arguments are the addresses of the VMs' metrics; they are asked in this order
until the owner is found.

Examples:

  limctl usage 10.200.1.11:9464 10.200.1.12:9464
  limctl usage 10.200.1.11:9464 --output json`

type usageCmd struct {
	VMs []string `arg:"" name:"vm" help:"Addresses of the VMs' metrics."`
}

// Help implements kong.HelpProvider.
func (*usageCmd) Help() string { return usageManual }

// accountUse is the past use of a client account.
type accountUse struct {
	Team string `json:"team"`
	// Share is the mean share of the fleet that the account held, from 0 to 1.
	Share  float64 `json:"share"`
	Weight float64 `json:"weight"`
	// Level delays the account's waiting work; 0 is not delayed. Place is 1 for the accounts
	// with the lowest level.
	Level int `json:"level"`
	Place int `json:"place"`
}

type usageDoc struct {
	Owner    string       `json:"owner"`
	Accounts []accountUse `json:"accounts"`
}

// Run finds the owner and prints the past use that it knows.
func (cmd *usageCmd) Run(a *app) error {
	// The metrics need no token, so none is sent.
	c := newClient(cmd.VMs, "", a.cli.Timeout)
	var first error
	for _, vm := range c.entries {
		raw, err := c.call(fasthttp.MethodGet, vm, "/metrics", nil)
		if err != nil {
			first = cmp.Or(first, err)
			continue
		}
		if !strings.Contains("\n"+string(raw), "\nlimpethitch_owner 1\n") {
			continue
		}
		doc := usageDoc{Owner: vm, Accounts: parseUsage(string(raw))}
		if len(doc.Accounts) == 0 {
			return rcode.New(rcode.NotFound, "the owner %s knows of no past use: nothing was used, or it runs without --past-use-half-life", vm)
		}
		return a.printResult(doc, doc.print)
	}
	return cmp.Or(first, rcode.New(rcode.NoOwner, "none of the VMs is the owner"))
}

// parseUsage reads the past use of all accounts from a VM's metrics, in the order of their
// places. It skips lines that it cannot read.
func parseUsage(metrics string) []accountUse {
	byTeam := make(map[string]*accountUse)
	for line := range strings.Lines(metrics) {
		metric, team, value, ok := parseUsageLine(strings.TrimSpace(line))
		if !ok {
			continue
		}
		if byTeam[team] == nil {
			byTeam[team] = &accountUse{Team: team}
		}
		switch u := byTeam[team]; metric {
		case "share":
			u.Share = value
		case "weight":
			u.Weight = value
		case "level":
			u.Level = int(value)
		}
	}
	var out []accountUse
	for _, u := range byTeam {
		out = append(out, *u)
	}
	slices.SortFunc(out, func(a, b accountUse) int {
		return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Team, b.Team))
	})
	for i := range out {
		out[i].Place = i + 1
		if i > 0 && out[i].Level == out[i-1].Level {
			out[i].Place = out[i-1].Place
		}
	}
	return out
}

// parseUsageLine reads a line such as limpethitch_past_use_share{team="a"} 0.25, of which metric
// is "share". It returns false for a line of another metric or form.
func parseUsageLine(line string) (metric, team string, value float64, ok bool) {
	rest, hasPrefix := strings.CutPrefix(line, "limpethitch_past_use_")
	metric, rest, hasTeam := strings.Cut(rest, `{team=`)
	quoted, err := strconv.QuotedPrefix(rest)
	if !hasPrefix || !hasTeam || err != nil {
		return "", "", 0, false
	}
	team, err = strconv.Unquote(quoted)
	if err != nil {
		return "", "", 0, false
	}
	value, err = strconv.ParseFloat(strings.TrimPrefix(rest[len(quoted):], "} "), 64)
	return metric, team, value, err == nil
}

func (d usageDoc) print(w io.Writer) {
	fmt.Fprintf(w, "owner %s\n\n", d.Owner)
	rows := [][]string{{"PLACE", "TEAM", "USED OF THE FLEET", "WEIGHT", "LEVEL"}}
	for _, u := range d.Accounts {
		weight := strconv.FormatFloat(u.Weight, 'g', -1, 64)
		rows = append(rows, []string{strconv.Itoa(u.Place), u.Team, fmt.Sprintf("%.2f%%", 100*u.Share), weight, strconv.Itoa(u.Level)})
	}
	table(w, rows...)
}
