package sched

import "time"

// WaitReason says what a step waits for.
type WaitReason string

// Reasons why a step waits.
const (
	WaitsForLimit WaitReason = "account limit"
	// WaitsForAdvice is for steps with a request to the advising service in flight,
	// WaitsForAdviser for those that were not asked about yet since all VMs are busy.
	WaitsForAdvice  WaitReason = "advice"
	WaitsForAdviser WaitReason = "busy advisers"
	// WaitsForLiveRuns is for gangs of which runs of an earlier attempt have not ended.
	WaitsForLiveRuns WaitReason = "earlier attempt"
	WaitsForCapacity WaitReason = "capacity" // also if no VM is free to renew the tickets for it
	// WaitsForRound is for steps with room that nothing else holds up.
	WaitsForRound WaitReason = "next round"
)

const (
	// longWait is how long a step with waiting tasks must have been ready to be listed.
	longWait = 2 * time.Second
	// maxLongWaits bounds the steps in a list.
	maxLongWaits = 5
)

// LongWait is a step with waiting tasks that has been ready for long.
type LongWait struct {
	Step, Queue, Team string
	Reason            WaitReason
	// Tasks is the number of tasks that wait. Workers and Room are the workers with capacity
	// for one of them among those that the advice so far allows, and how many fit there.
	Tasks, Workers, Room int
	Waited               time.Duration // since the step was ready; other tasks of it may have run
	// LimitUsed is how much of its limit the account uses, in percent, in the dimension in
	// which that is most; 0 without a limit.
	LimitUsed int
}

// LongWaits returns steps with waiting tasks that have been ready for long, in rank order.
func (s *State) LongWaits() []LongWait {
	var out []LongWait
	for st := range s.allWaiting() {
		if len(out) == maxLongWaits {
			break
		}
		if waited := s.now.Sub(st.readyAt); waited >= longWait && st.unassigned > 0 && !st.job.final() {
			out = append(out, s.longWaitOf(st, waited))
		}
	}
	return out
}

func (s *State) longWaitOf(st *step, waited time.Duration) LongWait {
	l := LongWait{
		Step: st.tasks[0].id().StepName(), Queue: st.job.doc.Queue, Team: st.job.doc.Team, Tasks: st.unassigned, Waited: waited,
		Reason: s.waitReason(st), LimitUsed: s.team(st.job.doc.Team).percentUsed(),
	}
	for _, f := range s.findFits(st, st.unassigned, withOrWithoutTicket) {
		l.Workers++
		l.Room += f.count
	}
	return l
}

// waitReason returns what a step waits for as of the last round.
func (s *State) waitReason(st *step) WaitReason {
	need := st.spec.Declared()
	if st.spec.Gang {
		need = scale(need, st.remaining)
	}
	switch {
	case !s.withinLimit(st, need):
		return WaitsForLimit
	case st.advice.pending > 0:
		return WaitsForAdvice
	case st.job.queue.Advice != nil && st.advice.answered == nil:
		return WaitsForAdviser
	case st.spec.Gang && len(st.liveRuns) > 0:
		return WaitsForLiveRuns
	case st.spec.Gang && s.gangFits(st, st.remaining, withTicket) == nil, len(s.findFits(st, 1, withTicket)) == 0:
		return WaitsForCapacity
	default:
		return WaitsForRound
	}
}
