package wrkr

import (
	"time"

	"limpethitch.example/core/amount"
)

// ringSize bounds the records of starts.
const ringSize = 50_000

type record struct{ Record }

func (r *record) end(at time.Time) { r.EndedUnixMS = at.UnixMilli() }

// Record is one start that the worker obeyed.
type Record struct {
	ID          string     `json:"id"`
	Attempt     int64      `json:"attempt"`
	Job         string     `json:"job"`
	Team        string     `json:"team"`
	Size        amount.Vec `json:"size"`
	AtUnixMS    int64      `json:"at_unix_ms"`
	EndedUnixMS int64      `json:"ended_unix_ms,omitempty"`
}

// ring holds the last size records.
type ring struct {
	size    int
	list    []*record
	next    int
	dropped int64
}

func (r *ring) add(s Start, now time.Time) *record {
	rec := &record{Record{ID: s.ID, Attempt: s.Attempt, Job: s.Job, Team: s.Team, Size: s.Size, AtUnixMS: now.UnixMilli()}}
	if len(r.list) < r.size {
		r.list = append(r.list, rec)
		return rec
	}
	r.list[r.next] = rec
	r.next = (r.next + 1) % ringSize
	r.dropped++
	return rec
}

func (r *ring) all() []Record {
	out := make([]Record, 0, len(r.list))
	for i := range r.list {
		out = append(out, r.list[(r.next+i)%len(r.list)].Record)
	}
	return out
}

// Stats is the answer to GET /control/stats.
type Stats struct {
	ID       string     `json:"id"`
	Capacity amount.Vec `json:"capacity"`
	// Peak is the largest sum of the sizes of tasks that ran at once.
	Peak amount.Vec `json:"peak"`
	// PausedCalls counts the calls that wait for the end of a pause.
	PausedCalls int      `json:"held"`
	Starts      []Record `json:"starts"`
	Dropped     int64    `json:"dropped"`
}

// Stats returns the record of what the worker ran.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clk.Wall())
	return Stats{
		ID: w.cfg.ID, Capacity: w.cfg.Capacity, Peak: w.peak, PausedCalls: w.held,
		Starts: w.records.all(), Dropped: w.records.dropped,
	}
}
