package retry

import (
	"time"

	"limpethitch.example/core/clock"
)

// maxQuiet is how long no request may come for the next refusal to count as the same
// outage. A VM with few callers would otherwise take two short outages for a long one.
const maxQuiet = 10 * time.Second

// Outage is an unbroken period in which requests are refused for one cause. The zero
// value is none. It is not safe for concurrent use.
type Outage struct{ since, lastRefusal clock.Mono }

// Refused records a refusal and returns when the outage began: at its first refusal, or at
// lastSign, when what is missing last answered, if that is earlier.
func (o *Outage) Refused(now, lastSign clock.Mono) clock.Mono {
	if o.since == 0 || now.Sub(o.lastRefusal) > maxQuiet {
		o.since = now
	}
	o.lastRefusal = now
	o.since = min(o.since, max(lastSign, 1))
	return o.since
}

// Ended records that a request was served.
func (o *Outage) Ended() { *o = Outage{} }
