package main

import (
	"fmt"
	"io"
	"strconv"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
)

const statusManual = `Shows the cell as reported by one entry VM: its policy version and how long ago
that was confirmed, whether the store responds, the owner of each shard, the VMs,
the usage and limit of each team, and the queues.

Examples:

  limctl status
  limctl status --output json`

type statusCmd struct{}

// Help implements kong.HelpProvider.
func (*statusCmd) Help() string { return statusManual }

type shardState struct {
	Shard          string `json:"shard"`
	Owner          string `json:"owner"`
	Epoch          int64  `json:"epoch"`
	Mode           string `json:"mode"`
	DeadlineUnixMS int64  `json:"deadline_unix_ms"`
}

type vmState struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"`
	PolicyVersion int64  `json:"policy_version"`
}

type teamState struct {
	Team    string     `json:"team"`
	Running amount.Vec `json:"running"`
	Limit   amount.Vec `json:"limit"`
	Share   int64      `json:"share"`
}

type queueState struct {
	Queue   string       `json:"queue"`
	Class   policy.Class `json:"class"`
	Waiting int64        `json:"waiting"`
}

type cellState struct {
	VM            string       `json:"vm"`
	DataCentre    string       `json:"data_centre"`
	PolicyVersion int64        `json:"policy_version"`
	PolicyAgeMS   int64        `json:"policy_age_ms"`
	StoreOK       bool         `json:"store_ok"`
	Shards        []shardState `json:"shards"`
	VMs           []vmState    `json:"vms"`
	Teams         []teamState  `json:"teams"`
	Queues        []queueState `json:"queues"`
}

// Run reads and prints the state of the cell.
func (*statusCmd) Run(a *app) error {
	var s cellState
	if err := a.client.get("/v1/status", &s); err != nil {
		return err
	}
	return a.printResult(s, func(w io.Writer) { s.print(w) })
}

func (s cellState) store() string {
	if s.StoreOK {
		return "store responds"
	}
	return "store does not respond"
}

func (s cellState) print(w io.Writer) {
	fmt.Fprintf(w, "%s in %s: policy version %d confirmed %d ms ago, %s\n\n", s.VM, s.DataCentre, s.PolicyVersion, s.PolicyAgeMS, s.store())
	rows := [][]string{{"SHARD", "OWNER", "EPOCH", "MODE", "DEADLINE"}}
	for _, x := range s.Shards {
		rows = append(rows, []string{x.Shard, x.Owner, formatInt(x.Epoch), x.Mode, formatUnixMS(x.DeadlineUnixMS)})
	}
	table(w, rows...)
	rows = [][]string{{"\nVM", "DATA CENTRE", "STATE", "POLICY"}}
	for _, x := range s.VMs {
		rows = append(rows, []string{x.VM, x.DataCentre, x.State, formatInt(x.PolicyVersion)})
	}
	table(w, rows...)
	rows = [][]string{{"\nTEAM", "SHARE", "CPU (MILLI)", "MEMORY (MIB)", "ACCELERATORS", "REQUESTS"}}
	for _, x := range s.Teams {
		r, l := x.Running, x.Limit
		rows = append(rows, []string{
			x.Team, formatInt(x.Share), usedOfLimit(r.CPUMilli(), l.CPUMilli()), usedOfLimit(r.MemoryMiB(), l.MemoryMiB()),
			usedOfLimit(r.Accelerators(), l.Accelerators()), usedOfLimit(r.Requests(), l.Requests()),
		})
	}
	table(w, rows...)
	rows = [][]string{{"\nQUEUE", "CLASS", "WAITING"}}
	for _, x := range s.Queues {
		rows = append(rows, []string{x.Queue, string(x.Class), formatInt(x.Waiting)})
	}
	table(w, rows...)
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }

func usedOfLimit(n, limit int64) string { return formatInt(n) + "/" + formatInt(limit) }
