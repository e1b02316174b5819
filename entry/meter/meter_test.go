package meter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/meter"
)

// series returns the number of time series by metric, and the set of team labels.
func series(tb testing.TB, m *meter.Metrics) (map[string]int, map[string]bool) {
	tb.Helper()
	families, err := m.Registry().Gather()
	if err != nil {
		tb.Fatal(err)
	}
	counts, teams := map[string]int{}, map[string]bool{}
	for _, f := range families {
		counts[f.GetName()] = len(f.GetMetric())
		for _, s := range f.GetMetric() {
			for _, l := range s.GetLabel() {
				if l.GetName() == "team" {
					teams[l.GetValue()] = true
				}
			}
		}
	}
	return counts, teams
}

// Guards against metrics whose number of series grows with callers' input or with each
// bundle, until memory is exhausted.
func TestBounded(t *testing.T) {
	m := meter.New()
	vec := amount.New(1, 1, 1, 1)
	for round := range 50 {
		var names []string
		for i := range 10 {
			names = append(names, fmt.Sprintf("team-%d-%d", round, i))
		}
		m.SetTeams(names)
		for _, n := range append(names, "unknown", fmt.Sprint("stranger-", round)) {
			m.ObserveRequest(policy.ClassInteractive, n, rcode.OK, time.Millisecond)
			m.ObserveRequest(policy.Class(fmt.Sprint("class-", round)), n, rcode.Code(fmt.Sprint("code-", round)), time.Millisecond)
			m.ObserveWait(policy.ClassBatch, n, time.Millisecond)
			m.SetTeamUsage(n, vec, vec)
		}
		m.CountStart(policy.Class(fmt.Sprint("class-", round)), rcode.Code(fmt.Sprint("code-", round)))
		shard := fmt.Sprintf("dc%d/0", round)
		m.SetShard(shard, "store", vec, 1)
		m.SetShard(shard, "standby", vec, 1)
		m.SetShard(shard, "none", vec, 0)
	}
	counts, teams := series(t, m)
	want := map[string]bool{"other": true}
	for i := range 10 {
		want[fmt.Sprintf("team-49-%d", i)] = true
	}
	if d := cmp.Diff(want, teams); d != "" {
		t.Errorf("teams:\n%s", d)
	}
	got := map[string]int{}
	for _, name := range []string{"request_seconds", "results_total", "task_wait_seconds", "team_running", "team_limit", "task_starts_total", "shard_authority", "shard_free"} {
		got[name] = counts["limpethitch_"+name]
	}
	// 10 teams and other, 2 classes, 4 resources; unknown classes and codes share one label.
	bounds := map[string]int{
		"request_seconds": 22, "results_total": 22, "task_wait_seconds": 11, "team_running": 40, "team_limit": 40,
		"task_starts_total": 1, "shard_authority": 0, "shard_free": 0,
	}
	if d := cmp.Diff(bounds, got); d != "" {
		t.Errorf("series:\n%s", d)
	}
}

// Guards against a shard with the series of two modes at the same time.
func TestShardMode(t *testing.T) {
	m := meter.New()
	m.SetShard("dc1/0", "store", amount.Vec{}, 1)
	m.SetShard("dc1/0", "standby", amount.Vec{}, 1)
	counts, _ := series(t, m)
	if d := cmp.Diff(1, counts["limpethitch_shard_authority"]); d != "" {
		t.Error(d)
	}
}

// Guards against store calls that are not counted by kind and result code.
func TestStoreCalls(t *testing.T) {
	m := meter.New()
	st := m.InstrumentStore(store.NewMemory())
	_, _ = st.Get(t.Context(), "none")
	_, _, _ = st.List(t.Context(), "")
	_, _ = st.Commit(t.Context(), store.NewTxn().Put("a", nil))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = st.Watch(ctx, "a", 0, func(store.Change) {})
	families, err := m.Registry().Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, f := range families {
		if f.GetName() != "limpethitch_store_calls_total" {
			continue
		}
		for _, s := range f.GetMetric() {
			got[s.GetLabel()[1].GetValue()+" "+s.GetLabel()[0].GetValue()] += s.GetCounter().GetValue()
		}
	}
	want := map[string]float64{"read LH6003": 1, "read LH0000": 1, "write LH0000": 1, "watch LH6001": 1}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
