package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

// Guards against a rollout that is reported in force before every data centre in
// service confirmed it.
func TestRollShowsDataCentres(t *testing.T) {
	h := newHarness(t, 1)
	h.must(exitOK, "sign", "bundle.json", "--key-file", "ana.key", "--out", "signed.json")
	out, _ := h.must(exitOK, "roll", "signed.json")
	_, tail, _ := strings.Cut(out, "version 1 is published\n")
	want := `  dc1 confirmed at 1970-01-01T00:00:01.000Z
  dc2 confirmed at 1970-01-01T00:00:01.000Z
version 1 is in force
`
	if d := cmp.Diff(want, tail); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(pollInterval, h.clock.waited); d != "" {
		t.Errorf("time waited on the fake clock:\n%s", d)
	}
}

// Guards against waiting without end, and against a result that calls a version
// accepted while a data centre has not confirmed it.
func TestRollWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.cell.stuck["dc2"] = true
	h.must(exitOK, "sign", "bundle.json", "--key-file", "ana.key", "--out", "signed.json")
	_, errs := h.must(exitWaiting, "roll", "signed.json", "--wait", "10s")
	if !strings.Contains(errs, "LH4005") || !strings.Contains(errs, "missing: dc2 (may run without confirmation until 1970-01-01T00:00:06.000Z)") {
		t.Error(errs)
	}
	if d := cmp.Diff(10*time.Second, h.clock.waited); d != "" {
		t.Error(d)
	}
	delete(h.cell.stuck, "dc2")
	h.must(exitOK, "roll", "signed.json")
	if d := cmp.Diff(1, h.vms[0].posts()); d != "" {
		t.Errorf("publications after rolling again:\n%s", d)
	}
}

