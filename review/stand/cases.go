package main

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// The bounds of the rules that the cases check, as the settings give them.
const (
	idleBound   = 3 * time.Second
	finishBound = 14 * time.Second
)

// mainRoute is the queue that all cases use.
var mainRoute = route{name: "r-cpihhac", prefix: "/lohu930/", service: serviceName}

// caseEnds: the store is down for 4.5 s while small tasks end on a minion.
func caseEnds(w *world) (string, error) {
	const (
		jobs, tasks  = 12, 64
		submitPause  = 350 * time.Millisecond
		taskRunTime  = 8 * time.Second
		outage       = 4500 * time.Millisecond
		taskCPUMilli = 40
	)
	if err := w.begin(3, mainRoute); err != nil {
		return "", err
	}
	var ids []string
	for range jobs {
		id := newJobID()
		if err := w.submit(mainRoute.prefix, id, job(tasks, taskCPUMilli, taskRunTime)); err != nil {
			return "", err
		}
		ids = append(ids, id)
		time.Sleep(submitPause)
	}
	if !waitFor(3*time.Second, func() bool { return w.countStarts(ids) >= jobs*tasks }) {
		return "", fmt.Errorf("only %d of %d tasks were started", w.countStarts(ids), jobs*tasks)
	}
	first := w.startsOf(ids[0])[0].at
	w.rec.log("all %d tasks run, the first was started at %s", jobs*tasks, w.rec.at(first))
	time.Sleep(time.Until(first.Add(taskRunTime)))
	if w.trouble {
		w.rec.log("the store is down")
		w.store.setDown(true)
	}
	time.Sleep(outage)
	if w.trouble {
		w.rec.log("the store is back")
		w.store.setDown(false)
	}
	waitFor(30*time.Second, func() bool { return w.isCompleted(mainRoute, ids[jobs-1]) })
	time.Sleep(3 * time.Second)
	return w.checkTwice(ids), nil
}

func (w *world) countStarts(ids []string) int {
	n := 0
	for _, id := range ids {
		n += len(w.startsOf(id))
	}
	return n
}

// checkTwice checks the rule TWICE for jobs: no two runs of a task at the same time, and no
// start after a run has ended as done if that end was taken note of then or later.
func (w *world) checkTwice(ids []string) string {
	byTask := make(map[string][]start)
	for _, id := range ids {
		for _, s := range w.startsOf(id) {
			byTask[s.task] = append(byTask[s.task], s)
		}
	}
	twice := 0
	for _, task := range slices.Sorted(maps.Keys(byTask)) {
		list := byTask[task]
		slices.SortFunc(list, func(a, b start) int { return a.at.Compare(b.at) })
		for i := 1; i < len(list); i++ {
			a, b := list[i-1], list[i]
			afterDone := a.how == "done" && !a.noted.IsZero() && b.at.After(a.ended)
			if !afterDone && (a.how != "" && !b.at.Before(a.ended)) {
				continue
			}
			twice++
			if twice <= 5 {
				w.rec.log("task %s: attempt %d on %s from %s to %s (%s, noted at %s), attempt %d on %s from %s", task, a.attempt, a.minion,
					w.rec.at(a.at), w.rec.at(a.ended), a.how, w.rec.at(a.noted), b.attempt, b.minion, w.rec.at(b.at))
			}
		}
	}
	w.rec.log("%d tasks, %d starts, %d of them too many", len(byTask), w.countStarts(ids), twice)
	if twice == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d times a task was started while it ran, or after it had ended as done", twice)
}

// newRoute and otherRoute are the queues that the operator adds.
var (
	newRoute   = route{name: "r-v3nax7u", prefix: "/pule252/", service: serviceName, advice: true}
	otherRoute = route{name: "r-ruddede", prefix: "/pufi791/", service: otherService}
)

// caseRoute: two queues are added while the owner's watch of the operator's keys is silent.
func caseRoute(w *world) (string, error) {
	if err := w.begin(3, mainRoute); err != nil {
		return "", err
	}
	if err := w.addMinions(otherService, 3); err != nil {
		return "", err
	}
	time.Sleep(2 * heartbeat)
	owner := w.owner()
	if w.trouble {
		w.rec.log("the connection on which %s watches op/ goes silent", owner.name)
		owner.link.silenceWatch("op/")
	}
	w.configure(mainRoute, newRoute, otherRoute)
	id, otherID := newJobID(), newJobID()
	w.mu.Lock()
	w.tickets[id] = true
	w.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	v := w.others()[0]
	for r, id := range map[route]string{newRoute: id, otherRoute: otherID} {
		if err := w.submitAt(v, r.prefix, id, job(2, 2000, time.Second)); err != nil {
			return "", err
		}
	}
	lost, err := w.checkFinishes(newRoute, id)
	for _, s := range w.startsOf(otherID) {
		if m := w.minion(s.minion); m.service != otherService {
			lost += fmt.Sprintf("; ROUTE: task %s of a queue of %s was started on %s of %s", s.task, otherService, m.id, m.service)
		}
	}
	return lost, err
}

