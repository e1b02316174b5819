package owner

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simActions is the length of one random schedule.
const simActions = 60

// simWaits are the times between two faults; the longest lets a takeover
// happen.
var simWaits = []time.Duration{
	60 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 9 * time.Second,
}

// Guards against two VMs that start work for one shard at once, a job write of
// a former owner that takes effect, and a shard that stays without an owner
// once all faults are over, under random schedules of faults.
func TestModel(t *testing.T) {
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Int64().Draw(rt, "seed"), rapid.IntRange(2, 4).Draw(rt, "vms"))
		for range simActions {
			w.act(rt)
			if w.failed != "" {
				rt.Fatalf("at %v: %s", time.Duration(w.now), w.failed)
			}
		}
		w.recover(rt)
		steps += w.steps
	})
	t.Logf("%d machine steps", steps)
}

func (w *world) recover(rt *rapid.T) {
	w.heal()
	for _, v := range w.vms {
		if v.m == nil {
			w.boot(v)
		}
	}
	w.run(80 * time.Second)
	if w.failed != "" {
		rt.Fatalf("after recovery: %s", w.failed)
	}
	if w.starters(2*time.Second) == "" {
		for _, v := range w.vms {
			rt.Logf("%s stopping=%v events=%q authority=%+v machine=%+v", v.incarnation(), v.stopping, v.events, v.m.authority(), v.m)
		}
		rt.Fatalf("nobody starts work after all faults are over; record %+v", w.record())
	}
}

func (w *world) act(rt *rapid.T) {
	v := w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(rt, "vm")]
	peer := rapid.IntRange(simStore, len(w.vms)-1).Draw(rt, "peer")
	wait := rapid.SampledFrom(simWaits).Draw(rt, "wait")
	switch rapid.IntRange(0, 20).Draw(rt, "action") {
	case 0, 1:
		w.pause(v, min(3*wait, 12*time.Second))
	case 2, 3:
		w.crash(v)
	case 4, 5:
		if v.m == nil {
			w.boot(v)
		}
	case 6:
		w.cut[[2]int{v.idx, peer}] = true
	case 7:
		w.cut[[2]int{peer, v.idx}] = true
	case 8:
		w.cut[[2]int{peer, v.idx}], w.cut[[2]int{v.idx, peer}] = true, true
	case 9:
		w.heal()
	case 10:
		w.down = !w.down
	case 11:
		w.lossy = !w.lossy
	case 12:
		w.late = !w.late
	case 13:
		w.stepWall(v)
	case 14:
		w.handOver(peer)
	case 15:
		if v.m != nil {
			w.local(v, v.gen, func() { w.step(v, restarted{}) })
		}
	case 16:
		w.slow[v.idx] = !w.slow[v.idx]
	case 17:
		w.isolate(v)
	case 18:
		w.pause(v, wait)
		w.isolate(v)
	case 19:
		if wait < 9*time.Second {
			break
		}
		// Long enough for the hard deadline to pass; coarser ticks keep it cheap.
		w.tick = int64(2 * time.Second)
		w.run(time.Duration(w.between(40*time.Minute, 90*time.Minute)))
		w.tick = simTick
	case 20:
		// The store is reachable for some VMs only.
		for _, o := range w.vms {
			if w.rng.Intn(2) == 0 {
				w.cut[[2]int{o.idx, simStore}] = true
			}
		}
	}
	w.run(wait)
}

// handOver follows the rule for callers: no start is on its way.
func (w *world) handOver(peer int) {
	for _, v := range w.vms {
		if peer == simStore || peer == v.idx || v.m == nil || v.outstanding > 0 || !v.m.owning.holding {
			continue
		}
		to := w.vms[peer]
		v.stopping = true
		w.local(v, v.gen, func() { w.step(v, handOver{to: to.self}) })
	}
}
