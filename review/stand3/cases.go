package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// setUp starts a system of three processes and a number of machines.
func (w *world) setUp(machines, cpu int) {
	w.store.put("op/config", config(7, 4))
	for i := range machines {
		w.cloud.add(fmt.Sprintf("m-%02d", i), i, cpu)
	}
	w.startSystem(3)
	w.awaitReady()
	time.Sleep(2 * time.Second)
}

// lastingRun is a run of a lasting task, as its minion sees it.
type lastingRun struct {
	minion  *minion
	begunAt time.Time
	// orderedAway is set once an order of the system has ended the run.
	orderedAway bool
	// overAt is when the run ended; zero is not yet.
	overAt time.Time
}

// availability follows the tasks of one step that lasts.
type availability struct {
	mu     sync.Mutex
	w      *world
	most   int                    // max_unavailable
	tasks  map[string]*lastingRun // the last run of each task
	broken bool
}

// atWork reports whether a run is at work, beyond its startup.
func (r *lastingRun) atWork(now time.Time) bool {
	return r.overAt.IsZero() && !r.orderedAway && now.Sub(r.begunAt) >= startupTime
}

// isAway reports whether a task is away as the rule AVAIL says: ended by an order, or not at work for
// notice_ms for any cause.
func (r *lastingRun) isAway(now time.Time) (string, bool) {
	switch {
	case r.atWork(now):
		return "", false
	case r.orderedAway:
		return "ended by an order", true
	case !r.overAt.IsZero() && now.Sub(r.overAt) >= noticeMS*time.Millisecond:
		return fmt.Sprintf("not at work for %v", now.Sub(r.overAt).Round(time.Millisecond)), true
	default:
		return "", false
	}
}

func (a *availability) began(n *minion, r *run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.tasks[r.task]
	next := &lastingRun{minion: n, begunAt: r.begunAt}
	if old != nil && !old.overAt.IsZero() {
		a.w.rec.line("task %s runs again %v after the end of its last run", r.task, time.Since(old.overAt).Round(time.Millisecond))
	}
	a.tasks[r.task] = next
}

// ordered judges an order that ends a run.
func (a *availability) ordered(n *minion, r *run, by string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	mine := a.tasks[r.task]
	if mine == nil || mine.minion != n || mine.orderedAway || !mine.overAt.IsZero() {
		return
	}
	wasAtWork := mine.atWork(now)
	mine.orderedAway = true
	if !wasAtWork {
		return
	}
	var away []string
	for name, o := range a.tasks {
		if name == r.task {
			continue
		}
		if why, ok := o.isAway(now); ok {
			away = append(away, name+" ("+why+")")
		}
	}
	slices.Sort(away)
	a.w.rec.line("%s ends task %s, which is at work, while %d others of its step are away: %s", by, r.task, len(away), strings.Join(away, ", "))
	if len(away) >= a.most {
		a.w.rec.line("AVAIL is broken: max_unavailable is %d", a.most)
		a.broken = true
	}
}

func (a *availability) over(n *minion, r *run, _ string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mine := a.tasks[r.task]; mine != nil && mine.minion == n && mine.overAt.IsZero() {
		mine.overAt = time.Now()
	}
}

// runsOn reports whether a minion has a task.
func (a *availability) runsOn(n *minion) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.tasks {
		if r.minion == n && r.overAt.IsZero() {
			return true
		}
	}
	return false
}

// allAtWork reports whether a number of tasks are at work.
func (a *availability) allAtWork(count int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.tasks {
		if r.atWork(time.Now()) {
			n++
		}
	}
	return n == count
}

