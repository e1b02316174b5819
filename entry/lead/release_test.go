package lead

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/store"
)

// TestResignLeavesOtherTerms guards against a VM that resigned and then releases the
// ownership of its successor, which would end a sound term.
func TestResignLeavesOtherTerms(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	p := newElectorPair()
	p.run(time.Second, 0)
	p.electors[0].Resign()
	// The other VM takes over before the release is written.
	p.run(TakeoverAfter+time.Second, 1)
	successor, _ := p.electors[1].Term()
	p.electors[0].refresh(ctx)
	p.electors[0].writeRelease(ctx)
	p.run(time.Second, 1)
	now, ok := p.electors[1].Authority()
	if diff := cmp.Diff([]any{successor.Epoch(), true}, []any{now.Epoch(), ok}); diff != "" {
		t.Errorf("epoch, authority of the successor (-want +got):\n%s", diff)
	}
}

// TestUnreadableRecord guards against an epoch that was used before: the new owner would
// find the keys of its journal taken and store nothing.
func TestUnreadableRecord(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	p := newElectorPair()
	p.run(time.Second, 0)
	former, _ := p.electors[0].Term()
	kv, err := p.mem.Get(ctx, RecordKey)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.mem.Commit(ctx, store.NewTxn().If(RecordKey, kv.ModRevision()).Put(RecordKey, []byte("\x00{"))); err != nil {
		t.Fatal(err)
	}
	p.run(TakeoverAfter+time.Second, 1)
	next, ok := p.electors[1].Authority()
	if !ok || next.Epoch() <= former.Epoch() {
		t.Errorf("owner %v with epoch %d after epoch %d", ok, next.Epoch(), former.Epoch())
	}
}

// TestReleaseDuringOutage guards against a VM that stops while the store refuses all calls and
// gives up its release at once: after the outage the others waited for an owner that was gone.
func TestReleaseDuringOutage(t *testing.T) {
	t.Parallel()
	p := newElectorPair()
	p.run(time.Second, 0, 1)
	p.stores[0].set(true, false)
	p.stores[1].set(true, false)
	p.releaseFirst()
	p.electors[0].releasing = true // as Run does for the request
	storeOutage(p, 3*time.Second, 0, 1)
	p.run(releaseRetryDelay+readInterval+100*time.Millisecond, 0, 1)
	if _, ok := p.electors[1].Authority(); !ok {
		t.Errorf("no successor after the outage although the owner stopped: record %+v", p.electors[1].rec)
	}
}
