package sched

import (
	"cmp"
	"time"

	"limpethitch.example/core/clock"
)

// rank orders waiting steps; lower ranks are placed first. objective is later than the job's
// by the delay for its account's past use.
type rank struct {
	class     int
	priority  int
	objective clock.Mono
}

// Rank classes, first to last. Under overload, steps that are already late must not
// make the others late too.
const (
	classOnTime    = iota // can still meet the objective
	classMissed           // misses the objective, but still has value
	classOverRate         // sent by an account above its rate
	classWorthless        // so late that the result has no value
)

const (
	// requiredRunShare is the share of the expected run time that must fit before the
	// objective. Declared run times are far off in both directions.
	requiredRunShare = 0.9
	// startOverhead is added to the run time for the journal write, the start order and
	// the report of the end.
	startOverhead = 50 * time.Millisecond
)

func (s *State) rankOf(st *step) rank {
	j := st.job
	if s.now.Sub(j.estimatedAt) >= estimateInterval {
		s.estimate(j)
	}
	r := rank{priority: j.queue.Priority, objective: j.objective.Add(st.pastUseDelay())}
	switch {
	case s.now >= j.worthlessAt && !st.spec.Service:
		r.class = classWorthless
	case j.overRate:
		r.class = classOverRate
	case !s.inTimeFrom(st, s.now) && !st.spec.Service:
		r.class = classMissed
	}
	return r
}

// inTimeFrom reports whether a step's job can meet its objective if the step starts at the
// given time.
func (s *State) inTimeFrom(st *step, at clock.Mono) bool {
	return at.Add(startOverhead+time.Duration(requiredRunShare*float64(st.criticalPathMS))*time.Millisecond) <= st.job.objective
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority), cmp.Compare(r.objective, o.objective))
}