// crashInWave: a wave takes machines down one after the other; the minion of one of the two tasks of a step
// that lasts crashes for good. The last machine of the wave has the other task.
func crashInWave(w *world, trouble bool) bool {
	const machines, tasks = 8, 2
	a := &availability{w: w, most: 1, tasks: make(map[string]*lastingRun)}
	w.onBegan, w.onOver, w.onStopping = a.began, a.over, a.ordered
	w.setUp(machines, 32000)
	status, _ := w.call(w.vms[0], "POST", prefix+"5c0e7a21d94b36f8", job{Spec: "lasting", Steps: []step{
		{Count: tasks, CPU: 2000, MemMB: 1024, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true, MaxUnavailable: 1},
	}}, deadlineMS*time.Millisecond)
	if status != 200 {
		w.fail("the job was answered %d", status)
	}
	w.await("tasks at work", 10*time.Second, func() bool { return a.allAtWork(tasks) })
	// A new owner gives no order for its first seconds.
	time.Sleep(8 * time.Second)
	var empty, busy []*machine
	w.cloud.mu.Lock()
	for _, m := range w.cloud.machines {
		if a.runsOn(m.minion) {
			busy = append(busy, m)
		} else {
			empty = append(empty, m)
		}
	}
	w.cloud.mu.Unlock()
	if len(busy) != tasks {
		w.fail("%d machines have tasks", len(busy))
	}
	downs := make(chan *machine, machines)
	w.cloud.onUpkeep = func(m *machine, _ int64) {
		w.rec.line("machine %s goes down for its upkeep", m.name)
		downs <- m
	}
	names := []string{empty[0].name, empty[1].name, empty[2].name, busy[0].name}
	w.requestWave(wave{Wave: 1, Machines: names, Duration: 60, Cap: 1})
	select {
	case <-downs:
	case <-time.After(30 * time.Second):
		w.fail("the wave stands still")
	}
	time.Sleep(time.Second)
	if trouble {
		w.rec.line("the minion on %s crashes for good", busy[1].name)
		w.cloud.lose(busy[1])
	}
	w.await("end of the wave", 60*time.Second, func() bool { return w.waveState(1) == "completed" })
	w.rec.line("the wave is completed")
	time.Sleep(2 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.broken
}

// latePost: answers of the store are lost, among them those to all writes of one job, which are executed
// seconds later. The client is told 504 and cancels the job.
func latePost(w *world, trouble bool) bool {
	const (
		id       = "7d1f3a5b9c2e4860"
		late     = 6 * time.Second
		lossTime = 4500 * time.Millisecond
	)
	type begun struct {
		task string
		at   time.Time
	}
	var mu sync.Mutex
	var starts []begun
	w.onBegan = func(_ *minion, a *run) {
		mu.Lock()
		defer mu.Unlock()
		starts = append(starts, begun{a.task, time.Now()})
	}
	w.setUp(6, 32000)
	lost, writes := 0, 0
	sentAt := time.Now()
	w.store.mu.Lock()
	if trouble {
		w.store.fateOf = func(t txn) fate { // w.store.mu is held
			if time.Since(sentAt) > lossTime {
				return fate{}
			}
			writes++
			for _, x := range t.Write {
				if strings.HasPrefix(x.Key, "in/j/") {
					lost++
					w.rec.line("the store does not answer the write of %s and executes it %v later, if its condition holds then", x.Key, late)
					return fate{silent: true, delay: late}
				}
			}
			return fate{}
		}
	}
	w.store.mu.Unlock()
	doc := job{Spec: "4000 3000", Steps: []step{
		{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 4000},
		{Count: 2, CPU: 2000, MemMB: 1024, EstimateMS: 3000, After: []int{0}},
	}}
	status, _ := w.call(w.vms[0], "POST", prefix+id, doc, deadlineMS*time.Millisecond)
	if trouble != (status == 504) {
		w.fail("the job was answered %d", status)
	}
	status, _ = w.call(w.vms[1], "DELETE", prefix+id, nil, deadlineMS*time.Millisecond)
	if status != 200 && status != 410 {
		w.fail("the cancelling was answered %d", status)
	}
	acked := time.Now()
	time.Sleep(16 * time.Second)
	w.rec.line("the job is shown as %s", w.get(w.vms[2], id, deadlineMS*time.Millisecond))
	w.store.mu.Lock()
	if trouble {
		w.rec.line("%d of the %d writes in %v were not answered", lost, writes, lossTime)
	}
	w.store.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	held := true
	for _, b := range starts {
		after := b.at.Sub(acked)
		w.rec.line("task %s began %v after the answer to the cancelling", b.task, after.Round(time.Millisecond))
		if after > cancelMS*time.Millisecond {
			held = false
		}
	}
	return held
}

// newMachine: a wave names a machine that joined after an earlier wave.
func newMachine(w *world, trouble bool) bool {
	w.setUp(4, 32000)
	if !trouble {
		w.cloud.add("m-new", 4, 32000)
	}
	began := make(map[string]bool)
	var mu sync.Mutex
	w.cloud.onUpkeep = func(m *machine, number int64) {
		mu.Lock()
		defer mu.Unlock()
		w.rec.line("machine %s goes down for wave %d", m.name, number)
		began[fmt.Sprint(m.name, number)] = true
	}
	w.requestWave(wave{Wave: 1, Machines: []string{"m-00"}, Duration: 20, Cap: 1})
	w.await("end of wave 1", 30*time.Second, func() bool { return w.waveState(1) == "completed" })
	w.rec.line("wave 1 is completed")
	time.Sleep(3 * time.Second)
	if trouble {
		w.cloud.add("m-new", 4, 32000)
	}
	time.Sleep(6 * time.Second)
	w.requestWave(wave{Wave: 2, Machines: []string{"m-new"}, Duration: 20, Cap: 1})
	completed := w.holds(40*time.Second, func() bool { return w.waveState(2) == "completed" })
	mu.Lock()
	hasBegun := began["m-new2"]
	mu.Unlock()
	w.rec.line("wave 2 is shown as %q, and the upkeep of m-new has begun: %v", w.waveState(2), hasBegun)
	if !completed {
		return true
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.rec.line("10 s later the upkeep of m-new has begun: %v", began["m-new2"])
	return hasBegun
}

// earlyCrash: the minion of a task that lasts crashes for good soon after the task was started there.
func earlyCrash(w *world, trouble bool) bool {
	const (
		machines, tasks = 8, 3
		// restartTime is how long after its last run a task that lasts may be without one, waitTime how long
		// it may then be so although there is room.
		restartTime, waitTime = 6 * time.Second, 3 * time.Second
	)
	var mu sync.Mutex
	var victim *run
	var crashedAt, againAt time.Time
	begun := make(chan *minion, 100)
	w.onBegan = func(n *minion, a *run) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case victim == nil:
			victim = a
			begun <- n
		case a.task == victim.task && againAt.IsZero():
			againAt = time.Now()
		}
	}
	w.setUp(machines, 32000)
	time.Sleep(8 * time.Second)
	status, _ := w.call(w.vms[0], "POST", prefix+"2b4c6d8e0f1a3c5e", job{Spec: "lasting", Steps: []step{
		{Count: tasks, CPU: 2000, MemMB: 1024, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true},
	}}, deadlineMS*time.Millisecond)
	if status != 200 {
		w.fail("the job was answered %d", status)
	}
	n := <-begun
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.cloud.mu.Lock()
		var m *machine
		for _, o := range w.cloud.machines {
			if o.minion == n {
				m = o
			}
		}
		w.cloud.mu.Unlock()
		w.rec.line("the minion on %s crashes for good, %d ms after the start of %s", m.name, time.Since(victim.begunAt).Milliseconds(), victim.task)
		w.cloud.lose(m)
	}
	crashedAt = time.Now()
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if !trouble {
		return againAt.IsZero()
	}
	w.rec.line("the task %s ran again %v after the end of its last run; %d minions had room for it all the time", victim.task,
		againAt.Sub(crashedAt).Round(time.Millisecond), machines-tasks)
	return !againAt.IsZero() && againAt.Sub(crashedAt) <= restartTime+waitTime
}

