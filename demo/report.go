package main

import (
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/rcode"
	"limpethitch.example/stand/wrkr"
)

// allowed is how long after a withdrawal is in force old work may still start:
// "a few seconds" of the requirements.
const allowed = 3 * time.Second

// check is the verdict on one invariant.
type check struct {
	id, text   string
	cases      int
	violations []string
}

func (c *check) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// report prints the tables and returns the number of violations.
func report(c *cluster, l *load, w *watch, f *faults, r *records, took time.Duration) int {
	printClasses(l)
	printJobs(l)
	printTeams(c, w, r)
	s := r.store
	fmt.Printf("\nstore: %d reads and %d writes in %.0f s (%.1f and %.1f a second), peaks %d and %d a second, %d watches\n",
		s.Reads, s.Writes, took.Seconds(), float64(s.Reads)/took.Seconds(), float64(s.Writes)/took.Seconds(),
		s.PeakReadsPerSec, s.PeakWritesPerSec, s.Watches)
	fmt.Printf("packing: %s\n", packing(r))
	checks := judge(c, l, w, f, r)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\ninvariant\tcases\tviolations\t")
	total := 0
	for _, k := range checks {
		fmt.Fprintf(out, "%s %s\t%d\t%d\t\n", k.id, k.text, k.cases, len(k.violations))
		total += len(k.violations)
	}
	_ = out.Flush()
	for _, k := range checks {
		for i, v := range k.violations {
			if i == 5 {
				fmt.Printf("%s: and %d more\n", k.id, len(k.violations)-i)
				break
			}
			fmt.Printf("%s: %s\n", k.id, v)
		}
	}
	for _, name := range w.stuck {
		fmt.Printf("entry VM %s stopped answering; its stacks are in its log\n", name)
		total++
	}
	if f != nil {
		for _, e := range f.errs {
			fmt.Println("fault not injected as planned:", e)
			total++
		}
	}
	fmt.Println()
	return total
}

func printClasses(l *load) {
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\ncall\tcode\tcount\tp50\tp99\tp99.9\t")
	for _, row := range l.caller.Recorder().Rows() {
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\t%s\t\n", row.Class(), row.Code(), row.Count(), ms(row.Latency(50)), ms(row.Latency(99)), ms(row.Latency(99.9)))
	}
	_ = out.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

func printJobs(l *load) {
	type line struct {
		count, done, inTime int
		states              map[string]int
		took                []int64
	}
	lines := map[string]*line{}
	var names []string
	for _, j := range l.jobs {
		k := lines[j.load.Queue]
		if k == nil {
			k = &line{states: map[string]int{}}
			lines[j.load.Queue] = k
			names = append(names, j.load.Queue)
		}
		k.count++
		state := j.state
		if j.reason != "" {
			state += " (" + j.reason + ")"
		}
		k.states[state]++
		if j.state == "done" {
			k.done++
			k.took = append(k.took, j.endMS-j.atMS)
			if j.endMS <= j.dueMS {
				k.inTime++
			}
		}
	}
	sort.Strings(names)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\njobs\taccepted\tdone whole\tin time\tp50\tp99\tstates\t")
	for _, n := range names {
		k := lines[n]
		sort.Slice(k.took, func(a, b int) bool { return k.took[a] < k.took[b] })
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d ms\t%d ms\t%v\t\n", n, k.count, k.done, k.inTime, quantile(k.took, 0.5), quantile(k.took, 0.99), k.states)
	}
	_ = out.Flush()
	if len(l.refused) > 0 {
		fmt.Printf("submissions refused: %v\n", l.refused)
	}
}

func quantile(sorted []int64, q float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// step is a start or an end of a task at a worker.
type step struct {
	atMS  int64
	start bool
	rec   wrkr.Record
	place int
}

// steps lists all starts and ends in order; an end goes before a start of the
// same millisecond.
func steps(r *records) []step {
	var out []step
	for i, w := range r.workers {
		for _, s := range w.Starts {
			out = append(out, step{atMS: s.AtUnixMS, start: true, rec: s, place: i})
			if s.EndedUnixMS > 0 {
				out = append(out, step{atMS: s.EndedUnixMS, rec: s, place: i})
			}
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].atMS != out[b].atMS {
			return out[a].atMS < out[b].atMS
		}
		return !out[a].start && out[b].start
	})
	return out
}

// peaks returns the most that each team ran at once on all workers together.
func peaks(r *records) map[string]amount.Vec {
	now, peak := map[string]amount.Vec{}, map[string]amount.Vec{}
	for _, s := range steps(r) {
		t := s.rec.Team
		if s.start {
			now[t] = now[t].Add(s.rec.Size)
		} else {
			now[t] = now[t].Sub(s.rec.Size)
		}
		peak[t] = peak[t].Max(now[t])
	}
	return peak
}

func printTeams(c *cluster, w *watch, r *records) {
	peak := peaks(r)
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "\nteam\tshare\tpeak cpu\tlimit\tpeak memory MiB\tlimit\tpeak requests (sampled)\tlimit\t")
	for _, t := range c.doc.Teams {
		p := peak[t.Name]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", t.Name, t.Share, p.CPUMilli(), t.Limit.CPUMilli,
			p.MemoryMiB(), t.Limit.MemoryMiB, w.requests[t.Name], t.Limit.Requests)
	}
	_ = out.Flush()
}

