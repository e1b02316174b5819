package place

import (
	"testing"
	"time"
)

// deployments are the two of the design page and the same ten times as large.
var deployments = map[string]shape{
	"arequipa":     {workers: 50, perRack: 8, teams: 6, length: 30 * time.Minute, load: 0.9, seeds: 4},
	"trinidad":     {workers: 50, perRack: 6, teams: 6, length: 60 * time.Minute, load: 1.1, long: true, seeds: 4},
	"arequipa x10": {workers: 500, perRack: 8, teams: 60, length: 8 * time.Minute, load: 0.9, seeds: 1},
	"trinidad x10": {workers: 500, perRack: 6, teams: 60, length: 20 * time.Minute, load: 1.1, long: true, seeds: 1},
}

// compareSeed is the first seed; a deployment uses that and the following ones.
const compareSeed = 20191

// mean returns the mean figures over the seeds of a deployment, and the longest
// waiting times.
func (sh shape) mean(build func(seed uint64) decider) figures {
	var sum figures
	n := float64(sh.seeds)
	for i := range uint64(sh.seeds) {
		f := drive(build(compareSeed+i), sh, sh.stream(compareSeed+i))
		sum.urgentP50, sum.urgentP99 = max(sum.urgentP50, f.urgentP50), max(sum.urgentP99, f.urgentP99)
		sum.onTime += f.onTime / n
		sum.packing += f.packing / n
		sum.agreement += f.agreement / n
		sum.kept += f.kept / n
	}
	return sum
}

func (sh shape) ours(cfg Config) figures {
	return sh.mean(func(seed uint64) decider {
		cfg.Seed, cfg.OfferAfter = seed, -1
		return newCell(cfg, sh.workers, sh.perRack, benchCapacity)
	})
}

func (sh shape) base(fair bool) figures {
	return sh.mean(func(uint64) decider { return newBaseline(fair, sh.workers, benchCapacity, nil) })
}

// slack is how much worse than a baseline a measure may be that weighs less.
const slack = 0.05

// TestCompare guards against placement that is worse than first come first
// served with first fit or than a weighted fair queue with best fit. Urgent
// waiting and the measure that weighs most for the deployment must be better,
// no other worse by more than slack. Distance from shares and work lost are
// compared as their complements, since a baseline that never preempts loses 0.
func TestCompare(t *testing.T) {
	for name, sh := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ours, first, fair := sh.ours(Config{}), sh.base(false), sh.base(true)
			t.Logf("seeds %d+%d\nplace     %v\nfirst fit %v\nfair      %v", compareSeed, sh.seeds, ours, first, fair)
			for base, f := range map[string]figures{"first fit": first, "fair": fair} {
				for _, fault := range ours.worse(f, sh.long) {
					t.Errorf("seed %d: against %s: %s", compareSeed, base, fault)
				}
			}
		})
	}
}

// worse returns the measures on which f breaks the bounds against base.
func (f figures) worse(base figures, packing bool) []string {
	var out []string
	require := func(ok bool, measure string) {
		if !ok {
			out = append(out, measure)
		}
	}
	require(f.urgentP50 <= base.urgentP50, "urgent waiting p50")
	require(f.urgentP99 < base.urgentP99, "urgent waiting p99")
	if packing {
		require(f.packing > base.packing, "packing of long jobs")
	} else {
		require(f.onTime > base.onTime, "batches whole on time")
	}
	require(f.packing >= base.packing*(1-slack), "packing")
	require(f.onTime >= base.onTime*(1-slack), "on time")
	require(f.agreement >= base.agreement*(1-slack), "share agreement")
	require(f.kept >= base.kept*(1-slack), "work kept")
	return out
}
