package place_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/place"
)

// crew carries out decisions at once and remembers where tasks run.
type crew struct {
	s    *place.State
	on   map[string]string
	gave map[string]place.Preempt
	// all lists starts, preemptions and drops in order.
	all []string
}

func newCrew(s *place.State) *crew {
	return &crew{s: s, on: map[string]string{}, gave: map[string]place.Preempt{}}
}

// step decides until nothing more is decided at a time.
func (c *crew) step(now clock.Mono) []place.Decision {
	var out []place.Decision
	for _, d := range slices.Clone(c.s.Decide(now, 10_000)) {
		out = append(out, d)
		switch d := d.(type) {
		case place.Start:
			c.on[d.Task()] = d.Worker()
			c.all = append(c.all, "start "+d.Task())
			c.s.Started(d.Task(), now)
		case place.Preempt:
			c.gave[d.Task()] = d
			c.all = append(c.all, string(d.How())+" "+d.Task())
		case place.Drop:
			c.all = append(c.all, "drop "+d.Job()+" "+string(d.Code()))
		case place.Offer:
			c.all = append(c.all, "offer "+d.Job())
		}
	}
	return out
}

func (c *crew) end(task string, how place.Outcome, now clock.Mono) {
	delete(c.on, task)
	delete(c.gave, task)
	c.s.Ended(task, how, now)
}

// tasks returns the running tasks in a fixed order.
func (c *crew) tasks() []string {
	out := make([]string, 0, len(c.on))
	for id := range c.on {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (c *crew) count(prefix string) int {
	n := 0
	for _, e := range c.all {
		if strings.HasPrefix(e, prefix) {
			n++
		}
	}
	return n
}

<<<<<<< HEAD
func urgent(id string, members int) place.Job {
	return place.NewJob(id, "counter", policy.ClassUrgent, members, quarter).WithRun(5 * time.Second).WithRepeatable(true)
}

// TestUrgentOnFullCell guards against urgent work that waits more than 6.8 s on
// a full cell, also where tasks ignore the order to checkpoint, against victims
// that may not run twice, and against preemption beyond a limit.
func TestUrgentOnFullCell(t *testing.T) {
	tests := map[string]struct {
		repeatable, saves bool
		limit             amount.Vec
		want              int
	}{
		"checkpoints":         {true, true, standard, 4},
		"ignores checkpoints": {true, false, standard, 4},
		"not repeatable":      {false, true, standard, 0},
		"at the limit":        {true, true, quarter.Add(quarter), 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLedger(map[string]amount.Vec{"counter": tt.limit})
			c := newCrew(cell(place.Config{Limiter: l, Seed: 3}, 4))
			add(t, c.s, 1, batch("b", 16, quarter).WithRun(time.Hour).WithRepeatable(tt.repeatable))
			c.step(1)
			add(t, c.s, second, urgent("u0", 2), urgent("u1", 1), urgent("u2", 1))
			for now := second; now <= 7*second+second*8/10; now += second / 10 {
				c.step(now)
				for id, d := range c.gave {
					if d.How() == place.HowStop || tt.saves && now >= d.By()-second {
						c.end(id, place.OutcomeStopped, now)
					}
				}
			}
			if got := c.count("start u"); got != tt.want {
				t.Errorf("%d of %d urgent tasks started: %v", got, tt.want, c.all)
			}
			if got := c.count("stop"); (got > 0) == tt.saves && tt.want > 0 {
				t.Errorf("%d tasks were stopped", got)
			}
			if n := c.count("checkpoint"); n > tt.want {
				t.Errorf("%d tasks gave way for %d", n, tt.want)
			}
		})
	}
}

// TestUrgentThrottles guards against stopping work where a throttle makes room,
// against waiting for a worker that ignores the throttle, and against tasks that
// stay slow afterwards.
func TestUrgentThrottles(t *testing.T) {
	for name, obeys := range map[string]bool{"obeyed": true, "ignored": false} {
		t.Run(name, func(t *testing.T) {
			c := newCrew(cell(place.Config{Seed: 3}, 1))
			thin := amount.New(8_000, 4_096, 0, 0)
			add(t, c.s, 1, batch("b", 4, thin).WithRun(time.Hour))
			c.step(1)
			add(t, c.s, second, place.NewJob("u", "counter", policy.ClassUrgent, 1, thin).WithRepeatable(true))
			for now := second; now <= 7*second+second*8/10 && c.count("start u") == 0; now += second / 10 {
				c.step(now)
				for _, id := range c.tasks() {
					d, slow := c.gave[id]
					if obeys && slow && d.How() == place.HowThrottle && now%second == 0 {
						c.s.Usage(id, d.Size(), now)
					}
					if d.How() == place.HowStop {
						c.end(id, place.OutcomeStopped, now)
					}
				}
			}
			if c.count("start u") != 1 || (c.count("checkpoint") == 0) != obeys {
				t.Fatal(c.all)
			}
			if !obeys {
				return
			}
			c.end("u.0", place.OutcomeDone, 20*second)
			c.step(20 * second)
			for _, id := range c.tasks() {
				if diff := cmp.Diff(int64(8_000), c.gave[id].Size().CPUMilli()); diff != "" {
					t.Error(id, diff)
				}
			}
		})
	}
}

=======
>>>>>>> place
// TestRackLost guards against services that sit in one rack and against tasks
// of a lost rack that are never started again.
func TestRackLost(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 1}, 32))
	svc := place.NewJob("svc", "web", policy.ClassService, 8, quarter).WithRepeatable(true)
	add(t, c.s, 1, svc, batch("b", 60, quarter))
	c.step(1)
	racks := map[string]int{}
	for id, w := range c.on {
		if strings.HasPrefix(id, "svc.") {
			racks[rackOf(w)]++
		}
	}
	if diff := cmp.Diff(map[string]int{"r0": 2, "r1": 2, "r2": 2, "r3": 2}, racks); diff != "" {
		t.Fatal(diff)
	}
	for i := range 8 {
		c.s.RemoveWorker(fmt.Sprintf("w%d", i))
	}
	lost := 0
	for _, id := range c.tasks() {
		if rackOf(c.on[id]) == "r0" {
			c.end(id, place.OutcomeLost, 20*second)
			lost++
		}
	}
	before := c.count("start")
	c.step(20 * second)
	if got := c.count("start") - before; got != lost || lost == 0 {
		t.Errorf("%d of %d lost tasks started again", got, lost)
	}
}

