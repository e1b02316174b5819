package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of the sites.
const (
	configApply = 2 * time.Second
	evacuate    = 5 * time.Second
	finish      = 14 * time.Second
	visible     = 3 * time.Second
	// idleTime is how long a job may have nothing running while there is room for it.
	idleTime = 3 * time.Second
)

var (
	urgent = route{name: "r-urgent", prefix: "/urgent/", priority: 0}
	batch  = route{name: "r-batch", prefix: "/batch/", priority: 1}
	later  = route{name: "r-later", prefix: "/later/", priority: 2}
	routes = []route{urgent, batch, later}
)

func noLabels(int) []string { return nil }

// begin starts minions and machines and publishes the first configuration.
func (w *world) begin(machines, minions int, labels func(i int) []string, tenants []tenant) error {
	if err := w.addMinions(minions, labels); err != nil {
		return err
	}
	w.store.put(map[string]any{"op/config": w.config(routes, tenants)})
	return w.startNodes(machines)
}

// transactionCase has the operator write an evacuation and a configuration at once.
func transactionCase(w *world) (verdict, string) {
	old, kept, added := tenant{name: "old", key: "key-old"}, tenant{name: "kept", key: "key-kept"}, tenant{name: "added", key: "key-added"}
	if err := w.begin(3, 6, noLabels, []tenant{old, kept}); err != nil {
		return couldNot, err.Error()
	}
	if !w.submit(batch, old.key, jobID(), behaviour{MS: 200}, step{Count: 6, CPU: 16000, EstimateMS: 200}) {
		return couldNot, "the first job was not accepted"
	}
	time.Sleep(time.Second)
	var faults []string

	// First the evacuation of a zone, then a version that takes a key away and adds one.
	w.operatorWrites("op/evacuate/"+zoneC, struct{}{}, "op/config", w.config(routes, []tenant{kept, added}))
	time.Sleep(configApply + 4*time.Second)
	for _, nd := range w.nodes {
		id := jobID()
		status, answer := w.call(nd, "POST", batch.prefix+id, old.key, map[string]any{"spec": `{"ms":100}`, "steps": []step{{Count: 1, CPU: 500, EstimateMS: 100}}})
		w.rec.printf("client: POST %s%s to %s with the key that was taken away: %d %s", batch.prefix, id, nd.name, status, answer)
		if status/100 == 2 {
			time.Sleep(500 * time.Millisecond)
			faults = append(faults, fmt.Sprintf("%s accepted a job with a key that was taken away, tasks started: %d", nd.name, w.begun(id)))
		}
		id = jobID()
		status, answer = w.call(nd, "POST", batch.prefix+id, added.key, map[string]any{"spec": `{"ms":100}`, "steps": []step{{Count: 1, CPU: 500, EstimateMS: 100}}})
		w.rec.printf("client: POST %s%s to %s with the key that was added: %d %s", batch.prefix, id, nd.name, status, answer)
		if status == 401 {
			faults = append(faults, nd.name+" refused a key that is there with 401")
		}
	}

	// Then the other way round: a version, then the evacuation of another zone.
	w.operatorRemoves("op/evacuate/" + zoneC)
	time.Sleep(time.Second)
	w.operatorWrites("op/config", w.config(routes, []tenant{kept, added}), "op/evacuate/"+zoneA, struct{}{})
	time.Sleep(evacuate + 2*time.Second)
	from := w.rec.now()
	for range 10 {
		w.submit(batch, kept.key, jobID(), behaviour{MS: 300}, step{Count: 6, CPU: 16000, EstimateMS: 300})
		time.Sleep(500 * time.Millisecond)
	}
	n := 0
	for _, m := range w.minions {
		if m.zone == zoneA {
			n += m.startsSince(w.rec.start.Add(from))
		}
	}
	if n > 0 {
		faults = append(faults, fmt.Sprintf("%d tasks started in the evacuated zone, the first over %v after the acknowledgement", n, evacuate+2*time.Second))
	}
	if len(faults) > 0 {
		return broken, strings.Join(faults, "; ")
	}
	return held, "both writes are in force"
}

// operatorWrites writes two keys, in one transaction or, without the disruption, in two.
func (w *world) operatorWrites(key1 string, value1 any, key2 string, value2 any) {
	e1, e2 := newEntry(key1, value1), newEntry(key2, value2)
	if !w.trouble {
		for _, e := range []entry{e1, e2} {
			revision, _, _ := w.store.commit(transaction{Write: []entry{e}})
			w.rec.printf("operator: writes %s, acknowledged with revision %d", e.Key, revision)
		}
		return
	}
	revision, _, _ := w.store.commit(transaction{Write: []entry{e1, e2}})
	w.rec.printf("operator: writes %s and %s in one transaction, acknowledged with revision %d", key1, key2, revision)
}

