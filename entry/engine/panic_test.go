package engine

import (
	"context"
	"testing"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/sched"
)

// TestPanicInLoop guards against a panic in the handling of one message that ends the
// process, or after which the owner goes on with half-changed state or with none: its term
// ends, and a later one completes the job.
func TestPanicInLoop(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.worker.withholdEnds = true
	h.submit(t)
	<-h.worker.started
	before, _ := h.elector.Term()
	h.engine.post(func() { panic("broken message") })
	h.worker.releaseEnd()
	h.waitForStatus(t, func(s JobStatus) bool { return s.State == sched.JobDone })
	after, _ := h.elector.Term()
	if after.Epoch() <= before.Epoch() {
		t.Errorf("epoch %d after the panic, %d before: the term went on", after.Epoch(), before.Epoch())
	}
}

// panickingWorkers panics on polls of one worker.
type panickingWorkers struct{ *fakeWorker }

func (w panickingWorkers) Poll(ctx context.Context, o PollOrder) (PollReply, error) {
	if o.Instance == "broken" {
		panic("broken reply")
	}
	return w.fakeWorker.Poll(ctx, o)
}

// TestPanicForOneWorker guards against an entry or a reply of one worker that ends the
// process, or the term of an owner whose other workers are sound.
func TestPanicForOneWorker(t *testing.T) {
	t.Parallel()
	h := newHarnessWith(t, func(c *Config) {
		parse := c.ParseWorker
		c.ParseWorker = func(id string, value []byte, now clock.Mono) (sched.WorkerSpec, bool) {
			if id == "unreadable" {
				panic("broken entry")
			}
			return parse(id, value, now)
		}
		c.Workers = panickingWorkers{c.Workers.(*fakeWorker)}
		for _, id := range []string{"unreadable", "broken"} {
			if _, err := c.Store.Commit(context.Background(), store.NewTxn().Put("workers/"+id, []byte("{}"))); err != nil {
				t.Fatal(err)
			}
		}
	})
	h.submit(t)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State == sched.JobDone })
	ctx, cancel := context.WithTimeout(h.ctx, 20*time.Second)
	defer cancel()
	if err := h.engine.call(ctx, func(tm *term) {
		if tm.Epoch() != 1 {
			t.Errorf("epoch %d, want 1: the term did not go on", tm.Epoch())
		}
	}); err != nil {
		t.Error(err)
	}
}