// TestRackSpread guards against services that share racks although others are
// free, in a cell too large to look at every rack.
func TestRackSpread(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 1}, 600))
	add(t, c.s, 1, place.NewJob("svc", "web", policy.ClassService, 20, quarter).WithRepeatable(true))
	c.step(1)
	racks := map[string]int{}
	for _, w := range c.on {
		racks[rackOf(w)]++
	}
	if len(racks) < 20 {
		t.Errorf("20 members in %d of 75 racks", len(racks))
	}
}

func rackOf(worker string) string {
	var i int
	fmt.Sscanf(worker, "w%d", &i)
	return fmt.Sprintf("r%d", i/8)
}

// TestServiceRestartsInPlace guards against a service that moves at its first
// failure, and against one that never moves.
func TestServiceRestartsInPlace(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 1}, 16))
	add(t, c.s, 1, place.NewJob("svc", "web", policy.ClassService, 1, quarter).WithRepeatable(true))
	c.step(1)
	first, now := c.on["svc.0"], clock.Mono(1)
	for i := range 3 {
		if got := c.on["svc.0"]; got != first {
			t.Fatalf("after %d failures on %s, not %s", i, got, first)
		}
		now += 100 * second
		c.end("svc.0", place.OutcomeFailed, now)
		c.step(now)
		now += 100 * second
		c.step(now)
	}
	if got := c.on["svc.0"]; got == first || got == "" {
		t.Errorf("after 3 failures on %q", got)
	}
}

