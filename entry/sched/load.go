package sched

// Load summarizes the waiting steps and the use of the workers.
type Load struct {
	// Waiting counts the waiting steps by priority of their queue; the last element
	// includes all lower priorities.
	Waiting [3]int
	// Missed counts the waiting steps that are not ranked as on time: they miss their
	// objective, or their account was over rate.
	Missed int
	// WaitingForAdvice counts the steps with a request to the advising service in flight,
	// AdviceNotRequested those that need advice and have received none yet.
	WaitingForAdvice, AdviceNotRequested int
	// Delayed counts the waiting steps that stand behind others for their account's past use.
	Delayed int
	// Runs counts the runs that have not ended.
	Runs int
	// UsedCPU and CPU are the used and total milli-cores of the workers that may get
	// new tasks.
	UsedCPU, CPU int64
	// Workers counts the workers that may get new tasks, Suspected those that may not
	// because runs failed or stalled there or starts were refused, OnProbation those that
	// may get few tasks until one succeeds, Unresponsive those that did not answer the last
	// polls.
	Workers, Suspected, OnProbation, Unresponsive int
	// Slow counts the workers whose runs take more than twice as long as expected.
	Slow int
	// Preempted counts the runs that were stopped for gangs in this term, LostCoreSeconds is the
	// work of all runs that were cut short in it.
	Preempted       int
	LostCoreSeconds float64
}

// Load returns the current load.
func (s *State) Load() Load {
	l := Load{Preempted: s.preempted, LostCoreSeconds: s.lostCoreSeconds}
	for st := range s.allWaiting() {
		l.Waiting[min(max(st.job.queue.Priority, 0), len(l.Waiting)-1)]++
		if st.rank.class > classOnTime {
			l.Missed++
		}
		if st.delayed {
			l.Delayed++
		}
		if st.advice.pending > 0 {
			l.WaitingForAdvice++
		} else if st.job.queue.Advice != nil && st.advice.answered == nil {
			l.AdviceNotRequested++
		}
	}
	for _, w := range s.workerList {
		l.Runs += len(w.runs)
		if s.now < w.suspectUntil {
			l.Suspected++
		}
		if w.isOnProbation() {
			l.OnProbation++
		}
		if w.isSlow(s.now) {
			l.Slow++
		}
		if w.unresponsive {
			l.Unresponsive++
		}
		if !s.acceptsWork(w) {
			continue
		}
		l.Workers++
		l.UsedCPU += w.used.CPUMilli()
		l.CPU += w.spec.Capacity.CPUMilli()
	}
	return l
}
