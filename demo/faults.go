package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
	"limpethitch.example/stand/caller"
)

func newID() string { return uuid.Must(uuid.NewV7()).String() }

// faults are injected on a fixed timetable while the load runs.
type faults struct {
	c     *cluster
	l     *load
	w     *watch
	began time.Time

	killed, stopped *entryVM
	revoked         string
	revokedMS       int64
	outDC           string
	outMS, inMS     int64
	leaving         machine
	leavingMS       int64
	rollouts        []time.Duration
	version         int64
	errs            []string

	mu sync.Mutex
	// lateKey is the latest time at which the revoked key still worked.
	lateKeyMS int64
	probes    int
}

func newFaults(c *cluster, l *load, w *watch, began time.Time) *faults {
	return &faults{c: c, l: l, w: w, began: began, version: 1}
}

func (f *faults) at(ctx context.Context, second float64, what string, do func() error) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(f.began.Add(time.Duration(second * float64(time.Second))))):
	}
	progress(f.began, "%s", what)
	if err := do(); err != nil {
		f.errs = append(f.errs, what+": "+err.Error())
		progress(f.began, "  %v", err)
	}
}

func (f *faults) run(ctx context.Context) {
	dcs := f.c.dep.DCs
	victim := f.ownerIn(dcs[0].Name)
	f.at(ctx, 4, "kill entry VM "+victim.name, func() error { return f.kill(victim) })
	f.at(ctx, 6, "backend server leaves", f.leave)
	f.at(ctx, 8, "replace the killed VM under its name", func() error { return f.replace(victim) })
	paused := f.ownerIn(dcs[2].Name)
	f.at(ctx, 9, "pause entry VM "+paused.name+" beyond its authority", func() error { return f.pause(paused, true) })
	f.at(ctx, 13, "store goes away", func() error { return f.store(true) })
	second := f.ownerIn(dcs[1].Name)
	f.at(ctx, 15, "kill entry VM "+second.name+" during the outage", func() error { return f.kill(second) })
	f.at(ctx, 18, "the paused VM goes on", func() error { return f.pause(paused, false) })
	f.at(ctx, 19, "store is back", func() error { return f.store(false) })
	f.at(ctx, 19.5, "replace the second killed VM", func() error { return f.replace(second) })
	team := f.c.dep.Load.Interactive[2].Team
	f.at(ctx, 20, "revoke the key of team "+team, func() error { return f.revoke(ctx, team) })
	out := dcs[len(dcs)-1].Name
	f.at(ctx, 22, "take data centre "+out+" out", func() error { return f.takeOut(ctx, out) })
	planned := f.ownerIn(dcs[1].Name)
	f.at(ctx, 25, "stop entry VM "+planned.name+" as planned", func() error { return f.planned(planned) })
	f.at(ctx, 28, "bring data centre "+out+" back", func() error { return f.bringBack(ctx, out) })
	f.at(ctx, 29, "replace the stopped VM", func() error { return f.replace(planned) })
}

// ownerIn returns a VM of a data centre that owns a shard.
func (f *faults) ownerIn(dc string) *entryVM {
	var found *entryVM
	for _, e := range f.c.live() {
		if e.dc != dc {
			continue
		}
		found = e
		if f.w.owns(e.name) {
			return e
		}
	}
	return found
}

func (f *faults) kill(e *entryVM) error {
	f.killed = e
	e.goneMS = time.Now().UnixMilli()
	if err := e.cmd.Process.Kill(); err != nil {
		return err
	}
	f.l.refresh()
	_, _, err := call(fasthttp.MethodDelete, "http://"+f.c.addr(portVMs)+"/vms/"+e.name, nil, "")
	return err
}