// packing is the mean over time of what was set aside on workers that ran
// something, as a part of their capacity.
func packing(r *records) string {
	var used, room float64
	for _, w := range r.workers {
		var busy, area, at int64
		running := 0
		for _, s := range steps(&records{workers: []wrkr.Stats{w}}) {
			if running > 0 {
				area += busy * (s.atMS - at)
				room += float64(w.Capacity.CPUMilli() * (s.atMS - at))
			}
			at = s.atMS
			if s.start {
				running++
				busy += s.rec.Size.CPUMilli()
			} else {
				running--
				busy -= s.rec.Size.CPUMilli()
			}
		}
		used += float64(area)
	}
	if room == 0 {
		return "no worker ran anything"
	}
	return fmt.Sprintf("%.1f%% of the processors of workers in use were set aside", 100*used/room)
}

func judge(c *cluster, l *load, w *watch, f *faults, r *records) []*check {
	out := []*check{
		held(r), twice(r), keys(f, l), limits(c, w, r), outOf(c, f, r), own(l), notRun(l, r), once(l, r), left(f, w), graceful(f, l), versions(f, w),
	}
	return out
}

func held(r *records) *check {
	k := &check{id: "I1", text: "no VM holds more than it can"}
	for _, w := range r.workers {
		k.cases += len(w.Starts)
		if !w.Peak.Fits(w.Capacity) {
			k.fail("worker %s held %v of %v: %s", w.ID, w.Peak, w.Capacity, fullest(w))
		}
	}
	for _, b := range r.backends {
		k.cases += len(b.Runs)
		if b.PeakRunning > 8 || b.PeakConnections > 64 || b.Refused > 0 || b.RefusedConnections > 0 {
			k.fail("backend server %s: peak %d running, %d connections, %d refused, %d connections refused",
				b.ID, b.PeakRunning, b.PeakConnections, b.Refused, b.RefusedConnections)
		}
	}
	return k
}

// fullest lists what a worker ran when it held most.
func fullest(w wrkr.Stats) string {
	running, most := map[string]step{}, ""
	var now, peak int64
	for _, s := range steps(&records{workers: []wrkr.Stats{w}}) {
		if !s.start {
			now -= s.rec.Size.CPUMilli()
			delete(running, s.rec.ID)
			continue
		}
		now += s.rec.Size.CPUMilli()
		running[s.rec.ID] = s
		if now <= peak {
			continue
		}
		peak, most = now, ""
		for id, r := range running {
			most += fmt.Sprintf(" %s attempt %x from %d to %d: %dm;", id, r.rec.Attempt, r.atMS, r.rec.EndedUnixMS, r.rec.Size.CPUMilli())
		}
	}
	return most
}

func twice(r *records) *check {
	k := &check{id: "I2", text: "no task runs in two places"}
	running := map[string]int{}
	for _, s := range steps(r) {
		if !s.start {
			running[s.rec.ID]--
			continue
		}
		k.cases++
		if running[s.rec.ID]++; running[s.rec.ID] > 1 {
			k.fail("task %s started on %s while it ran elsewhere", s.rec.ID, r.workers[s.place].ID)
		}
	}
	return k
}

