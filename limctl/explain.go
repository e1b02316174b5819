package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"

	"limpethitch.example/core/rcode"
)

const explainManual = `Explains the state of a job: its state, its result code with the meaning, why it
waits or ended, the advice for that code, and its tasks.

Example:

  limctl explain 0198c1f2-7d3a-7cc1-8000-5a1b2c3d4e5f`

type explainCmd struct {
	Job string `arg:"" help:"Id of the job."`
}

// Help implements kong.HelpProvider.
func (*explainCmd) Help() string { return explainManual }

// jobState is the job as the entry VM reports it, with the meaning and advice of
// its code added for the output.
type jobState struct {
	ID      string            `json:"id"`
	State   string            `json:"state"`
	Code    rcode.Code        `json:"code"`
	Reason  string            `json:"reason"`
	Tasks   []json.RawMessage `json:"tasks"`
	Meaning string            `json:"meaning,omitempty"`
	Advice  string            `json:"advice,omitempty"`
}

// Run reads the job and prints its state with an explanation.
func (cmd *explainCmd) Run(a *app) error {
	var j jobState
	if err := a.client.get("/v1/jobs/"+url.PathEscape(cmd.Job), &j); err != nil {
		return err
	}
	if j.Code != "" && j.Code != rcode.OK {
		j.Meaning = j.Code.Info().Text()
		j.Advice = adviceFor(j.Code)
	}
	return a.printResult(j, func(w io.Writer) { j.print(w) })
}

func (j jobState) print(w io.Writer) {
	rows := [][]string{{"job", j.ID}, {"state", j.State}}
	if j.Code != "" {
		rows = append(rows, []string{"code", string(j.Code)})
	}
	for _, row := range [][]string{{"meaning", j.Meaning}, {"reason", j.Reason}, {"to do", j.Advice}} {
		if row[1] != "" {
			rows = append(rows, row)
		}
	}
	table(w, rows...)
	for _, t := range j.Tasks {
		var line bytes.Buffer
		if json.Compact(&line, t) == nil {
			fmt.Fprintf(w, "task  %s\n", line.String())
		}
	}
}
