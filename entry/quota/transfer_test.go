package quota

import (
	"context"
	"encoding/json"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/store"
)

// concurrentPeers counts the transfer requests, which may arrive at the same time.
type concurrentPeers struct {
	mu       sync.Mutex
	requests int
}

func (p *concurrentPeers) Yield(context.Context, string, string, amount.Vec) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	return nil
}

// Guards against a transfer request that reads the record's revision while a watch
// writes it. The race detector reports it.
func TestTransferRequestBesideObserve(t *testing.T) {
	const rounds = 2000
	peers := &concurrentPeers{}
	clk := clock.NewFake(time.Unix(0, 0))
	r, err := New(Config{Shard: shardName(0), EpochKey: "epoch/dc/0"}, Deps{
		Ledger: NewLedger(), Store: store.NewMemory(), Clock: clk, Log: zap.NewNop(), Peers: peers,
		Rand: rand.New(rand.NewSource(1)), Fence: func() int64 { return 1 },
	})
	if err != nil {
		t.Fatal(err)
	}
	rec, _ := NewTeamRecord(modelCPU(100), 1).Allocate(shardName(1), modelCPU(100))
	raw, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	r.SetLimit(modelTeam, modelCPU(100), 1)
	r.teamState(modelTeam).known = true
	r.Observe(modelTeam, store.NewKV(Key(modelTeam), raw, 1))
	r.RaiseDemand(modelTeam, modelCPU(10))
	var wg sync.WaitGroup
	wg.Go(func() {
		for range rounds {
			r.requestTransfer(context.Background(), modelTeam)
		}
	})
	wg.Go(func() {
		for i := range rounds {
			r.Observe(modelTeam, store.NewKV(Key(modelTeam), raw, int64(i)+2))
		}
	})
	wg.Wait()
	if d := cmp.Diff([]int64{rounds, rounds + 1}, []int64{int64(peers.requests), r.teamState(modelTeam).revision}); d != "" {
		t.Errorf("requests, last revision: %s", d)
	}
}