func keys(f *faults, l *load) *check {
	k := &check{id: "I3", text: "keys decide, revoked ones stop"}
	if f == nil {
		return k
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	k.cases = f.probes
	if late := f.lateKeyMS - f.revokedMS; f.lateKeyMS > 0 && late > allowed.Milliseconds() {
		k.fail("the revoked key worked %d ms after the version was in force", late)
	}
	for _, s := range l.sent {
		if s.team == f.revoked && f.revokedMS > 0 && s.atMS > f.revokedMS+allowed.Milliseconds() {
			k.cases++
			if s.code == rcode.OK {
				k.fail("a request with the revoked key ran %d ms later", s.atMS-f.revokedMS)
			}
		}
	}
	return k
}

func limits(c *cluster, w *watch, r *records) *check {
	k := &check{id: "I4", text: "no team above its limit"}
	peak := peaks(r)
	for _, t := range c.doc.Teams {
		k.cases++
		limit := amount.New(t.Limit.CPUMilli, t.Limit.MemoryMiB, t.Limit.Accelerators, t.Limit.Requests)
		if !peak[t.Name].Fits(limit) || w.requests[t.Name] > t.Limit.Requests {
			k.fail("team %s ran %v and %d requests, its limit is %v", t.Name, peak[t.Name], w.requests[t.Name], limit)
		}
	}
	return k
}

func outOf(c *cluster, f *faults, r *records) *check {
	k := &check{id: "I5", text: "no start in a data centre taken out"}
	if f == nil || f.outMS == 0 {
		return k
	}
	for i, w := range r.workers {
		if c.workers[i].dc != f.outDC {
			continue
		}
		for _, s := range w.Starts {
			if s.AtUnixMS < f.outMS {
				continue
			}
			k.cases++
			if s.AtUnixMS > f.outMS+allowed.Milliseconds() && s.AtUnixMS < f.inMS {
				k.fail("task %s started on %s %d ms after data centre %s was out", s.ID, w.ID, s.AtUnixMS-f.outMS, f.outDC)
			}
		}
	}
	return k
}

func own(l *load) *check {
	k := &check{id: "I6", text: "each caller gets its own whole response"}
	for _, s := range l.sent {
		k.cases++
		if s.code == rcode.AnswerMismatched || s.code == rcode.AnswerIncomplete {
			k.fail("request %s: %s", s.id, s.err)
		}
	}
	return k
}

// runsOf counts how often each request id ran.
func runsOf(r *records) map[string]int {
	out := map[string]int{}
	for _, b := range r.backends {
		for id, n := range b.Runs {
			out[id] += n
		}
	}
	return out
}

func notRun(l *load, r *records) *check {
	k := &check{id: "I7", text: "not run means not run"}
	ran := runsOf(r)
	for _, s := range l.sent {
		if s.id == "" || !s.code.NotRun() {
			continue
		}
		k.cases++
		if ran[s.id] > 0 {
			k.fail("request %s got %s and ran %d times", s.id, s.code, ran[s.id])
		}
	}
	return k
}

func once(l *load, r *records) *check {
	k := &check{id: "I8", text: "not repeatable runs at most once"}
	ran := runsOf(r)
	for _, s := range l.sent {
		if s.id == "" {
			continue
		}
		k.cases++
		if ran[s.id] > 1 {
			k.fail("request %s ran %d times", s.id, ran[s.id])
		}
	}
	return k
}

func left(f *faults, w *watch) *check {
	k := &check{id: "I9", text: "a leaving backend server gets nothing new"}
	if f == nil {
		return k
	}
	n, err := runsAt(f.leaving)
	w.mu.Lock()
	defer w.mu.Unlock()
	k.cases = w.leftRuns
	if err != nil || !w.left {
		k.fail("the leaving backend server could not be read")
	} else if n > w.leftRuns {
		k.fail("%s ran %d requests more than 5 s after it was leaving", f.leaving.id, n-w.leftRuns)
	}
	return k
}

func graceful(f *faults, l *load) *check {
	k := &check{id: "I10", text: "a planned stop cuts off no request"}
	if f == nil || f.stopped == nil {
		return k
	}
	stopMS := f.stopped.goneMS
	for _, s := range l.sent {
		if s.atMS < stopMS-2000 || s.atMS > stopMS+10_000 {
			continue
		}
		k.cases++
		if s.code == rcode.OutcomeUnknown {
			k.fail("request at %d ms after the stop: %s", s.atMS-stopMS, s.err)
		}
	}
	return k
}

func versions(f *faults, w *watch) *check {
	k := &check{id: "I11", text: "bundles are in force in seconds, none reverts"}
	w.mu.Lock()
	defer w.mu.Unlock()
	k.cases = w.samples
	if w.reverts > 0 {
		k.fail("%d samples showed a lower version than before", w.reverts)
	}
	if f != nil {
		for _, d := range f.rollouts {
			if d > 15*time.Second {
				k.fail("a version was in force only after %v", d)
			}
		}
	}
	return k
}