// Guards against a publication that is reported wrongly, or made twice, when
// VMs are unreachable or replies are lost.
func TestRollFailures(t *testing.T) {
	lost := func(apply bool, times int) func(*http.Request, func()) bool {
		return func(r *http.Request, serve func()) bool {
			if r.Method != http.MethodPost || times == 0 {
				return false
			}
			times--
			if apply {
				serve()
			}
			return true
		}
	}
	blind := func(r *http.Request, serve func()) bool {
		if r.Method == http.MethodPost {
			serve()
		}
		return r.Method == http.MethodPost || strings.HasPrefix(r.URL.Path, "/v1/bundles/")
	}
	tests := map[string]struct {
		prepare  func(h *harness)
		exit     int
		text     string
		versions int
		posts    []int
	}{
		"reply lost after it took effect": {
			func(h *harness) { h.vms[0].hook = lost(true, 1) }, exitOK, "is in force", 2, []int{1, 0},
		},
		"reply lost and reads lag": {
			func(h *harness) {
				h.vms[0].hook = func(r *http.Request, serve func()) bool {
					if r.Method == http.MethodPost {
						serve()
						h.cell.staleReads = 2
					}
					return r.Method == http.MethodPost
				}
			},
			exitOK, "is in force", 2,
			[]int{1, 1},
		},
		"first VM down and second shuts down": {
			func(h *harness) { h.vms[0].Close(); h.vms[1].refuses = rcode.Draining },
			exitUnavailable, "LH2009", 1,
			[]int{0, 1},
		},
		"request lost": {
			func(h *harness) { h.vms[0].hook = lost(false, 1) }, exitOK, "is in force", 2, []int{1, 1},
		},
		"every request lost": {
			func(h *harness) { h.vms[0].hook, h.vms[1].hook = lost(false, -1), lost(false, -1) },
			exitUnknown, "LH3001", 1,
			[]int{21, 21},
		},
		"first VM down": {
			func(h *harness) { h.vms[0].Close() }, exitOK, "is in force", 2, []int{0, 1},
		},
		"first VM shuts down": {
			func(h *harness) { h.vms[0].refuses = rcode.Draining }, exitOK, "is in force", 2, []int{1, 1},
		},
		"store down": {
			func(h *harness) { h.vms[0].refuses, h.vms[1].refuses = rcode.StoreUnavailable, rcode.StoreUnavailable },
			exitUnavailable, "LH2005", 1,
			[]int{1, 1},
		},
		"refused as unsigned": {
			func(h *harness) { h.vms[0].refuses = rcode.BundleUnsigned }, exitUnsigned, "LH4002", 1, []int{1, 0},
		},
		"reply lost and then refused": {
			func(h *harness) { h.vms[0].hook, h.vms[1].refuses = lost(false, 1), rcode.OperatorRefused },
			exitUnknown, "LH3001", 1,
			[]int{1, 1},
		},
		"outcome unknown to the VM": {
			func(h *harness) { h.vms[0].refuses = rcode.OutcomeUnknown }, exitOK, "is in force", 2, []int{1, 1},
		},
		"all VMs down": {
			func(h *harness) { h.vms[0].Close(); h.vms[1].Close() }, exitUnavailable, "LH2013", 1, []int{0, 0},
		},
		"reply lost and another operator was first": {
			func(h *harness) {
				h.vms[0].hook = func(r *http.Request, _ func()) bool {
					if r.Method == http.MethodPost {
						h.publish("other.json")
					}
					return r.Method == http.MethodPost
				}
			},
			exitConflict, "version 2 by ben was published first", 2,
			[]int{1, 0},
		},
		"another operator was first": {
			func(h *harness) {
				h.vms[0].hook = func(r *http.Request, _ func()) bool {
					if r.Method == http.MethodPost {
						h.publish("other.json")
					}
					return false
				}
			},
			exitConflict, "version 2 by ben was published first", 2,
			[]int{1, 0},
		},
		"reply lost and overtaken by version 3": {
			func(h *harness) {
				h.vms[0].hook = func(r *http.Request, serve func()) bool {
					if r.Method == http.MethodPost {
						serve()
						h.publish("third.json")
					}
					return r.Method == http.MethodPost
				}
			},
			exitOK, "is in force", 3,
			[]int{1, 0},
		},
		"reply lost and nothing can be read": {
			func(h *harness) { h.hookAfterFirstReads(blind) }, exitUnknown, "LH3001", 2, []int{1, 0},
		},
		"wrong token": {
			func(h *harness) { h.t.Setenv("LIMCTL_TOKEN", "guess") }, exitRefused, "LH4006", 1, []int{0, 0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.first()
			h.next("third.json", "ben", `"version": 2`, `"version": 3`)
			h.next("other.json", "ben", `"share": 3`, `"share": 5`)
			h.next("mine.json", "ana", `"share": 3`, `"share": 4`)
			before := h.vms[0].posts()
			tt.prepare(h)
			exit, out, errs := h.run("roll", "mine.json", "--wait", "10s")
			if exit != tt.exit || !strings.Contains(out+errs, tt.text) {
				t.Errorf("exit %d, want %d with %q\n%s%s", exit, tt.exit, tt.text, out, errs)
			}
			if d := cmp.Diff(tt.versions, len(h.cell.versions)); d != "" {
				t.Errorf("published versions:\n%s", d)
			}
			if d := cmp.Diff(tt.posts, []int{h.vms[0].posts() - before, h.vms[1].posts()}); d != "" {
				t.Errorf("publications received by each VM:\n%s", d)
			}
		})
	}
}

// publish lets another operator publish a file.
func (h *harness) publish(file string) {
	raw, err := os.ReadFile(file)
	if err != nil {
		h.t.Error(err)
		return
	}
	if _, err := h.cell.publish(raw, int64(len(h.cell.versions))); err != nil {
		h.t.Error(err)
	}
}

// hookAfterFirstReads sets the hook on all VMs once the first publication comes.
func (h *harness) hookAfterFirstReads(hook func(*http.Request, func()) bool) {
	var on atomic.Bool
	for _, vm := range h.vms {
		vm.hook = func(r *http.Request, serve func()) bool {
			if r.Method == http.MethodPost {
				on.Store(true)
			}
			return on.Load() && hook(r, serve)
		}
	}
}