// checkFinishes checks the rule LOST: finishBound after the end of the traffic a job is
// known, and no task waits for idleBound while there is room.
func (w *world) checkFinishes(r route, id string) (string, error) {
	time.Sleep(finishBound)
	lastBusy := time.Now()
	for end := time.Now().Add(2 * idleBound); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		running, done := 0, 0
		for _, s := range w.startsOf(id) {
			switch s.how {
			case "":
				running++
			case "done":
				done++
			}
		}
		if running > 0 || done > 0 && running == 0 && w.isCompleted(r, id) {
			lastBusy = time.Now()
		}
		if idle := time.Since(lastBusy); idle > idleBound {
			w.isCompleted(r, id)
			return fmt.Sprintf("LOST: %v after its acceptance the accepted job %s has run nothing for %v, %d starts so far, and all minions are idle", finishBound+idle, id, idle, len(w.startsOf(id))), nil
		}
	}
	return "", nil
}

func (w *world) isCompleted(r route, id string) bool {
	status, body := w.vms[0].call(http.MethodGet, r.prefix+id, nil, clientDeadline)
	return status == http.StatusOK && body == `{"state":"completed"}`
}

// caseGrey: one minion after the other fails all that it starts for a while, and is sound again
// afterwards. All jobs are gangs.
func caseGrey(w *world) (string, error) {
	const (
		minions     = 12
		greyTime    = 4500 * time.Millisecond
		submitPause = 400 * time.Millisecond
		gangTasks   = 2
	)
	if err := w.begin(minions, mainRoute); err != nil {
		return "", err
	}
	hand := func() (string, error) {
		id := newJobID()
		w.mu.Lock()
		w.gangs[id] = gangTasks
		w.mu.Unlock()
		body := job(gangTasks, 9000, 200*time.Millisecond)
		body["steps"].([]any)[0].(map[string]any)["gang"] = true
		return id, w.submit(mainRoute.prefix, id, body)
	}
	for _, m := range w.minions {
		if w.trouble {
			w.rec.log("%s fails all that it starts", m.id)
			m.setFailing(true)
		}
		for end := time.Now().Add(greyTime); time.Now().Before(end); time.Sleep(submitPause) {
			if _, err := hand(); err != nil {
				return "", err
			}
		}
		if w.trouble {
			w.rec.log("%s is sound again", m.id)
			m.setFailing(false)
		}
	}
	time.Sleep(time.Second)
	id, err := hand()
	if err != nil {
		return "", err
	}
	w.rec.log("the last job is %s", id)
	return w.checkFinishes(mainRoute, id)
}

// caseReborn: a minion crashes and starts again under its id while the owner's watch of the
// minions' entries is silent.
func caseReborn(w *world) (string, error) {
	const (
		minions      = 8
		taskCPUMilli = 4000
		minRunTime   = time.Second
		maxRunTime   = 5 * time.Second
		submitPause  = 36 * time.Millisecond
		warmUp       = 6 * time.Second
		downTime     = 300 * time.Millisecond
	)
	if err := w.begin(minions, mainRoute); err != nil {
		return "", err
	}
	var ids []string
	done, trafficEnds := make(chan error, 1), time.Now().Add(warmUp+heartbeat+downTime)
	go func() {
		for ; time.Now().Before(trafficEnds); time.Sleep(submitPause) {
			id := newJobID()
			ids = append(ids, id)
			if err := w.submit(mainRoute.prefix, id, job(1, taskCPUMilli, minRunTime+rand.N(maxRunTime-minRunTime))); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	time.Sleep(warmUp)
	m := w.minions[0]
	time.Sleep(m.untilNextBeat() - 100*time.Millisecond)
	if w.trouble {
		w.rec.log("the connection on which %s watches servers/ goes silent", w.owner().name)
		w.owner().link.silenceWatch("servers/")
		time.Sleep(200 * time.Millisecond)
		w.rec.log("minion %s, born %d, crashes", m.id, m.born.UnixMilli())
		m.crash()
		time.Sleep(downTime)
		m = newMinion(w, m.id, m.zone, m.service, m.addr)
		if err := m.listen(); err != nil {
			return "", err
		}
		w.minions[0] = m
		w.rec.log("minion %s starts again, born %d", m.id, m.born.UnixMilli())
	}
	if err := <-done; err != nil {
		return "", err
	}
	if !waitFor(20*time.Second, func() bool { return w.isCompleted(mainRoute, ids[len(ids)-1]) }) {
		return "", errors.New("the last job does not end")
	}
	time.Sleep(maxRunTime)
	return w.checkTwice(ids), nil
}
