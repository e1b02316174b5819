package sched

import "limpethitch.example/entry/graph"

// Decision is an order for the caller to carry out: a Start, Stop, RequestAdvice or
// Throttle.
type Decision interface{ decision() }

// Start orders a worker to start a run.
type Start struct {
	Task       graph.TaskID
	Attempt    int
	Worker     string
	Addr       string
	Spec       string
	Checkpoint string
	Ticket     string
	// Repeated is whether the worker may have received the order before.
	Repeated bool
}

// Reason says why a run is stopped or has ended.
type Reason string

// Reasons for a stop.
const (
	ReasonEnded       Reason = "job or task ended"
	ReasonStalled     Reason = "no progress"
	ReasonGangBroken  Reason = "a member of the gang ended"
	ReasonUnknownRun  Reason = "unknown run"
	ReasonPaused      Reason = "paused for too long"
	ReasonWorkerExits Reason = "worker shuts down or is drained"
	ReasonPreempted   Reason = "preempted for a gang"
	ReasonSlowWorker  Reason = "slow worker"
	ReasonRepeated    Reason = "not ended after an earlier stop"
)

// Reasons for the end of a run that was not stopped.
const (
	ReasonFailed Reason = "failed"
	ReasonLost   Reason = "lost"
)

// Stop orders a worker to stop a run, or to refuse it if the start arrives later.
type Stop struct {
	Task    graph.TaskID
	Attempt int
	Worker  string
	Reason  Reason
}

// RequestAdvice orders a call to the advising service about which of the workers may run
// a step.
type RequestAdvice struct {
	// VM is the VM reserved for the call.
	VM      string
	Step    string
	Workers []string
	// Renewal is whether the workers were asked about before.
	Renewal bool
	// CostMS is the expected duration of the call.
	CostMS int64
}

// Throttle orders a worker to run a task at Percent of its full speed.
type Throttle struct {
	Task    graph.TaskID
	Attempt int
	Worker  string
	Percent int
}

func (Start) decision()         {}
func (Stop) decision()          {}
func (RequestAdvice) decision() {}
func (Throttle) decision()      {}