// replace starts a new VM with the next name of the old one's data centre; the
// platform never lists an ended VM's name again.
func (f *faults) replace(old *entryVM) error {
	e := &entryVM{name: old.name + "b", dc: old.dc, http: old.http, peer: old.peer}
	if err := f.c.startEntry(e); err != nil {
		return err
	}
	f.c.mu.Lock()
	f.c.entries = append(f.c.entries, e)
	f.c.mu.Unlock()
	f.l.refresh()
	return nil
}

func (f *faults) planned(e *entryVM) error {
	f.stopped = e
	if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	stopMS := time.Now().UnixMilli()
	time.Sleep(1500 * time.Millisecond)
	e.goneMS = stopMS
	f.l.refresh()
	_, _, err := call(fasthttp.MethodDelete, "http://"+f.c.addr(portVMs)+"/vms/"+e.name, nil, "")
	return err
}

// pause stops or continues a process as a paused VM does.
func (f *faults) pause(e *entryVM, stop bool) error {
	f.w.skip(e.name, stop)
	if stop {
		return e.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return e.cmd.Process.Signal(syscall.SIGCONT)
}

func (f *faults) leave() error {
	// The busiest one, so that the check sees its requests end.
	most := -1
	for _, b := range f.c.backends {
		if n, err := runsAt(b); err == nil && n > most {
			f.leaving, most = b, n
		}
	}
	f.leavingMS = time.Now().UnixMilli()
	_, _, err := call(fasthttp.MethodPost, "http://"+f.c.addr(portVMs)+"/vms/"+f.leaving.id+"/leaving", nil, "")
	go func() {
		time.Sleep(5 * time.Second)
		f.w.markLeft(f.leaving)
	}()
	return err
}

func (f *faults) store(down bool) error {
	body, err := json.Marshal(map[string]any{"down": down})
	if err != nil {
		return err
	}
	_, _, err = call(fasthttp.MethodPost, "http://"+f.c.addr(portKV)+"/control", body, "")
	return err
}

func (f *faults) roll(ctx context.Context, change func(*policy.Document)) error {
	took, err := f.c.publish(ctx, change, f.version)
	if err != nil {
		return err
	}
	f.version++
	f.rollouts = append(f.rollouts, took)
	progress(f.began, "  version %d in force after %v", f.version, took.Round(time.Millisecond))
	return nil
}

func (f *faults) revoke(ctx context.Context, team string) error {
	f.revoked = team
	go f.probe(ctx, team)
	err := f.roll(ctx, func(d *policy.Document) {
		for i := range d.Teams {
			if d.Teams[i].Name == team {
				d.Teams[i].Keys[0].Revoked = true
			}
		}
	})
	f.revokedMS = time.Now().UnixMilli()
	return err
}

// probe goes on using the revoked key and notes when it last worked.
func (f *faults) probe(ctx context.Context, team string) {
	for n := 0; ctx.Err() == nil; n++ {
		atMS := time.Now().UnixMilli()
		res := f.l.caller.Send(ctx, caller.Request{
			Queue: f.c.dep.Load.Interactive[2].Queue, Class: "revoked key", Key: f.c.secrets[team],
			Deadline: time.Now().Add(2 * time.Second), Body: fmt.Appendf(nil, "probe/%d", n),
		})
		f.mu.Lock()
		f.probes++
		if res.Code() == rcode.OK {
			f.lateKeyMS = atMS
		}
		f.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func (f *faults) takeOut(ctx context.Context, dc string) error {
	f.outDC = dc
	err := f.roll(ctx, func(d *policy.Document) { setService(d, dc, false) })
	f.outMS = time.Now().UnixMilli()
	return err
}

func (f *faults) bringBack(ctx context.Context, dc string) error {
	f.inMS = time.Now().UnixMilli()
	return f.roll(ctx, func(d *policy.Document) { setService(d, dc, true) })
}

func setService(d *policy.Document, dc string, in bool) {
	for i := range d.DataCentres {
		if d.DataCentres[i].Name == dc {
			d.DataCentres[i].InService = in
		}
	}
}
