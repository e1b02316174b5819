package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/events"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
)

// compactor bounds the size of the stored state, so that a new owner loads unfinished
// work and not the whole history. It reduces the records of finished jobs to their
// final state, removes journal segments whose jobs are all compacted, and removes
// final states after their retention.
type compactor struct {
	// references counts, by segment, what keeps it: the jobs that are not compacted, and the last
	// list of leases. jobSegments lists, by such a job, the segments with its events.
	references  map[string]int
	jobSegments map[string][]string
	// removable are the keys of segments to remove. expiring are the compacted jobs,
	// ordered by the time from which their records may be removed.
	removable   []string
	expiring    []expiringJob
	writing     bool
	lastWriteAt clock.Mono
	// leaseSegment has the last list of leases, which is kept until the next one is stored: an
	// earlier one that is still to be removed would count again.
	leaseSegment string
}

// expiringJob is a compacted job whose record may be removed from at on.
type expiringJob struct {
	id string
	at clock.Mono
}

const (
	// compactInterval is the shortest time between two writes of the compactor.
	compactInterval = 200 * time.Millisecond
	// backlogCompactInterval replaces it while more than removableBacklog segments
	// wait to be removed.
	backlogCompactInterval = 40 * time.Millisecond
	removableBacklog       = 60
	// maxCompactKeys bounds the keys of one write: the platform accepts 32 entries in a
	// transaction, and one is the condition on the term.
	maxCompactKeys = 30
	// retentionSlack is how much longer than StatusRetention a state is kept.
	retentionSlack = 30 * time.Second
	compactTimeout = time.Second
)

func newCompactor() compactor {
	return compactor{references: make(map[string]int), jobSegments: make(map[string][]string)}
}

// addSegment adds a segment that was stored or loaded. compacted reports whether a job
// is already compacted.
func (c *compactor) addSegment(key string, list []events.Event, compacted func(id string) bool) {
	for i := range list {
		id := list[i].Job()
		if compacted(id) {
			continue
		}
		if jobSegs := c.jobSegments[id]; len(jobSegs) > 0 && jobSegs[len(jobSegs)-1] == key {
			continue
		}
		c.jobSegments[id] = append(c.jobSegments[id], key)
		c.references[key]++
	}
	if slices.ContainsFunc(list, func(ev events.Event) bool { return ev.Kind == events.KindLease }) {
		c.references[key]++
		if c.leaseSegment != "" {
			c.release(c.leaseSegment)
		}
		c.leaseSegment = key
	}
	if c.references[key] == 0 {
		delete(c.references, key)
		c.removable = append(c.removable, key)
	}
}

// release drops a reference to a segment, which is removed after the last one.
func (c *compactor) release(key string) {
	c.references[key]--
	if c.references[key] == 0 {
		delete(c.references, key)
		c.removable = append(c.removable, key)
	}
}

// markCompacted records that a job is compacted.
func (c *compactor) markCompacted(id string) {
	for _, key := range c.jobSegments[id] {
		c.release(key)
	}
	delete(c.jobSegments, id)
}

// compact writes one batch: records of finished jobs to reduce and keys to remove.
func (e *Engine) compact(t *term) {
	c := &t.compactor
	now := e.clk.Now()
	interval := compactInterval
	if len(c.removable) > removableBacklog {
		interval = backlogCompactInterval
	}
	if c.writing || now.Sub(c.lastWriteAt) < interval {
		return
	}
	c.lastWriteAt = now
	// The end of a job that finished since the last round is stored with the next one.
	e.recordFinishedJobs(t, t.round+1)
	txn := store.NewTxn().If(lead.TermKey, t.Token())
	jobs := t.state.TakeCompactable(maxCompactKeys, e.clk.Wall().UnixMilli(), func(id string) bool {
		_, unstored := t.unstoredJobs[id]
		return !unstored
	})
	for _, j := range jobs {
		raw, err := j.Encode()
		if err != nil {
			e.log.Error("failed to encode finished job", logs.Err(err)...)
			continue
		}
		txn.Put(JobPrefix+j.ID, raw)
	}
	removed := e.takeRemovable(c, now, maxCompactKeys-len(jobs))
	for _, key := range removed {
		txn.Delete(key)
	}
	if len(txn.Ops()) == 0 {
		return
	}
	c.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, compactTimeout)
		defer cancel()
		res, err := e.cfg.Store.Commit(ctx, txn)
		e.post(func() { e.compactDone(t, jobs, removed, err == nil && res.Succeeded()) })
	}()
}

// takeRemovable returns at most limit keys that may be removed, those of expired job
// records first.
func (e *Engine) takeRemovable(c *compactor, now clock.Mono, limit int) []string {
	var keys []string
	for len(c.expiring) > 0 && c.expiring[0].at <= now && len(keys)+2 <= limit {
		id := c.expiring[0].id
		c.expiring = c.expiring[1:]
		keys = append(keys, JobPrefix+id, CancelPrefix+id)
		e.term.state.Forget(id)
	}
	n := min(len(c.removable), limit-len(keys))
	keys = append(keys, c.removable[:n]...)
	c.removable = c.removable[n:]
	return keys
}

// compactDone handles the result of a batch that compact wrote.
func (e *Engine) compactDone(t *term, jobs []*graph.Job, removed []string, ok bool) {
	if e.term != t {
		return
	}
	t.compactor.writing = false
	defer e.compact(t)
	for _, j := range jobs {
		t.state.CompactionStored(j, ok)
	}
	if !ok {
		// Only segments are queued again; a later owner removes the job records.
		for _, key := range removed {
			if strings.HasPrefix(key, events.Prefix) {
				t.compactor.removable = append(t.compactor.removable, key)
			}
		}
		e.log.Warn("failed to compact finished jobs", zap.Int("jobs", len(jobs)), zap.Int("keys", len(removed)))
		return
	}
	for _, j := range jobs {
		t.compactor.markCompacted(j.ID)
		t.compactor.expiring = append(t.compactor.expiring, expiringJob{id: j.ID, at: e.clk.Now().Add(e.cfg.StatusRetention + retentionSlack)})
	}
}