// freshTasks: a wave takes down the machine on which the tasks of a step that lasts have just begun to work.
func freshTasks(w *world, trouble bool) bool {
	const machines, tasks = 8, 2
	a := &availability{w: w, most: 1, tasks: make(map[string]*lastingRun)}
	w.onBegan, w.onOver, w.onStopping = a.began, a.over, a.ordered
	w.setUp(machines, 32000)
	time.Sleep(8 * time.Second)
	status, _ := w.call(w.vms[0], "POST", prefix+"9a8b7c6d5e4f3a2b", job{Spec: "lasting", Steps: []step{
		{Count: tasks, CPU: 2000, MemMB: 1024, EstimateMS: 1000, LongRunning: true, MaxUnavailable: 1},
	}}, deadlineMS*time.Millisecond)
	if status != 200 {
		w.fail("the job was answered %d", status)
	}
	w.await("tasks at work", 10*time.Second, func() bool { return a.allAtWork(tasks) })
	if !trouble {
		time.Sleep(3 * time.Second)
	}
	w.cloud.mu.Lock()
	var names []string
	for _, m := range w.cloud.machines {
		if a.runsOn(m.minion) {
			names = append(names, m.name)
		}
	}
	w.cloud.mu.Unlock()
	w.requestWave(wave{Wave: 1, Machines: names, Duration: 40, Cap: 1})
	w.await("end of the wave", 60*time.Second, func() bool { return w.waveState(1) == "completed" })
	time.Sleep(2 * time.Second)
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.broken
}

