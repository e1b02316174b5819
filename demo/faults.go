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

// faults injects faults on a fixed schedule while the load runs, and records what the
// checks need to know about them.
type faults struct {
	cluster *cluster
	load    *load
	monitor *monitor
	start   time.Time

	killed, stopped                 *entryVM
	revokedTeam                     string
	revokedMS                       int64
	outOfServiceDC                  string
	outOfServiceMS, backInServiceMS int64
	leavingBackend                  serverVM
	leavingMS                       int64
	rollouts                        []time.Duration
	version                         int64
	errs                            []string

	mu sync.Mutex
	// lastAcceptedMS is the time of the last request with the revoked key that was
	// accepted.
	lastAcceptedMS int64
	probes         int
}

func newFaults(c *cluster, l *load, w *monitor, start time.Time) *faults {
	return &faults{cluster: c, load: l, monitor: w, start: start, version: 1}
}

func (f *faults) runAt(ctx context.Context, second float64, description string, inject func() error) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(f.start.Add(time.Duration(second * float64(time.Second))))):
	}
	progress(f.start, "%s", description)
	if err := inject(); err != nil {
		f.errs = append(f.errs, description+": "+err.Error())
		progress(f.start, "  %v", err)
	}
}

func (f *faults) run(ctx context.Context) {
	dcs := f.cluster.deployment.DCs
	victim := f.ownerIn(dcs[0].Name)
	f.runAt(ctx, 4, "kill entry VM "+victim.name, func() error { return f.kill(victim) })
	f.runAt(ctx, 6, "mark a backend server as leaving", f.markBackendLeaving)
	f.runAt(ctx, 8, "replace the killed VM", func() error { return f.replace(victim) })
	paused := f.ownerIn(dcs[2].Name)
	f.runAt(ctx, 9, "pause entry VM "+paused.name+" until its authority has expired", func() error { return f.pause(paused, true) })
	f.runAt(ctx, 13, "take the store down", func() error { return f.setStoreDown(true) })
	second := f.ownerIn(dcs[1].Name)
	f.runAt(ctx, 15, "kill entry VM "+second.name+" during the outage", func() error { return f.kill(second) })
	f.runAt(ctx, 18, "resume the paused VM", func() error { return f.pause(paused, false) })
	f.runAt(ctx, 19, "bring the store back", func() error { return f.setStoreDown(false) })
	f.runAt(ctx, 19.5, "replace the second killed VM", func() error { return f.replace(second) })
	team := f.cluster.deployment.Load.Interactive[2].Team
	f.runAt(ctx, 20, "revoke the key of team "+team, func() error { return f.revoke(ctx, team) })
	outDC := dcs[len(dcs)-1].Name
	f.runAt(ctx, 22, "take data centre "+outDC+" out of service", func() error { return f.takeOutOfService(ctx, outDC) })
	graceful := f.ownerIn(dcs[1].Name)
	f.runAt(ctx, 25, "stop entry VM "+graceful.name+" gracefully", func() error { return f.stopGracefully(graceful) })
	f.runAt(ctx, 28, "bring data centre "+outDC+" back into service", func() error { return f.bringBackIntoService(ctx, outDC) })
	f.runAt(ctx, 29, "replace the stopped VM", func() error { return f.replace(graceful) })
}

// ownerIn returns an entry VM of the data centre, if possible one that owns a shard.
func (f *faults) ownerIn(dc string) *entryVM {
	var found *entryVM
	for _, e := range f.cluster.live() {
		if e.dc != dc {
			continue
		}
		found = e
		if f.monitor.owns(e.name) {
			return e
		}
	}
	return found
}

func (f *faults) kill(e *entryVM) error {
	f.killed = e
	e.endedMS = time.Now().UnixMilli()
	if err := e.cmd.Process.Kill(); err != nil {
		return err
	}
	f.load.updateAddrs()
	_, _, err := call(fasthttp.MethodDelete, "http://"+f.cluster.addr(portVMs)+"/vms/"+e.name, nil, "")
	return err
}