// Guards against two operators who both believe that their change is in force,
// and against a small change that is lost in the race.
func TestRace(t *testing.T) {
	tests := map[string]struct {
		args []string
		exit int
		in   bool
	}{
		"told who won":         {[]string{"out", "dc2", "--key-file", "ana.key"}, exitConflict, true},
		"made again on top":    {[]string{"out", "dc2", "--key-file", "ana.key", "--rebase", "1"}, exitOK, false},
		"revoked again on top": {[]string{"revoke", "school-1", "--key-file", "ana.key", "--rebase", "1"}, exitOK, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.first()
			h.next("other.json", "ben", `"share": 3`, `"share": 5`)
			raced := false
			h.vms[0].hook = func(r *http.Request, _ func()) bool {
				if r.Method == http.MethodPost && !raced {
					raced = true
					h.publish("other.json")
				}
				return false
			}
			_, errs := h.must(tt.exit, tt.args...)
			if tt.exit != exitOK && !strings.Contains(errs, "version 2 by ben was published first") {
				t.Error(errs)
			}
			b := h.cell.current()
			team, _ := b.Team("window")
			if d := cmp.Diff(int64(5), team.Share()); d != "" {
				t.Errorf("the winner's change is lost:\n%s", d)
			}
			if d := cmp.Diff(tt.in, b.InService("dc2")); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against changes that are lost, or made twice, when many operators make
// them at the same moment.
func TestManyOperators(t *testing.T) {
	const operators = 6
	h := newHarness(t, 2)
	for i := range operators {
		h.must(exitOK, "key", fmt.Sprintf("window-%d", i), "--into", "bundle.json", "--team", "window")
	}
	h.first()
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			args := []string{"revoke", fmt.Sprintf("window-%d", i), "--key-file", "ana.key", "--rebase", "20"}
			if exit, out, errs := h.run(args...); exit != exitOK {
				t.Errorf("operator %d: exit %d\n%s%s", i, exit, out, errs)
			}
		})
	}
	wg.Wait()
	var got []string
	for i := range len(h.cell.bundles) - 1 {
		for _, c := range policy.Diff(h.cell.bundles[i], h.cell.bundles[i+1]) {
			got = append(got, c.String())
		}
	}
	sort.Strings(got)
	var want []string
	for i := range operators {
		want = append(want, fmt.Sprintf("key window-%d: revoked for team window", i))
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("changes of all versions:\n%s", d)
	}
}

// Guards against signing a change of a bundle that a process on the network made
// up.
func TestChangeOfForgedBundle(t *testing.T) {
	h := newHarness(t, 1)
	h.first()
	h.must(exitOK, "keygen", "eve")
	h.write("forged.json", strings.Replace(valid, `"share": 3`, `"share": 900`, 1))
	t.Setenv("LIMCTL_APPROVERS", "")
	h.must(exitOK, "sign", "forged.json", "--key-file", "eve.key", "--out", "forged-signed.json")
	_, errs := h.must(exitUsage, "out", "dc2", "--key-file", "ana.key")
	if !strings.Contains(errs, "LIMCTL_APPROVERS") {
		t.Error(errs)
	}
	h.cell.versions[0] = []byte(h.read("forged-signed.json"))
	t.Setenv("LIMCTL_APPROVERS", strings.TrimSpace(h.read("ana.pub")))
	h.must(exitUnsigned, "out", "dc2", "--key-file", "ana.key", "--save", "saved.json")
	if _, err := os.Stat("saved.json"); !os.IsNotExist(err) {
		t.Errorf("a change of a forged bundle was signed: %v", err)
	}
}

// Guards against bytes that change between two approvers, which would void the
// first signature.
func TestSecondApprover(t *testing.T) {
	h := newHarness(t, 1)
	h.must(exitOK, "sign", "bundle.json", "--key-file", "ana.key,ben.key", "--out", "signed.json")
	h.must(exitOK, "roll", "signed.json")
	t.Setenv("LIMCTL_APPROVALS", "2")
	if _, errs := h.must(exitUnsigned, "revoke", "school-1", "--key-file", "ana.key"); !strings.Contains(errs, "1 of 2 approvals") {
		t.Error(errs)
	}
	if d := cmp.Diff(1, h.vms[0].posts()); d != "" {
		t.Errorf("publications:\n%s", d)
	}
	t.Setenv("LIMCTL_APPROVALS", "1")
	out, _ := h.must(exitOK, "revoke", "school-1", "--key-file", "ana.key", "--save", "one.json")
	if !strings.Contains(out, "key school-1: revoked for team school") {
		t.Error(out)
	}
	t.Setenv("LIMCTL_APPROVALS", "2")
	h.must(exitUnsigned, "roll", "one.json")
	h.must(exitOK, "sign", "one.json", "--key-file", "ben.key", "--out", "two.json")
	h.must(exitOK, "check", "two.json")
	t.Setenv("LIMCTL_APPROVALS", "1")
	h.must(exitOK, "roll", "two.json")
	if d := cmp.Diff(h.read("two.json"), string(h.cell.versions[1])); d != "" {
		t.Errorf("the published bytes are not those that were signed:\n%s", d)
	}
}
