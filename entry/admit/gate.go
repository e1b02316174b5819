package admit

import (
	"slices"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/retry"
)

const (
	// maxAge is the age from which figures are not used. It is counted from the hello that
	// they are the reply to.
	maxAge = 2 * time.Second
	// waitMargin divides the time that the work ahead of a job takes. Expected run times
	// are off in both directions, and to refuse what would have been served is worse than to
	// accept what is late.
	waitMargin = 1.5
	// shareMargin multiplies a VM's part of an account's share, because connections are
	// spread unevenly over the VMs.
	shareMargin = 2
)

// Decision is whether a job is accepted. The zero value is yes.
type Decision struct {
	cause retry.Cause

	wait, path, objective time.Duration
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.cause != nil }

// Cause returns why the job is refused and when there should be room.
func (d Decision) Cause() retry.Cause { return d.cause }

// Wait returns the expected time until the job's first start, less the margin.
func (d Decision) Wait() time.Duration { return d.wait }

// Path returns the expected run time of the job's longest chain of steps.
func (d Decision) Path() time.Duration { return d.path }

// Objective returns the objective of the job's duration.
func (d Decision) Objective() time.Duration { return d.objective }

// bucket is a VM's part of an account's share.
type bucket struct {
	tokens float64
	at     clock.Mono
}

// Gate decides for one VM. It is not safe for concurrent use.
type Gate struct {
	figures *Figures
	sentAt  clock.Mono
	// accepted is the work that this VM accepted since it received the figures, by queue and
	// by the length of the objective of a job that it goes ahead of.
	accepted map[string]*Waits
	// buckets holds the accounts that are over their share.
	buckets map[string]*bucket
}

// NewGate returns a gate that accepts all jobs until Update is called.
func NewGate() *Gate {
	return &Gate{accepted: make(map[string]*Waits), buckets: make(map[string]*bucket)}
}

// Update sets the figures: the reply to a hello sent at sentAt, or nil if the owner sent none.
func (g *Gate) Update(f *Figures, sentAt, now clock.Mono) {
	g.figures, g.sentAt = f, sentAt
	clear(g.accepted)
	listed := make(map[string]*bucket)
	if f != nil {
		for i := range f.Accounts {
			b := g.buckets[f.Accounts[i].Name]
			if b == nil {
				b = &bucket{tokens: 1, at: now}
			}
			listed[f.Accounts[i].Name] = b
		}
	}
	g.buckets = listed
}

// Check decides on a job. owner is the name of the owner as this VM knows it, or empty. rate
// is the share of the job's account in jobs per second; 0 is an account without a share. Jobs
// of such an account, and of one within its share, are not refused.
func (g *Gate) Check(now clock.Mono, owner string, job *graph.Job, rate float64) Decision {
	if g.figures == nil || now.Sub(g.sentAt) > maxAge || owner == "" || owner != g.figures.Owner {
		return Decision{}
	}
	if rate <= 0 || job.Settings == nil || !Refusable(job) {
		return Decision{}
	}
	q := g.queue(job.Queue)
	if q == nil {
		return Decision{}
	}
	d := Decision{path: q.criticalPath(job)}
	d.objective = objective(job.Settings, d.path)
	if d.objective <= 0 {
		return Decision{}
	}
	worthless := WorthlessFactor * d.objective
	i, own := levelOf(d.objective), time.Duration(0)
	if accepted := g.accepted[job.Queue]; accepted != nil {
		own = accepted[i]
	}
	wait, over := g.shareWait(now, job.Team)
	if !over {
		return Decision{}
	}
	d.wait = withMargin(q.Ahead[i] + own)
	if excess := d.wait + d.path - worthless; excess > 0 {
		d.cause = retry.OverShare{ShareAt: now.Add(max(excess, wait))}
	}
	return d
}

// withMargin returns a wait that is shorter by waitMargin.
func withMargin(d time.Duration) time.Duration { return time.Duration(float64(d) / waitMargin) }

// queue returns the figures of a queue, or nil.
func (g *Gate) queue(name string) *Queue {
	i := slices.IndexFunc(g.figures.Queues, func(q Queue) bool { return q.Name == name })
	if i < 0 {
		return nil
	}
	return &g.figures.Queues[i]
}

// shareWait reports whether an account is over its share, and when this VM has a part of it
// again. Otherwise it takes one job from this VM's part.
func (g *Gate) shareWait(now clock.Mono, account string) (time.Duration, bool) {
	b := g.buckets[account]
	if b == nil {
		return 0, false
	}
	i := slices.IndexFunc(g.figures.Accounts, func(a Account) bool { return a.Name == account })
	rate := shareMargin * g.figures.Accounts[i].Rate / float64(max(1, g.figures.VMs))
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, max(1, rate))
	b.at = now
	if b.tokens < 1 {
		return time.Duration(min((1-b.tokens)/max(rate, 1e-6), maxWait.Seconds()) * float64(time.Second)), true
	}
	b.tokens--
	return 0, false
}

// Accepted adds a job that this VM accepted after the figures were taken.
func (g *Gate) Accepted(job *graph.Job) {
	if g.figures == nil || job.Settings == nil || !Refusable(job) {
		return
	}
	q := g.queue(job.Queue)
	if q == nil {
		return
	}
	accepted := g.accepted[job.Queue]
	if accepted == nil {
		accepted = new(Waits)
		g.accepted[job.Queue] = accepted
	}
	jobObjective, work := objective(job.Settings, q.criticalPath(job)), q.work(job)
	for i := range accepted {
		if jobObjective <= level[i] {
			accepted[i] += work
		}
	}
}