// TestHalfFail guards against good jobs that end because half the workers fail
// everything, and against work sent to those workers for ever.
func TestHalfFail(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 5}, 16))
	for i := range 100 {
		add(t, c.s, 1, batch(fmt.Sprintf("b%d", i), 1, quarter))
	}
	bad := func(w string) bool { return rackOf(w) == "r0" }
	failed := 0
	now := clock.Mono(1)
	for ; c.s.Len()+len(c.on) > 0 && now < 600*second; now += second {
		c.step(now)
		for _, id := range c.tasks() {
			if bad(c.on[id]) {
				c.end(id, place.OutcomeFailed, now)
				failed++
			} else if now%(5*second) == 1 {
				c.end(id, place.OutcomeDone, now)
			}
		}
	}
	if c.s.Len()+len(c.on) > 0 || c.count("drop") > 0 {
		t.Errorf("%d wait, %d run, %d dropped", c.s.Len(), len(c.on), c.count("drop"))
	}
	if failed > 100 {
		t.Errorf("%d failures", failed)
	}
}

// TestJobFailsEverywhere guards against a job that is tried without end and
// against workers that are quarantined for the faults of jobs.
func TestJobFailsEverywhere(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 5}, 8))
	add(t, c.s, 1, batch("good", 400, quarter), batch("bad", 20, quarter))
	for now := clock.Mono(1); now < 100*second; now += second {
		c.step(now)
		for _, id := range c.tasks() {
			if strings.HasPrefix(id, "bad.") {
				c.end(id, place.OutcomeFailed, now)
			} else if now%(4*second) == 1 {
				c.end(id, place.OutcomeDone, now)
			}
		}
	}
	if diff := cmp.Diff(1, c.count("drop bad "+string(rcode.JobFailed))); diff != "" {
		t.Error(diff)
	}
	for i := range 8 {
		if w := fmt.Sprintf("w%d", i); c.s.Quarantined(w) {
			t.Errorf("%s is quarantined", w)
		}
	}
}

// TestManyBadJobs guards against bad jobs of one kind that together have all
// workers quarantined.
func TestManyBadJobs(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 5}, 8))
	add(t, c.s, 1, batch("good", 200, quarter).WithKind("good"))
	for i := range 20 {
		add(t, c.s, 1, batch(fmt.Sprintf("bad%d", i), 20, quarter).WithKind("bad"))
	}
	out := map[string]bool{}
	for now := clock.Mono(1); now < 200*second; now += second {
		c.step(now)
		for _, id := range c.tasks() {
			if strings.HasPrefix(id, "bad") {
				c.end(id, place.OutcomeFailed, now)
			} else if now%(4*second) == 1 {
				c.end(id, place.OutcomeDone, now)
			}
		}
		for i := range 8 {
			if w := fmt.Sprintf("w%d", i); c.s.Quarantined(w) {
				out[w] = true
			}
		}
	}
	if len(out) > 0 || c.count("drop bad") != 20 || c.s.Len() > 0 {
		t.Errorf("quarantined %v, %d of 20 dropped, %d wait", out, c.count("drop bad"), c.s.Len())
	}
}

// TestQuarantine guards against a worker that fails three different jobs and
// still receives work, and against a backoff that does not grow.
func TestQuarantine(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 5}, 1))
	for i := range 8 {
		add(t, c.s, 1, batch(fmt.Sprintf("b%d", i), 1, quarter))
	}
	c.step(1)
	for _, id := range c.tasks()[:3] {
		c.end(id, place.OutcomeFailed, second)
	}
	if !c.s.Quarantined("w0") {
		t.Fatal("not quarantined")
	}
	for _, id := range c.tasks() {
		c.end(id, place.OutcomeLost, second)
	}
	var tries []int
	last := 1
	for now := 2; now < 300; now++ {
		c.step(clock.Mono(now) * second)
		for _, id := range c.tasks() {
			tries = append(tries, now-last)
			last = now
			c.end(id, place.OutcomeFailed, clock.Mono(now)*second)
		}
	}
	if len(tries) < 3 || tries[1] < tries[0]*3/2 || tries[2] < tries[1]*3/2 {
		t.Errorf("tried after %v s", tries)
	}
	if c.count("drop") > 0 {
		t.Error("a job was dropped for the faults of the worker")
	}
}

