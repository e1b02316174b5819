package main

import (
	"fmt"
	"io"
	"strconv"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
)

const statusManual = `Shows the cell as one entry VM sees it: its policy version and how long ago that
was confirmed, whether the store responds, the owner of each shard, the VMs, what
each team runs within its limit, and the queues.

Examples:

  limctl status
  limctl status --output json`

type statusCmd struct{}

// Help returns the manual.
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

// Run reads and prints the state.
func (*statusCmd) Run(a *app) error {
	var s cellState
	if err := a.client.get("/v1/status", &s); err != nil {
		return err
	}
	return a.emit(s, func(w io.Writer) { s.print(w) })
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
		rows = append(rows, []string{x.Shard, x.Owner, num(x.Epoch), x.Mode, wall(x.DeadlineUnixMS)})
	}
	table(w, rows...)
	rows = [][]string{{"\nVM", "DATA CENTRE", "STATE", "POLICY"}}
	for _, x := range s.VMs {
		rows = append(rows, []string{x.VM, x.DataCentre, x.State, num(x.PolicyVersion)})
	}
	table(w, rows...)
	rows = [][]string{{"\nTEAM", "SHARE", "CPU (MILLI)", "MEMORY (MIB)", "ACCELERATORS", "REQUESTS"}}
	for _, x := range s.Teams {
		r, l := x.Running, x.Limit
		rows = append(rows, []string{
			x.Team, num(x.Share), of(r.CPUMilli(), l.CPUMilli()), of(r.MemoryMiB(), l.MemoryMiB()),
			of(r.Accelerators(), l.Accelerators()), of(r.Requests(), l.Requests()),
		})
	}
	table(w, rows...)
	rows = [][]string{{"\nQUEUE", "CLASS", "WAITING"}}
	for _, x := range s.Queues {
		rows = append(rows, []string{x.Queue, string(x.Class), num(x.Waiting)})
	}
	table(w, rows...)
}

func num(n int64) string { return strconv.FormatInt(n, 10) }

func of(n, limit int64) string { return num(n) + "/" + num(limit) }
