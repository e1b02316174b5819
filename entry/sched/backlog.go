package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
	"limpethitch.example/entry/admit"
)

const (
	// overloadUse is the share of the dominant resource from which a service's workers
	// count as fully used. Free pieces that fit no waiting task remain.
	overloadUse = 0.85
	// minOverload is how long they must have been fully used: a burst that is started at once
	// is no overload.
	minOverload = time.Second
)

// serviceLoad is the capacity and use of a service's workers that accept work, and the
// waiting work for them.
type serviceLoad struct {
	capacity, used amount.Vec
	// work is the waiting work by rank class and priority, and by the time left to the
	// objective: that of element i has at most admit.Level(i) left, the last is all.
	work map[workKey]*[admit.Levels + 1]admit.Work
}

// workKey is what orders waiting steps before their objectives.
type workKey struct{ class, priority int }

// ahead returns the work that goes before a new job of a priority whose account is over its
// share, by the length of the job's objective: that with a higher priority, that of accounts
// within their share, and that with an earlier objective. Work with a lower priority of
// accounts within their share goes first too, but often waits for something other than room.
func (l *serviceLoad) ahead(priority int) (out [admit.Levels]admit.Work) {
	// In a fixed order, as sums of floating-point numbers depend on it.
	keys := slices.SortedFunc(maps.Keys(l.work), func(a, b workKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority))
	})
	for _, key := range keys {
		work := l.work[key]
		for i := range out {
			switch {
			case key.priority < priority, key.priority == priority && key.class != classOverRate:
				out[i] = out[i].Plus(work[admit.Levels])
			case key.priority == priority:
				out[i] = out[i].Plus(work[i])
			}
		}
	}
	return out
}

// overloaded reports whether the workers are nearly all in use.
func (l *serviceLoad) overloaded() bool {
	share := func(used, capacity int64) float64 { return float64(used) / float64(max(1, capacity)) }
	return max(share(l.used.CPUMilli(), l.capacity.CPUMilli()), share(l.used.MemoryMiB(), l.capacity.MemoryMiB()),
		share(l.used.Accelerators(), l.capacity.Accelerators())) >= overloadUse
}

// overloadedServices returns the services whose workers have been nearly all in use for
// minOverload.
func (s *State) overloadedServices() map[string]*serviceLoad {
	services := make(map[string]*serviceLoad)
	for _, w := range s.workerList {
		if !s.acceptsWork(w) {
			continue
		}
		l := services[w.spec.Service]
		if l == nil {
			l = &serviceLoad{work: make(map[workKey]*[admit.Levels + 1]admit.Work)}
			services[w.spec.Service] = l
		}
		l.capacity, l.used = l.capacity.Add(w.spec.Capacity), l.used.Add(w.used)
	}
	maps.DeleteFunc(services, func(_ string, l *serviceLoad) bool { return !l.overloaded() })
	maps.DeleteFunc(s.overloadedSince, func(name string, _ clock.Mono) bool { return services[name] == nil })
	for name := range services {
		if s.overloadedSince[name] == 0 {
			s.overloadedSince[name] = s.now
		}
		if s.now.Sub(s.overloadedSince[name]) < minOverload {
			delete(services, name)
		}
	}
	return services
}

// Backlog returns the load of the services that are overloaded, or nil if none is or no
// account is over its share. It must be called regularly, as an overload counts from the call
// that first saw it.
func (s *State) Backlog() *admit.Figures {
	services := s.overloadedServices()
	if len(services) == 0 || s.rules == nil {
		return nil
	}
	overShare := make(map[string]bool) // accounts with work waiting beyond their rate
	for st := range s.allWaiting() {
		l := services[st.job.queue.Service]
		if l == nil || !s.countsAsBacklog(st) {
			continue
		}
		var w admit.Work
		w.Add(st.size, st.unassigned, time.Duration(s.leastRunTimeMS(st))*time.Millisecond)
		l.add(workKey{class: st.rank.class, priority: st.job.queue.Priority}, st.job.objective.Sub(s.now), w)
		if st.rank.class == classOverRate {
			overShare[st.job.doc.Team] = true
		}
	}
	f := &admit.Figures{Accounts: s.accountsOverShare(overShare)}
	if len(f.Accounts) == 0 {
		return nil
	}
	names, _ := s.rules.Names()
	slices.Sort(names)
	for _, name := range names {
		q, _ := s.rules.Queue(name)
		if l := services[q.Service]; l != nil && len(f.Queues) < admit.MaxQueues {
			f.Queues = append(f.Queues, s.queueLoad(name, q.Priority, l))
		}
	}
	return f
}

// add adds the work of a step with a time left to its objective.
func (l *serviceLoad) add(key workKey, left time.Duration, w admit.Work) {
	work := l.work[key]
	if work == nil {
		work = new([admit.Levels + 1]admit.Work)
		l.work[key] = work
	}
	for i := range work {
		if i == admit.Levels || left <= admit.Level(i) {
			work[i] = work[i].Plus(w)
		}
	}
}

// countsAsBacklog reports whether a waiting step certainly takes capacity that a new job of
// its service could use otherwise, and before its result is without value.
func (s *State) countsAsBacklog(st *step) bool {
	return st.unassigned > 0 && !st.spec.Service && !st.spec.Filler && st.spec.Label == "" && st.rank.class != classWorthless &&
		s.withinLimit(st, st.spec.Declared())
}

// leastRunTimeMS returns the run time of a step's tasks as far as it is sure: what the
// queue's runs take on average, or the declared one if that is less or none has ended.
func (s *State) leastRunTimeMS(st *step) int64 {
	if shortest, _, ok := s.runTimes.bounds(st.job.doc.Queue); ok {
		return min(st.runTimeMS, shortest)
	}
	return st.runTimeMS
}

// queueLoad returns the load that a new job of a queue meets if its account is over its share.
func (s *State) queueLoad(name string, priority int, l *serviceLoad) admit.Queue {
	q := admit.Queue{Name: name, Capacity: l.capacity}
	q.ShortestMS, q.LongestMS, _ = s.runTimes.bounds(name)
	for i, work := range l.ahead(priority) {
		q.Ahead[i] = work.Over(l.capacity)
	}
	return q
}

// accountsOverShare returns the accounts without a token that have work waiting beyond their
// rate, those with the highest rate first.
func (s *State) accountsOverShare(waiting map[string]bool) []admit.Account {
	var out []admit.Account
	for name := range waiting {
		if t := s.team(name); t.rate > 0 && t.tokensNow(s.now) < 1 {
			out = append(out, admit.Account{Name: name, Rate: t.rate})
		}
	}
	slices.SortFunc(out, func(a, b admit.Account) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name)) })
	return out[:min(len(out), admit.MaxAccounts)]
}