// replace starts a VM at the addresses of the old one, under a new name: the platform
// never lists the name of a removed VM again.
func (f *faults) replace(old *entryVM) error {
	e := &entryVM{name: old.name + "b", dc: old.dc, http: old.http, peer: old.peer}
	if err := f.cluster.startEntry(e); err != nil {
		return err
	}
	f.cluster.mu.Lock()
	f.cluster.entries = append(f.cluster.entries, e)
	f.cluster.mu.Unlock()
	f.load.updateAddrs()
	return nil
}

func (f *faults) stopGracefully(e *entryVM) error {
	f.stopped = e
	if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	stopMS := time.Now().UnixMilli()
	time.Sleep(1500 * time.Millisecond)
	e.endedMS = stopMS
	f.load.updateAddrs()
	_, _, err := call(fasthttp.MethodDelete, "http://"+f.cluster.addr(portVMs)+"/vms/"+e.name, nil, "")
	return err
}

// pause suspends or resumes the process of a VM.
func (f *faults) pause(e *entryVM, paused bool) error {
	f.monitor.setPaused(e.name, paused)
	if paused {
		return e.cmd.Process.Signal(syscall.SIGSTOP)
	}
	return e.cmd.Process.Signal(syscall.SIGCONT)
}

func (f *faults) markBackendLeaving() error {
	// Choose the busiest backend server, so that the check covers running requests.
	maxRuns := -1
	for _, b := range f.cluster.backends {
		if n, err := readRuns(b); err == nil && n > maxRuns {
			f.leavingBackend, maxRuns = b, n
		}
	}
	f.leavingMS = time.Now().UnixMilli()
	_, _, err := call(fasthttp.MethodPost, "http://"+f.cluster.addr(portVMs)+"/vms/"+f.leavingBackend.id+"/leaving", nil, "")
	go func() {
		time.Sleep(5 * time.Second)
		f.monitor.recordLeavingRuns(f.leavingBackend)
	}()
	return err
}

func (f *faults) setStoreDown(down bool) error {
	body, err := json.Marshal(map[string]any{"down": down})
	if err != nil {
		return err
	}
	_, _, err = call(fasthttp.MethodPost, "http://"+f.cluster.addr(portKV)+"/control", body, "")
	return err
}

func (f *faults) roll(ctx context.Context, change func(*policy.Document)) error {
	took, err := f.cluster.publish(ctx, change, f.version)
	if err != nil {
		return err
	}
	f.version++
	f.rollouts = append(f.rollouts, took)
	progress(f.start, "  version %d in force after %v", f.version, took.Round(time.Millisecond))
	return nil
}

func (f *faults) revoke(ctx context.Context, team string) error {
	f.revokedTeam = team
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

// probe keeps sending requests with the revoked key and records when one was last
// accepted.
func (f *faults) probe(ctx context.Context, team string) {
	for n := 0; ctx.Err() == nil; n++ {
		atMS := time.Now().UnixMilli()
		res := f.load.caller.Send(ctx, caller.Request{
			Queue: f.cluster.deployment.Load.Interactive[2].Queue, Class: "revoked key", Key: f.cluster.secrets[team],
			Deadline: time.Now().Add(2 * time.Second), Body: fmt.Appendf(nil, "probe/%d", n),
		})
		f.mu.Lock()
		f.probes++
		if res.Code() == rcode.OK {
			f.lastAcceptedMS = atMS
		}
		f.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func (f *faults) takeOutOfService(ctx context.Context, dc string) error {
	f.outOfServiceDC = dc
	err := f.roll(ctx, func(d *policy.Document) { setInService(d, dc, false) })
	f.outOfServiceMS = time.Now().UnixMilli()
	return err
}

func (f *faults) bringBackIntoService(ctx context.Context, dc string) error {
	f.backInServiceMS = time.Now().UnixMilli()
	return f.roll(ctx, func(d *policy.Document) { setInService(d, dc, true) })
}

func setInService(d *policy.Document, dc string, in bool) {
	for i := range d.DataCentres {
		if d.DataCentres[i].Name == dc {
			d.DataCentres[i].InService = in
		}
	}
}
