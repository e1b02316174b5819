package pause

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"limpethitch.example/core/clock"
)

// TestPausedSince guards against a process that uses what it read before a pause, in particular
// in the moment between the end of the pause and the next check.
func TestPausedSince(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		// gaps are the times between the checks after the read, last the time since then.
		gaps []time.Duration
		last time.Duration
		want bool
	}{
		"read just now":             {want: false},
		"checks on time":            {gaps: []time.Duration{checkInterval, checkInterval}, last: checkInterval, want: false},
		"a few checks missed":       {gaps: []time.Duration{3 * checkInterval}, want: false},
		"paused, not noticed yet":   {gaps: []time.Duration{checkInterval}, last: MinPause, want: true},
		"paused, noticed":           {gaps: []time.Duration{MinPause}, want: true},
		"paused, noticed long ago":  {gaps: []time.Duration{MinPause, checkInterval, checkInterval}, last: checkInterval, want: true},
		"paused twice, second last": {gaps: []time.Duration{MinPause, checkInterval}, last: 5 * time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clk := clock.NewFake(time.Unix(1000, 0))
			d := NewDetector(clk)
			d.check()
			readAt := clk.Now()
			for _, gap := range tt.gaps {
				clk.Advance(gap)
				d.check()
			}
			clk.Advance(tt.last)
			if diff := cmp.Diff(tt.want, d.PausedSince(readAt)); diff != "" {
				t.Errorf("paused since the read (-want +got):\n%s", diff)
			}
			d.check()
			if clk.Advance(time.Nanosecond); d.PausedSince(clk.Now()) {
				t.Error("paused since a read after the pause")
			}
		})
	}
}

// TestResumed guards against a pause that nobody is told of.
func TestResumed(t *testing.T) {
	t.Parallel()
	clk := clock.NewFake(time.Unix(1000, 0))
	d := NewDetector(clk)
	d.check()
	var got []bool
	for _, gap := range []time.Duration{checkInterval, MinPause, checkInterval} {
		clk.Advance(gap)
		d.check()
		select {
		case <-d.Resumed():
			got = append(got, true)
		default:
			got = append(got, false)
		}
	}
	if diff := cmp.Diff([]bool{false, true, false}, got); diff != "" {
		t.Errorf("told of a pause after each check (-want +got):\n%s", diff)
	}
}
