package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// deadlineMS is how long clients wait for an answer.
const deadlineMS = 3000

// send sends one request over a connection of its own and returns the status and the body. A client that
// has no answer after the limit closes the connection; the status is 0 then.
func (w *world) send(v *vm, method, path string, body any, limit time.Duration) (int, []byte) {
	var raw io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			w.fail("body: %v", err)
		}
		raw = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.addr+path, raw)
	if err != nil {
		w.fail("request: %v", err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Limpethitch-Deadline-Ms", strconv.Itoa(deadlineMS))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// call is send with lines in the record.
func (w *world) call(v *vm, method, path string, body any, limit time.Duration) (int, []byte) {
	w.rec.line("client sends %s %s to %s", method, path, v.name)
	status, answer := w.send(v, method, path, body, limit)
	if status == 0 {
		w.rec.line("client has no answer to %s %s after %v and leaves", method, path, limit)
	} else {
		w.rec.line("client gets %d %s for %s %s", status, answer, method, path)
	}
	return status, answer
}

// get returns the state of a job, or the status of an answer that has none.
func (w *world) get(v *vm, id string, limit time.Duration) string {
	status, answer := w.send(v, "GET", prefix+id, nil, limit)
	var doc struct {
		State string `json:"state"`
	}
	if status == 200 && json.Unmarshal(answer, &doc) == nil {
		return doc.State
	}
	return strconv.Itoa(status)
}

// step is a step of a job.
type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu"`
	MemMB          int    `json:"mem_mb"`
	EstimateMS     int    `json:"estimate_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	AntiAffinity   int    `json:"anti_affinity,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	AllowDup       bool   `json:"allow_duplicates,omitempty"`
	Requirements   string `json:"requirements,omitempty"`
}

// job is a submitted job.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`

	Repetitions int   `json:"repetitions,omitempty"`
	FirstRunMS  int64 `json:"first_run_ms,omitempty"`
	IntervalMS  int64 `json:"interval_ms,omitempty"`
}
