package engine

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
)

// TestSeries guards against an owner that offers ownership right after an outage
// that was everybody's, because another VM heard from the store first.
func TestSeries(t *testing.T) {
	t.Parallel()
	const every = 100 * time.Millisecond
	tests := map[string]struct {
		// ages are what other VMs say, one greeting each 100 ms.
		ages func(at time.Duration) time.Duration
		last time.Duration
		want bool
	}{
		"the owner alone is cut off":  {ages: func(time.Duration) time.Duration { return 0 }, last: 3 * time.Second, want: true},
		"an outage has just ended":    {ages: endedAt(2900 * time.Millisecond), last: 3 * time.Second},
		"it ended some time ago":      {ages: endedAt(1500 * time.Millisecond), last: 3 * time.Second, want: true},
		"the store answers nobody":    {ages: func(at time.Duration) time.Duration { return at }, last: 3 * time.Second},
		"the series has hardly begun": {ages: func(time.Duration) time.Duration { return 0 }, last: 500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s series
			now := clock.Mono(time.Hour)
			for at := time.Duration(0); at <= tt.last; at += every {
				now = now.Add(every)
				s.note(now, tt.ages(at))
			}
			if diff := cmp.Diff(tt.want, s.steady(now)); diff != "" {
				t.Errorf("steady (-want +got):\n%s", diff)
			}
		})
	}
}

// endedAt is what VMs say around an outage that began at once and ended at end.
func endedAt(end time.Duration) func(time.Duration) time.Duration {
	return func(at time.Duration) time.Duration {
		if at < end {
			return at + time.Second
		}
		return 0
	}
}
