package front

import (
	"html/template"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
)

// Status describes a VM and what it knows of the cell, as sent in JSON.
type Status struct {
	VM            string        `json:"vm"`
	DataCentre    string        `json:"data_centre"`
	PolicyVersion int64         `json:"policy_version"`
	PolicyAgeMS   int64         `json:"policy_age_ms"`
	StoreOK       bool          `json:"store_ok"`
	Draining      bool          `json:"draining"`
	Shards        []ShardStatus `json:"shards"`
	VMs           []VMStatus    `json:"vms"`
	Teams         []TeamStatus  `json:"teams"`
	Queues        []QueueStatus `json:"queues"`
}

// ShardStatus describes a shard and its owner.
type ShardStatus struct {
	Shard      string     `json:"shard"`
	Owner      string     `json:"owner"`
	Epoch      int64      `json:"epoch"`
	Mode       string     `json:"mode"`
	DeadlineMS int64      `json:"deadline_unix_ms"`
	Free       amount.Vec `json:"free"`
	FreeSlots  int        `json:"free_slots"`
	Waiting    int        `json:"waiting"`
}

// VMStatus describes an entry VM.
type VMStatus struct {
	VM            string `json:"vm"`
	DataCentre    string `json:"data_centre"`
	State         string `json:"state"`
	PolicyVersion int64  `json:"policy_version"`
}

// TeamStatus compares what a team runs on this VM's shards with the team's limit.
type TeamStatus struct {
	Team    string     `json:"team"`
	Share   int64      `json:"share"`
	Running amount.Vec `json:"running"`
	Limit   amount.Vec `json:"limit"`
}

// QueueStatus describes what waits in a queue on this VM's shards.
type QueueStatus struct {
	Queue   string       `json:"queue"`
	Class   policy.Class `json:"class"`
	Waiting int          `json:"waiting"`
	Reason  string       `json:"reason,omitempty"`
}

var statusPage = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.VM}} - limpethitch</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:0 0 1.5em}
td,th{border:1px solid #ccc;padding:.25em .6em;text-align:left}</style></head><body>
<h1>{{.VM}} in {{.DataCentre}}</h1>
<p>Policy version {{.PolicyVersion}}, proved current {{.PolicyAgeMS}} ms ago. Store {{if .StoreOK}}answers{{else}}does not answer{{end}}.{{if .Draining}} This VM is shutting down.{{end}}</p>
<h2>Shards</h2><table><tr><th>Shard<th>Owner<th>Epoch<th>Mode<th>Free<th>Free slots<th>Waiting</tr>
{{range .Shards}}<tr><td>{{.Shard}}<td>{{.Owner}}<td>{{.Epoch}}<td>{{.Mode}}<td>{{.Free}}<td>{{.FreeSlots}}<td>{{.Waiting}}</tr>{{end}}</table>
<h2>Entry VMs</h2><table><tr><th>VM<th>Data centre<th>State<th>Policy version</tr>
{{range .VMs}}<tr><td>{{.VM}}<td>{{.DataCentre}}<td>{{.State}}<td>{{.PolicyVersion}}</tr>{{end}}</table>
<h2>Teams on this VM's shards</h2><table><tr><th>Team<th>Share<th>Running here<th>Limit across the fleet</tr>
{{range .Teams}}<tr><td>{{.Team}}<td>{{.Share}}<td>{{.Running}}<td>{{.Limit}}</tr>{{end}}</table>
<h2>Queues on this VM's shards</h2><table><tr><th>Queue<th>Class<th>Waiting<th>Reason</tr>
{{range .Queues}}<tr><td>{{.Queue}}<td>{{.Class}}<td>{{.Waiting}}<td>{{.Reason}}</tr>{{end}}</table>
</body></html>`))

func (s *Server) handleStatusPage(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/html; charset=utf-8")
	if err := statusPage.Execute(ctx, s.vm.Status()); err != nil {
		s.log.Error("cannot write the status page", zap.String("error", err.Error()))
	}
}