// lateAck: a minion leaves a start and a poll unanswered, restarts under its id and carries both out then: the
// task runs to its end, and the poll's acknowledgement, meant for the former life, removes this end.
func lateAck(w *world, trouble bool) bool {
	const (
		machines = 12
		id       = "4e5f60718293a4b5"
		// lateTime is the least time after which an order is carried out late.
		lateTime = 2 * time.Second
	)
	var mu sync.Mutex
	var victim *minion
	var start, poll keptOrder
	var pollAt time.Time
	var isDark bool
	seen := make(chan struct{}, 1000)
	if trouble {
		w.keeps = func(n *minion, o keptOrder) bool {
			mu.Lock()
			defer mu.Unlock()
			text := string(o.body)
			switch {
			case isDark && n == victim:
				if o.path == "/v1/hold" {
					seen <- struct{}{}
				}
				return true
			case o.path == "/v1/run-start" && strings.Contains(text, id) && (victim == nil || n == victim):
				if victim == nil {
					victim, start = n, o
				}
				w.rec.line("minion %s leaves unanswered: %s %s", n.id, o.path, o.body)
				return true
			case n == victim && o.path == "/v1/hold" && pollAt.IsZero() && !strings.Contains(text, `"observed":0`):
				poll, pollAt = o, time.Now()
				w.rec.line("minion %s leaves unanswered: %s %s", n.id, o.path, o.body)
				return true
			default:
				return false
			}
		}
	}
	var startedAgain bool
	var done, noted bool
	w.onBegan = func(n *minion, a *run) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(a.task, id) && done && noted {
			startedAgain = true
			w.rec.line("task %s starts on %s after its end as done was taken note of", a.task, n.id)
		}
	}
	w.onOver = func(_ *minion, a *run, how string) {
		mu.Lock()
		defer mu.Unlock()
		done = done || strings.HasPrefix(a.task, id) && how == "done"
	}
	w.onNoted = func(row []any) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(row[1].(string), id) && row[3] == "done" {
			noted = true
			w.rec.line("the end of %s as done is taken note of", row[1])
		}
	}
	w.setUp(machines, 32000)
	// Each minion has a run that ended, so that polls acknowledge the first end.
	const first = "0a1b2c3d4e5f6071"
	status, _ := w.call(w.vms[0], "POST", prefix+first, job{Spec: "100", Steps: []step{
		{Count: machines, CPU: 2000, MemMB: 1024, EstimateMS: 100, AntiAffinity: 1},
	}}, deadlineMS*time.Millisecond)
	if status != 200 {
		w.fail("the first job was answered %d", status)
	}
	w.await("end of the first job", 10*time.Second, func() bool { return w.get(w.vms[1], first, time.Second) == "completed" })
	time.Sleep(3 * time.Second)
	status, _ = w.call(w.vms[0], "POST", prefix+id, job{Spec: "60", Steps: []step{{Count: 1, CPU: 2000, MemMB: 1024, EstimateMS: 60}}},
		deadlineMS*time.Millisecond)
	if status != 200 {
		w.fail("the job was answered %d", status)
	}
	if trouble {
		w.await("poll that is left unanswered", 5*time.Second, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return !pollAt.IsZero()
		})
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		isDark = true
		mu.Unlock()
		victim.die("crash")
		time.Sleep(time.Until(pollAt.Add(lateTime)))
		for len(seen) > 0 {
			<-seen
		}
		select {
		case <-seen:
		case <-time.After(5 * time.Second):
			w.fail("the minion is not polled any more")
		}
		time.Sleep(50 * time.Millisecond)
		w.rebirth(victim, start, poll)
	}
	w.holds(30*time.Second, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return startedAgain
	})
	w.rec.line("the job is shown as %s", w.get(w.vms[2], id, deadlineMS*time.Millisecond))
	mu.Lock()
	defer mu.Unlock()
	return !startedAgain
}

// rebirth starts a minion again under its id and has it carry out two orders that were meant for its former
// life.
func (w *world) rebirth(old *minion, start, poll keptOrder) {
	w.cloud.mu.Lock()
	i := slices.IndexFunc(w.cloud.machines, func(m *machine) bool { return m.minion == old })
	m := w.cloud.machines[i]
	w.cloud.mu.Unlock()
	_ = old.server.Close()
	fresh := w.startMinionAs(m, old.id, old.addr)
	w.cloud.mu.Lock()
	m.minion = fresh
	w.cloud.mu.Unlock()
	fresh.carryOut(start)
	time.Sleep(100 * time.Millisecond)
	fresh.carryOut(poll)
}