// TestManyCancels guards against cancels that cost more with more jobs waiting
// and against cancelled jobs that start.
func TestManyCancels(t *testing.T) {
	s := cell(place.Config{}, 1)
	for i := range 10_000 {
		add(t, s, 1, batch(fmt.Sprintf("b%d", i), 1, standard))
	}
	i := 0
	allocs := testing.AllocsPerRun(9_998, func() {
		s.Cancel(fmt.Sprintf("b%d", i))
		i++
	})
	if allocs > 3 {
		t.Errorf("%v allocations for a cancel", allocs)
	}
	if diff := cmp.Diff([]string{"b9999.0"}, starts(s.Decide(1, 100))); diff != "" || s.Len() != 0 {
		t.Error(diff, s.Len())
	}
}

// TestTwoGangs guards against two gangs that each need more than half of the
// workers and keep each other, or smaller work, from ever starting.
func TestTwoGangs(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 2}, 8))
	gang := func(id string) place.Job {
		return place.NewJob(id, id, policy.ClassGang, 20, quarter).WithRun(20 * time.Second).WithRepeatable(true)
	}
	began := map[string]clock.Mono{}
	ends := map[string]clock.Mono{}
	for i := 0; i < 200; i++ {
		now := clock.Mono(i)*second + 1
		if i%2 == 0 {
			add(t, c.s, now, batch(fmt.Sprintf("b%d", i), 6, quarter).WithRun(10*time.Second))
		}
		if i == 10 {
			add(t, c.s, now, gang("g0"), gang("g1"))
		}
		for _, id := range c.tasks() {
			if now >= ends[id] {
				c.end(id, place.OutcomeDone, now)
			}
		}
		for _, d := range c.step(now) {
			if st, ok := d.(place.Start); ok {
				ends[st.Task()] = st.RunEnd()
				began[st.Job()] = now
			}
		}
	}
	for _, g := range []string{"g0", "g1"} {
		if at := began[g]; at == 0 || at > 100*second {
			t.Errorf("%s began at %d s", g, at/second)
		}
	}
	if got := c.count("start g"); got != 40 {
		t.Errorf("%d members started", got)
	}
}

// TestLoweredLimit guards against a team that stays above a lowered limit for
// 5 s, that loses its services first, or that loses more than it must.
func TestLoweredLimit(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 2}, 4))
	add(t, c.s, 1, place.NewJob("a", "school", policy.ClassService, 4, quarter).WithRepeatable(true), batch("b", 8, quarter))
	c.step(1)
	c.s.Shed("school", amount.New(6*8_000, 0, 0, 0), 10*second)
	for now := 10 * second; now <= 15*second; now += second / 10 {
		c.step(now)
		for id, d := range c.gave {
			if d.How() == place.HowStop {
				c.end(id, place.OutcomeStopped, now)
			}
		}
		if len(c.on) <= 6 {
			break
		}
	}
	if len(c.on) != 6 || c.count("stop a") != 0 {
		t.Errorf("%d run: %v", len(c.on), c.all)
	}
}

// TestOverload guards against more work on a worker whose usage passed its
// capacity, and against one that stays there.
func TestOverload(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 2}, 1))
	small := amount.New(2_000, 8_192, 0, 0)
	add(t, c.s, 1, batch("b", 6, small).WithRun(time.Hour))
	c.step(1)
	add(t, c.s, 2, batch("c", 1, small).WithRun(time.Hour))
	mem := map[string]int64{}
	for now := second; now < 30*second; now += second {
		for _, id := range c.tasks() {
			mem[id] = 16_384
			c.s.Usage(id, amount.New(8_000, mem[id], 0, 0), now)
		}
		c.step(now)
		for id, d := range c.gave {
			if d.How() != place.HowThrottle {
				c.end(id, place.OutcomeStopped, now)
			}
		}
		if now == second && len(c.on) != 6 {
			t.Errorf("%d run on an overloaded worker", len(c.on))
		}
	}
	if len(c.on) > 4 || len(c.on) == 0 {
		t.Errorf("%d of 16 GiB run in 64 GiB", len(c.on))
	}
}

