package probe

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// TestCalls guards against waiting for an answer that cannot come any more, and against
// giving up calls to a service that is only slow.
func TestCalls(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	tests := map[string]struct {
		bytes int
		// awayUntil is when the service is back: calls and probes sent before are lost.
		awayUntil time.Duration
		// latency is the time of the call and of the probes, in turn.
		latency []time.Duration
		lostAt  time.Duration // 0 is not lost
	}{
		"fast":                           {latency: []time.Duration{4 * ms}},
		"slow":                           {latency: []time.Duration{900 * ms}},
		"slow, varying":                  {latency: []time.Duration{430 * ms, 200 * ms}},
		"large and slow":                 {bytes: 500_000, latency: []time.Duration{2 * time.Second, 4 * ms}},
		"answer lost":                    {awayUntil: 1, latency: []time.Duration{0, 4 * ms}, lostAt: 450 * ms},
		"after an outage":                {awayUntil: 3 * time.Second, latency: []time.Duration{0, 4 * ms}, lostAt: 3300 * ms},
		"after an outage, slow":          {awayUntil: 3 * time.Second, latency: []time.Duration{0, 400 * ms}, lostAt: 3450 * ms},
		"after an outage, large message": {bytes: 250_000, awayUntil: 3 * time.Second, latency: []time.Duration{0, 4 * ms}, lostAt: 4300 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCalls()
			start := clock.Mono(time.Second)
			answerAt := func(sent clock.Mono, probe int) clock.Mono {
				if sent.Sub(start) < tt.awayUntil {
					return 0
				}
				return sent.Add(tt.latency[min(probe, len(tt.latency)-1)])
			}
			c := s.begin(start, Allowance(tt.bytes))
			answered := answerAt(start, 0)
			probes := make(map[clock.Mono]clock.Mono) // answers by the time sent
			var lostAt time.Duration
			for now := start; now.Sub(start) < 10*time.Second; now = now.Add(ms) {
				if answered != 0 && now >= answered {
					break
				}
				for sent, at := range probes {
					if at != 0 && now >= at && at.Sub(sent) <= timeout {
						s.probeAnswered(sent)
						delete(probes, sent)
					}
				}
				if c.isLost(now) {
					lostAt = now.Sub(start)
					break
				}
				if s.probeDue(c, now) {
					probes[now] = answerAt(now, 1)
				}
			}
			const tolerance = 150 * ms // a probe may be sent that long after the service is back
			if lostAt < tt.lostAt-tolerance || lostAt > tt.lostAt+tolerance || (lostAt == 0) != (tt.lostAt == 0) {
				t.Errorf("call lost after %v, want %v (0 is not lost)", lostAt, tt.lostAt)
			}
		})
	}
}

// TestDo guards against calls that block for good when the service never answers them, and
// against errors of the call that are not passed on.
func TestDo(t *testing.T) {
	t.Parallel()
	never := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	tests := map[string]struct {
		answersProbes bool
		timeout       time.Duration
		f             func(context.Context) error
		want          rcode.Code
	}{
		"answered":        {answersProbes: true, timeout: time.Minute, f: func(context.Context) error { return nil }, want: rcode.OK},
		"refused":         {answersProbes: true, timeout: time.Minute, f: func(context.Context) error { return rcode.New(rcode.StoreUnavailable, "x") }, want: rcode.StoreUnavailable},
		"lost":            {answersProbes: true, timeout: time.Minute, f: never, want: rcode.OutcomeUnknown},
		"ignores its end": {answersProbes: true, timeout: time.Minute, f: func(context.Context) error { select {} }, want: rcode.OutcomeUnknown},
		"service is gone": {timeout: 20 * time.Millisecond, f: never, want: rcode.OutcomeUnknown},
		"caller gives up": {answersProbes: true, timeout: 0, f: never, want: rcode.OutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := New(func(context.Context) bool { return tt.answersProbes }, clock.New())
			ctx, cancel := context.WithTimeout(context.Background(), tt.timeout)
			defer cancel()
			err := m.Do(ctx, Allowance(0), tt.f)
			if diff := cmp.Diff([]any{tt.want, 0}, []any{rcode.Of(err), len(m.calls.pending)}); diff != "" {
				t.Errorf("code, pending calls (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPanic guards against a panic in the goroutine of a call or a probe, which would end the
// process although the caller handles panics.
func TestPanic(t *testing.T) {
	t.Parallel()
	m := New(func(context.Context) bool { panic("in a probe") }, clock.New())
	defer func() {
		if err, ok := recover().(error); !ok || rcode.Of(err) != rcode.Internal {
			t.Errorf("the caller recovered %v, want an error with code %s", err, rcode.Internal)
		}
	}()
	_ = m.Do(context.Background(), Allowance(0), func(context.Context) error {
		<-time.After(2 * firstProbeAfter)
		panic("in a call")
	})
}