func (w *world) operatorRemoves(key string) {
	revision, _, _ := w.store.commit(transaction{Remove: []string{key}})
	w.rec.printf("operator: removes %s, acknowledged with revision %d", key, revision)
}

func newEntry(key string, value any) entry {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return entry{Key: key, Value: raw}
}

// watchJobs returns the longest time that each job had nothing running until a time of the record,
// unless it was done.
func (w *world) watchJobs(jobs []string, done func(job string) bool, until time.Duration) map[string]time.Duration {
	longest, since := make(map[string]time.Duration), make(map[string]time.Time)
	for w.rec.now() < until {
		for _, job := range jobs {
			switch {
			case done(job) || w.running(job) > 0:
				delete(since, job)
			case since[job].IsZero():
				since[job] = time.Now()
			default:
				longest[job] = max(longest[job], time.Since(since[job]))
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return longest
}

// gangCase has a gang wait that needs every minion whole while a task that lasts runs on one.
func gangCase(w *world) (verdict, string) {
	web, school, other := tenant{name: "web", key: "key-web", cpu: 200_000}, tenant{name: "school", key: "key-school", cpu: 200_000}, tenant{name: "other", key: "key-other", cpu: 200_000}
	if err := w.begin(3, 4, noLabels, []tenant{web, school, other}); err != nil {
		return couldNot, err.Error()
	}
	lasting := step{Count: 1, CPU: 4000, MemMB: 1024, EstimateMS: 1000, LongRunning: true}
	serving := jobID()
	if !w.submit(batch, web.key, serving, behaviour{Lasts: true}, lasting) {
		return couldNot, "the task that lasts was not accepted"
	}
	time.Sleep(3 * time.Second)
	if w.running(serving) != 1 {
		return couldNot, "the task that lasts does not run"
	}
	if w.trouble {
		w.submit(batch, school.key, jobID(), behaviour{MS: 60_000}, step{Count: 4, CPU: 30_000, MemMB: 1024, EstimateMS: 60_000, Gang: true})
	}
	time.Sleep(2 * time.Second)
	return w.judgeIdle(later, other, 4000)
}

// judgeIdle submits a job that lasts and ten short ones, and returns whether one of them has
// nothing running for idleTime, from finish after the last one was sent on, although nearly all
// minions are idle. usedCPU is what runs besides, in thousandths of a core.
func (w *world) judgeIdle(r route, t tenant, usedCPU int) (verdict, string) {
	lasts := jobID()
	if !w.submit(r, t.key, lasts, behaviour{Lasts: true}, step{Count: 1, CPU: 2000, MemMB: 512, EstimateMS: 1000, LongRunning: true}) {
		return couldNot, "a job was not accepted"
	}
	jobs := []string{lasts}
	for range 10 {
		id := jobID()
		if !w.submit(r, t.key, id, behaviour{MS: 1000}, step{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 1000}) {
			return couldNot, "a job was not accepted"
		}
		jobs = append(jobs, id)
	}
	sent := w.rec.now()
	w.rec.printf("the last job was sent; %.1f of %.0f cores are in use by others", float64(usedCPU)/1000, float64(32*len(w.minions)))
	time.Sleep(finish)
	done := func(job string) bool { return job != lasts && w.begun(job) > 0 && w.running(job) == 0 }
	longest := w.watchJobs(jobs, done, sent+finish+12*time.Second)
	idle, longestIdle := 0, time.Duration(0)
	for _, job := range jobs {
		status, answer := w.call(w.nodes[0], "GET", r.prefix+job, t.key, nil)
		w.rec.printf("client: GET %s%s: %d %s; tasks started: %d", r.prefix, job, status, answer, w.begun(job))
		if longest[job] >= idleTime {
			idle, longestIdle = idle+1, max(longestIdle, longest[job])
		}
	}
	if idle > 0 {
		return broken, fmt.Sprintf("%d of %d jobs had nothing running for up to %.1f s, watched from %v after the last one was sent", idle, len(jobs), longestIdle.Seconds(), finish)
	}
	return held, "all jobs ran"
}

// trialCase has a burst of long jobs of which one in twenty can never be done, and then other work.
func trialCase(w *world) (verdict, string) {
	nightly, other := tenant{name: "nightly", key: "key-nightly", cpu: 200_000}, tenant{name: "other", key: "key-other", cpu: 200_000}
	if err := w.begin(3, 4, noLabels, []tenant{nightly, other}); err != nil {
		return couldNot, err.Error()
	}
	const jobs, every = 160, 20
	tick := time.NewTicker(3 * time.Second / jobs)
	defer tick.Stop()
	for i := range jobs {
		<-tick.C
		b := behaviour{MS: 80_000}
		if i%every == every-1 {
			b = behaviour{MS: 200, Fails: w.trouble}
		}
		go w.submit(batch, nightly.key, jobID(), b, step{Count: 1, CPU: 250, MemMB: 256, EstimateMS: 80_000})
	}
	time.Sleep(6 * time.Second)
	running := w.running("")
	w.rec.printf("%d tasks run", running)
	return w.judgeIdle(batch, other, running*250)
}

// pendingCase has one minion answer starts with 503 for a while, and asks for the number of jobs
// that wait.
func pendingCase(w *world) (verdict, string) {
	t := tenant{name: "one", key: "key-one", cpu: 200_000}
	const minions, jobs, unhealthyTime = 12, 20, 6500 * time.Millisecond
	label := func(i int) []string {
		if i == minions-1 {
			return []string{"s"}
		}
		return nil
	}
	if err := w.begin(3, minions, label, []tenant{t}); err != nil {
		return couldNot, err.Error()
	}
	m := w.minions[minions-1]
	m.unhealthy.Store(w.trouble)
	healthyAt := w.rec.now() + unhealthyTime
	w.rec.printf("minion %s is unhealthy: %v", m.id, w.trouble)
	var ids []string
	for range jobs {
		id := jobID()
		if w.submit(batch, t.key, id, behaviour{MS: 500}, step{Count: 1, CPU: 1000, MemMB: 512, EstimateMS: 500, Requirements: "s"}) {
			ids = append(ids, id)
		}
	}
	accepted := w.rec.now()
	worst := ""
	for w.rec.now() < healthyAt {
		time.Sleep(100 * time.Millisecond)
		if w.rec.now() < accepted+visible+2*time.Second || w.rec.now() >= healthyAt {
			continue
		}
		for _, nd := range w.nodes {
			status, answer := w.call(nd, "GET", batch.prefix, t.key, nil)
			waiting := 0
			for _, id := range ids {
				if w.begun(id) == 0 {
					waiting++
				}
			}
			var count struct {
				Pending int `json:"pending"`
			}
			_ = json.Unmarshal([]byte(answer), &count)
			w.rec.printf("client: GET %s from %s: %d %s; %d jobs have not begun", batch.prefix, nd.name, status, answer, waiting)
			if status == 200 && 2*count.Pending < waiting {
				worst = fmt.Sprintf("%s gave %d as pending, %d accepted jobs had not begun", nd.name, count.Pending, waiting)
			}
		}
	}
	m.unhealthy.Store(false)
	time.Sleep(6 * time.Second)
	n := 0
	for _, id := range ids {
		n += w.begun(id)
	}
	w.rec.printf("tasks started in the end: %d of %d", n, len(ids))
	if worst != "" {
		return broken, worst
	}
	return held, "the counts were right"
}

// connectionsCase has the store turn away the owner and those before it, three times, while jobs
// have many small tasks.
func connectionsCase(w *world) (verdict, string) {
	w.zones = fourZones
	t := tenant{name: "one", key: "key-one", cpu: 200_000}
	if err := w.begin(9, 3, noLabels, []tenant{t}); err != nil {
		return couldNot, err.Error()
	}
	load := func() {
		for range 4 {
			w.submit(batch, t.key, jobID(), behaviour{MS: 700}, step{Count: 60, CPU: 500, MemMB: 256, EstimateMS: 700})
		}
		time.Sleep(1200 * time.Millisecond)
	}
	const outages, outageTime, gap = 3, 5500 * time.Millisecond, 700 * time.Millisecond
	var owners []*node
	load()
	load()
	for range outages {
		nd := w.owner()
		if nd == nil {
			return couldNot, "no owner found"
		}
		w.rec.printf("the owner is %s", nd.name)
		if !slices.Contains(owners, nd) {
			owners = append(owners, nd)
		}
		if w.trouble {
			for _, away := range owners {
				w.rec.printf("the store does not answer %s", away.name)
				away.link.setCut(true)
			}
		}
		healAt := time.Now().Add(outageTime)
		time.Sleep(2500 * time.Millisecond)
		load()
		load()
		time.Sleep(time.Until(healAt))
		for _, other := range w.nodes {
			other.link.setCut(false)
		}
		w.rec.printf("the store answers all machines")
		time.Sleep(gap)
		for _, m := range w.minions {
			w.rec.printf("minion %s: %d connections open, %d refused so far", m.id, m.conns.Load(), m.refused.Load())
		}
	}
	if nd := w.owner(); nd != nil {
		w.rec.printf("the owner is %s", nd.name)
	}
	time.Sleep(4 * time.Second)
	return w.judgeIdle(batch, t, 0)
}

// owner returns the machine that the ownership record names.
func (w *world) owner() *node {
	w.store.mu.Lock()
	raw := w.store.items["owner/record"].Value
	w.store.mu.Unlock()
	var rec struct {
		Holder struct {
			VM string `json:"vm"`
		} `json:"holder"`
	}
	if json.Unmarshal(raw, &rec) != nil {
		return nil
	}
	for _, nd := range w.nodes {
		if nd.name == rec.Holder.VM {
			return nd
		}
	}
	return nil
}
