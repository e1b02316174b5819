package engine

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/logs"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/sched"
)

// member is a VM that sent a hello, or this VM itself.
type member struct {
	lead.Holder
	cpuMilli    int64
	lastHelloAt clock.Mono
	// checksRefusals is whether the VM said so in its last hello.
	checksRefusals bool
	// busyUntil is when the advice calls assigned to the VM should be over; failedAt is
	// when one last failed.
	busyUntil, failedAt clock.Mono
}

// advicePool spreads the calls to the advising service over the VMs, because the
// service accepts one call at a time from each VM.
type advicePool struct {
	// members are the VMs that sent hellos and this VM, by name.
	members map[string]*member
	// shortCallMS is the summed cost of the short calls as of shortCallMSAt, in which the
	// cost of each call decays with a half-life of one second.
	shortCallMS   float64
	shortCallMSAt clock.Mono
}

// shortCallVMs returns how many VMs the short calls keep busy at their current rate. At
// a steady rate the decaying sum is the rate, in milliseconds of calls per second,
// divided by ln 2.
func (p *advicePool) shortCallVMs(now clock.Mono) float64 {
	p.shortCallMS *= math.Exp2(-now.Sub(p.shortCallMSAt).Seconds())
	p.shortCallMSAt = now
	return p.shortCallMS * math.Ln2 / 1000
}

const (
	// memberTimeout is how long after its last hello a VM counts as a member.
	memberTimeout = 2500 * time.Millisecond
	// longCallMS is the cost from which a call counts as long. Long calls are kept off
	// the VMs that serve short ones, since a short call would wait behind a long one.
	longCallMS = 80
	// spareShortCallVMs is how many VMs are kept free of long calls beyond those that
	// the short calls keep busy.
	spareShortCallVMs = 1.5
	// failedMemberBackoff is how long a VM gets no new call after one failed.
	failedMemberBackoff = time.Second
	// adviceTimeoutSlack is how much longer than its estimated time a call may take.
	adviceTimeoutSlack = 700 * time.Millisecond
	// maxQueuedWork is how much work a VM may still have queued when it gets another
	// call. It covers the round trip of the call.
	maxQueuedWork = 30 * time.Millisecond
)

// updateMember records a hello of a VM.
func (e *Engine) updateMember(from lead.Holder, cpuMilli int64) {
	m := e.members[from.Name]
	if m == nil {
		m = &member{Holder: from}
		e.members[from.Name] = m
		e.log.Info("VM joined", zap.String("vm", from.Name), zap.String("addr", from.Addr))
	}
	m.lastHelloAt, m.cpuMilli = e.clk.Now(), cpuMilli
}

// greetTimeout bounds a greeting.
const greetTimeout = 300 * time.Millisecond

// greetMembers looks for the VMs that the former owner knew. They say hello by themselves
// only once they have found the new owner, and until then there is nobody to call the
// advising service.
func (e *Engine) greetMembers(t *term) {
	if e.cfg.MemberAddrs == nil || e.cfg.Greet == nil {
		return
	}
	for _, addr := range e.cfg.MemberAddrs() {
		if addr == e.cfg.Self.Addr {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(t.ctx, greetTimeout)
			defer cancel()
			var from lead.Holder
			err := e.guarded("greeting", func() (err error) {
				from, err = e.cfg.Greet(ctx, addr)
				return err
			})
			if err != nil || from.Name == "" {
				return
			}
			e.post(func() {
				if e.term == t {
					e.memberReplied(from)
					t.dirty = true
				}
			})
		}()
	}
}

// memberReplied records that a VM replied to this one. Its CPU is as in its last hello, or
// not known until the first.
func (e *Engine) memberReplied(from lead.Holder) {
	cpuMilli := int64(0)
	if m := e.members[from.Name]; m != nil {
		cpuMilli = m.cpuMilli
	}
	e.updateMember(from, cpuMilli)
}

// membersByCPU returns the members, those with the most CPU first.
func (e *Engine) membersByCPU() []*member {
	list := make([]*member, 0, len(e.members))
	for _, m := range e.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.cpuMilli, a.cpuMilli), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// reserveAdviser picks the VM that can make an advice call soonest and adds the call's
// cost to that VM's queued work. It returns false if no VM can make the call now. Long
// calls are kept off the first VMs by name, as many as the short calls need.
func (e *Engine) reserveAdviser(costMS int64) (string, bool) {
	now := e.clk.Now()
	e.updateMember(e.cfg.Self, e.cfg.CPUMilli)
	var list []*member
	for name, m := range e.members {
		if now.Sub(m.lastHelloAt) > memberTimeout {
			delete(e.members, name)
			continue
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.Name, b.Name) })
	shortVMs := e.shortCallVMs(now)
	if costMS >= longCallMS {
		list = list[min(int(math.Ceil(shortVMs+spareShortCallVMs)), len(list)-1):]
	}
	var best *member
	for _, m := range list {
		if m.failedAt != 0 && now.Sub(m.failedAt) < failedMemberBackoff && len(list) > 1 {
			continue
		}
		if best == nil || m.busyUntil < best.busyUntil {
			best = m
		}
	}
	if best == nil || best.busyUntil.Sub(now) > maxQueuedWork {
		return "", false
	}
	best.busyUntil = max(best.busyUntil, now).Add(time.Duration(costMS) * time.Millisecond)
	if costMS < longCallMS {
		e.shortCallMS += float64(costMS)
	}
	return best.Name, true
}

// requestAdvice has the reserved VM call the advising service and passes the reply to
// the scheduler.
func (e *Engine) requestAdvice(t *term, d sched.RequestAdvice) {
	sent := e.clk.Now()
	m := e.members[d.VM]
	if m == nil {
		t.state.AdviceReceived(d.Step, nil, nil, 0, false)
		return
	}
	timeout := max(m.busyUntil.Sub(sent), 0) + adviceTimeoutSlack
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		defer cancel()
		var tickets []sched.Ticket
		var valid time.Duration
		err := e.guarded("advice", func() (err error) {
			if m.Name == e.cfg.Self.Name {
				tickets, valid, err = e.cfg.Adviser.Advise(ctx, d.Step, d.Workers)
			} else {
				tickets, valid, err = e.cfg.RemoteAdviser.Advise(ctx, m.Addr, d.Step, d.Workers)
			}
			return err
		})
		validUntil := e.clk.Now().Add(valid)
		e.post(func() {
			if e.term != t {
				return
			}
			if err != nil {
				m.failedAt = e.clk.Now()
				m.busyUntil = e.clk.Now()
				e.log.Warn("failed to get advice", append(logs.Err(err), zap.String("step", d.Step), zap.String("vm", m.Name))...)
			}
			e.cfg.Metrics.ObserveAdvice(d.Renewal, e.clk.Now().Sub(sent))
			e.log.Info("advice", zap.String("step", d.Step), zap.String("vm", m.Name), zap.Int("asked", len(d.Workers)),
				zap.Int("allowed", len(tickets)), zap.Int64("cost_ms", d.CostMS), zap.Int64("took_ms", e.clk.Now().Sub(sent).Milliseconds()),
				zap.Bool("renewal", d.Renewal))
			t.state.SetNow(e.clk.Now(), e.clk.Wall().UnixMilli())
			t.state.AdviceReceived(d.Step, d.Workers, tickets, validUntil, err == nil)
			t.dirty = true
		})
	}()
}