// TestThrottleLifts guards against tasks held to a throttle after room came
// back.
func TestThrottleLifts(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 2}, 1))
	add(t, c.s, 1, batch("b", 4, amount.New(4_000, 4_096, 0, 0)).WithRun(time.Hour))
	c.step(1)
	cpu := map[string]int64{}
	round := func(from, to clock.Mono) {
		for now := from; now < to; now += second {
			for _, id := range c.tasks() {
				used := int64(12_000)
				if d, ok := c.gave[id]; ok {
					used = min(used, d.Size().CPUMilli())
				}
				cpu[id] = used
				c.s.Usage(id, amount.New(used, 4_096, 0, 0), now)
			}
			c.step(now)
		}
	}
	round(second, 10*second)
	var sum int64
	for _, v := range cpu {
		sum += v
	}
	if sum > 32_000 || c.count("checkpoint") > 0 {
		t.Fatalf("%d milli used: %v", sum, c.all)
	}
	c.end("b.0", place.OutcomeDone, 10*second)
	c.end("b.1", place.OutcomeDone, 10*second)
	round(10*second, 15*second)
	if cpu["b.2"] != 12_000 || cpu["b.3"] != 12_000 {
		t.Errorf("still held to %v", cpu)
	}
}

// TestClockSteps guards against a reading older than the last one.
func TestClockSteps(t *testing.T) {
	c := newCrew(cell(place.Config{Seed: 2}, 2))
	add(t, c.s, 100*second, batch("b", 4, quarter).WithDeadline(110*second))
	if !c.s.Hold("h", "t", quarter, 2, 120*second) {
		t.Fatal("hold refused")
	}
	c.step(100 * second)
<<<<<<< HEAD
	c.s.Ended("b.0", place.OutcomeLost, 5*second)
	c.step(1)
	if got := c.count("start"); got != 5 {
		t.Errorf("%d starts", got)
=======
	c.s.Ended("b.0", place.OutcomeLost, 5*second)
	got := c.step(1)
	if len(got) != 1 {
		t.Fatalf("decided %v", got)
	}
	if st, ok := got[0].(place.Start); !ok || st.RunEnd() < 160*second {
		t.Errorf("a minute from 100 s ends at %d s", st.RunEnd()/second)
>>>>>>> place
	}
	if _, err := c.s.CommitHold("h", place.NewJob("g", "t", policy.ClassGang, 4, quarter), 0, 2); err != nil {
		t.Error(err)
	}
}
<<<<<<< HEAD

// TestOutOfService guards against starts in a data centre that is out.
func TestOutOfService(t *testing.T) {
	s := cell(place.Config{}, 1)
	s.SetInService(false)
	add(t, s, 1, batch("b", 1, quarter))
	if got := starts(s.Decide(1, 10)); len(got) > 0 || s.Hold("h", "t", quarter, 1, second) {
		t.Errorf("started %v", got)
	}
	if diff := cmp.Diff(place.ReasonOut, s.Why("b")); diff != "" {
		t.Error(diff)
	}
	s.SetInService(true)
	if got := starts(s.Decide(2, 10)); len(got) != 1 {
		t.Errorf("started %v", got)
	}
}

// TestWhy guards against a job that waits without a reason, or the wrong one.
func TestWhy(t *testing.T) {
	full := func(s *place.State) { add(t, s, 1, batch("full", 4, quarter)); s.Decide(1, 10) }
	tests := map[string]struct {
		cfg    place.Config
		before func(s *place.State)
		job    place.Job
		want   place.Reason
	}{
		"started": {job: batch("b", 1, quarter), want: place.ReasonNone},
		"no room": {before: full, job: batch("b", 1, quarter), want: place.ReasonNoRoom},
		"limit": {
			cfg: place.Config{Limiter: newLedger(map[string]amount.Vec{"school": {}})},
			job: batch("b", 1, quarter), want: place.ReasonLimit,
		},
		"unready": {
			before: func(s *place.State) {
				s.RemoveWorker("w0")
				s.PutWorker(place.NewWorkerSpec("w1", "r", standard), 1)
			},
			job: batch("b", 1, quarter), want: place.ReasonUnready,
		},
		"never here": {
			cfg: place.Config{CellCapacity: func(amount.Vec) int { return 8 }, OfferAfter: -1},
			job: place.NewJob("b", "t", policy.ClassGang, 5, quarter), want: place.ReasonNever,
		},
		"reservation": {
			before: func(s *place.State) {
				add(t, s, 1, batch("a", 2, quarter).WithRun(time.Hour))
				s.Decide(1, 10)
				add(t, s, 2, place.NewJob("g", "t", policy.ClassGang, 4, quarter))
				s.Decide(2, 10)
			},
			job: batch("b", 1, quarter).WithRun(2 * time.Hour), want: place.ReasonReservation,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := cell(tt.cfg, 1)
			if tt.before != nil {
				tt.before(s)
			}
			add(t, s, 3, tt.job)
			s.Decide(3, 10)
			if diff := cmp.Diff(tt.want, s.Why("b")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBackfill guards against smaller work that delays a reservation, and
// against room that stays empty although work would end before it.
func TestBackfill(t *testing.T) {
	s := cell(place.Config{}, 1)
	add(t, s, 1, batch("a", 2, quarter).WithRun(time.Minute))
	s.Decide(1, 10)
	add(t, s, 2, place.NewJob("g", "t", policy.ClassGang, 4, quarter))
	s.Decide(2, 10)
	add(t, s, 3, batch("long", 1, quarter).WithRun(2*time.Minute), batch("short", 1, quarter).WithRun(30*time.Second))
	if diff := cmp.Diff([]string{"short.0"}, starts(s.Decide(3, 10))); diff != "" {
		t.Error(diff)
	}
}

// TestAccelerators guards against other work that strands accelerators.
func TestAccelerators(t *testing.T) {
	s := cell(place.Config{}, 1)
	s.PutWorker(place.NewWorkerSpec("acc", "r9", amount.New(32_000, 65_536, 4, 0)), 1)
	s.Ready("acc")
	add(t, s, 1, batch("b", 20, quarter))
	if got := len(starts(s.Decide(1, 100))); got != 6 {
		t.Errorf("%d tasks without accelerators started, not 4 and half of 4", got)
	}
	add(t, s, 2, batch("a", 2, amount.New(8_000, 16_384, 2, 0)))
	if diff := cmp.Diff([]string{"a.0", "a.1"}, starts(s.Decide(2, 100))); diff != "" {
		t.Error(diff)
	}
}

// TestOffer guards against a job that starts here while another shard may have
// taken it, and against one that is forgotten after it was declined.
func TestOffer(t *testing.T) {
	cell8 := func(amount.Vec) int { return 8 }
	c := newCrew(cell(place.Config{CellCapacity: cell8, OfferAfter: 5 * time.Second}, 1))
	add(t, c.s, 1, batch("full", 4, quarter), place.NewJob("g", "t", policy.ClassGang, 6, quarter))
	c.step(1)
	add(t, c.s, 1, batch("b", 1, quarter))
	for now := second; now < 12*second; now += second {
		c.step(now)
	}
	c.end("full.0", place.OutcomeDone, 12*second)
	c.step(12 * second)
	if diff := cmp.Diff([]int{1, 1, 0}, []int{c.count("offer b"), c.count("offer g"), c.count("start b")}); diff != "" {
		t.Fatal(diff, c.all)
	}
	c.s.Declined("b", 13*second)
	c.step(13 * second)
	if c.count("start b") != 1 {
		t.Error(c.all)
	}
	c.end("full.1", place.OutcomeDone, 14*second)
	if !c.s.Hold("h", "t", quarter, 1, 20*second) {
		t.Fatal("hold refused")
	}
	gang := place.NewJob("g", "t", policy.ClassGang, 6, quarter)
	if _, err := c.s.CommitHold("h", gang, 0, 15*second); err != nil {
		t.Fatal(err)
	}
	c.s.Elsewhere("g", 1, 5)
	if diff := cmp.Diff(0, c.s.Len()); diff != "" {
		t.Error(diff)
	}
	c.s.Ended("g.3", place.OutcomeDone, 16*second)
	c.step(17 * second)
	if c.count("stop g") > 0 || c.count("offer g") > 1 {
		t.Error(c.all)
	}
}

// TestRecovery guards against members that run or are done and start again
// after a takeover, and against ones that are never started.
func TestRecovery(t *testing.T) {
	c := newCrew(place.New(place.Config{}))
	job := batch("b", 5, quarter)
	c.s.PutWorker(place.NewWorkerSpec("w0", "r0", standard), 1)
	for _, m := range []int{3, 1} {
		if err := c.s.Adopt(place.NewTask(job, m, "w0", quarter, 1, 0), 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.s.Adopt(place.NewTask(job, 1, "w0", quarter, 1, 0), 1); !rcode.Is(err, rcode.Conflict) {
		t.Errorf("adopted twice: %v", err)
	}
	add(t, c.s, 1, job)
	c.s.Ended("b.0", place.OutcomeDone, 1)
	if got := c.step(2); len(got) > 0 {
		t.Fatalf("decided %v before the worker was ready", got)
	}
	c.s.Ready("w0")
	c.step(3)
	c.s.Ended("b.1", place.OutcomeDone, 4)
	c.s.Ended("b.3", place.OutcomeLost, 4)
	c.step(5)
	slices.Sort(c.all)
	if diff := cmp.Diff([]string{"start b.2", "start b.3", "start b.4"}, c.all); diff != "" {
		t.Error(diff)
	}
}

// TestDrops guards against work that may run twice and against late starts.
func TestDrops(t *testing.T) {
	once := batch("b", 1, quarter).WithRepeatable(false)
	tests := map[string]struct {
		job  place.Job
		ends place.Outcome
		want []string
	}{
		"lost, repeatable":    {batch("b", 1, quarter), place.OutcomeLost, []string{"start b.0", "start b.0"}},
		"lost, once":          {once, place.OutcomeLost, []string{"start b.0", "drop b LH3001"}},
		"stopped, once":       {once, place.OutcomeStopped, []string{"start b.0", "drop b LH3001"}},
		"failed, once":        {once, place.OutcomeFailed, []string{"start b.0", "drop b LH1010"}},
		"refused, once":       {once, place.OutcomeRefused, []string{"start b.0", "start b.0"}},
		"deadline has passed": {batch("b", 1, quarter).WithDeadline(1), "", []string{"drop b LH1006"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrew(cell(place.Config{}, 2))
			add(t, c.s, 1, tt.job)
			c.step(2)
			if tt.ends != "" {
				c.end("b.0", tt.ends, 3)
			}
			c.step(4)
			c.step(10 * second)
			if diff := cmp.Diff(tt.want, c.all); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAllocations bounds the allocations of a start with 10,000 jobs waiting:
// the task's id, the decision and the job's own record.
func TestAllocations(t *testing.T) {
	s := cell(place.Config{}, 600)
	for i := range 13_000 {
		add(t, s, 1, batch(fmt.Sprintf("b%d", i), 1, quarter))
	}
	running := starts(s.Decide(1, 10_000))
	allocs := testing.AllocsPerRun(1000, func() {
		s.Ended(running[0], place.OutcomeDone, 2)
		running = running[1:]
		s.Decide(2, 10)
	})
	if allocs > 4 {
		t.Errorf("%v allocations for a start", allocs)
	}
}
=======
>>>>>>> place
