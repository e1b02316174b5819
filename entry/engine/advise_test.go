package engine

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
)

// fakeAdviser allows every worker and reports the steps that it was asked about.
type fakeAdviser struct{ steps chan string }

func (a fakeAdviser) Advise(_ context.Context, step string, workers []string) ([]sched.Ticket, time.Duration, error) {
	a.steps <- step
	var tickets []sched.Ticket
	for _, w := range workers {
		tickets = append(tickets, sched.Ticket{Worker: w, Value: "t"})
	}
	return tickets, 10 * time.Second, nil
}

// TestAdviceDuringWrite guards against jobs that wait for the store's answer to a write
// before they are even asked about at the advising service.
func TestAdviceDuringWrite(t *testing.T) {
	t.Parallel()
	adviser := fakeAdviser{steps: make(chan string, 16)}
	h := newHarnessWith(t, func(c *Config) { c.Adviser = adviser })
	h.engine.SetRules(rules.New(2, []rules.Queue{{
		Name: "q", Service: "svc", MaxAttempts: 2, StretchFactor: 2, Advice: &rules.AdviceConfig{BaseMS: 1, PerWorkerMS: 0.1},
	}}, nil, rules.Limits{}))
	h.store.setClosed(true)
	h.submit(t)
	<-adviser.steps
	<-h.store.refused // the start of the first job waits to be stored
	const second = "00000000000000bb"
	h.submitAs(t, second)
	if diff := cmp.Diff(second+".0.0", <-adviser.steps); diff != "" {
		t.Errorf("step asked about (-want +got):\n%s", diff)
	}
	h.store.setClosed(false)
	h.waitForStatus(t, func(s JobStatus) bool { return s.State == sched.JobDone })
}

// TestGreetMembers guards against a new owner that has nobody to call the advising service
// until the other VMs have found it.
func TestGreetMembers(t *testing.T) {
	t.Parallel()
	h := newHarnessWith(t, func(cfg *Config) {
		cfg.MemberAddrs = func() []string { return []string{"a1", "a2", cfg.Self.Addr, "gone", "nameless"} }
		cfg.Greet = func(_ context.Context, addr string) (lead.Holder, error) {
			switch addr {
			case "gone":
				return lead.Holder{}, rcode.New(rcode.PeerUnreachable, "gone")
			case "nameless":
				return lead.Holder{Addr: addr}, nil
			default:
				return lead.Holder{Name: "vm-" + addr, Addr: addr}, nil
			}
		}
	})
	want := []string{"vm-a1", "vm-a2"}
	var got []string
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !cmp.Equal(want, got); time.Sleep(time.Millisecond) {
		names := make(chan []string, 1)
		h.engine.post(func() {
			names <- slices.DeleteFunc(slices.Sorted(maps.Keys(h.engine.members)), func(name string) bool { return name == h.engine.cfg.Self.Name })
		})
		got = <-names
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("members that have not said hello (-want +got):\n%s", diff)
	}
}

// TestMemberReplied guards against a VM that stays out of use because it said its last hello
// in an earlier term of this VM, and against one whose CPU is forgotten.
func TestMemberReplied(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		known *member
		want  int64
	}{
		"known":     {known: &member{cpuMilli: 800, lastHelloAt: 1}, want: 800},
		"not known": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewFake(time.Unix(1000, 0))
			clk.Advance(time.Hour)
			e := New(Config{}, clk, zap.NewNop())
			if tt.known != nil {
				e.members["vm1-a"] = tt.known
			}
			e.memberReplied(lead.Holder{Name: "vm1-a", Addr: "a1"})
			m := e.members["vm1-a"]
			if diff := cmp.Diff([]any{tt.want, clk.Now()}, []any{m.cpuMilli, m.lastHelloAt}); diff != "" {
				t.Errorf("CPU, last contact (-want +got):\n%s", diff)
			}
		})
	}
}
