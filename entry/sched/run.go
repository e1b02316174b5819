package sched

import (
	"slices"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/clock"
)

// run is one attempt of a task on a worker, from the decision to start it until
// its end is known.
type run struct {
	task    *task
	attempt int
	worker  *worker
	// size is reserved on the worker, charged counts against the client account's
	// limit.
	size    amount.Vec
	charged amount.Vec

	// decidedAt is when the start was decided, or when the journal of a former owner was read.
	decidedAt clock.Mono
	// confirmed is whether the worker accepted the start or listed the run.
	confirmed bool
	// confirmedAt is when the run was confirmed. For an unconfirmed run it is when an
	// accepted stop has certainly taken effect.
	confirmedAt clock.Mono
	// triesAnswered is whether every try of the start was answered to this owner, so that none
	// can reach a later incarnation of the worker.
	triesAnswered bool
	// awaitsAnswer is whether the start is being sent. lateUntil is until when a try of it that was
	// not answered may still be executed; 0 is none. repeats is how often it was decided again.
	awaitsAnswer bool
	lateUntil    clock.Mono
	repeats      int
	// startToken is the lowest fencing token that the start was sent with, tokenUnstored before it is
	// stored; 0 is unknown, that of a former owner.
	startToken int64
	// ticketed is whether the start carries a ticket of the advising service, which only one
	// incarnation of the worker accepts.
	ticketed bool
	// startDeadline is the time after which the worker refuses the start.
	startDeadline clock.Mono
	stopping      bool
	stopSentAt    clock.Mono
	stopAccepted  bool
	stopReason    Reason
	// partial is whether the run does only a part of the task's work, or this owner has
	// not seen its beginning, so that it does not show how long the task takes.
	partial bool
	// beforeFence is whether the start was ordered before the worker's current fence, by a
	// former owner or for a former incarnation, and is not listed since. A worker that has
	// answered a poll with the current token rejects it.
	beforeFence bool
	// listedBootMS is the boot time of the incarnation that listed the run, acceptedBootMS that of the
	// one that answered the only try of its start; 0 is none.
	listedBootMS, acceptedBootMS int64

	// speedPercent is the share of its full speed that a filler may use, as ordered at
	// throttledAt, or speedUnknown.
	speedPercent int
	throttledAt  clock.Mono
	// speedUncertain is whether the order for speedPercent, or one before it that may arrive late,
	// was not answered.
	speedUncertain bool
	// pausedSince is when a filler's speed was set to 0; 0 is not paused.
	pausedSince clock.Mono

	// progress is the last reported progress in percent.
	progress int
	// firstProgress is the progress in the first report, received at firstListedAt. It
	// is not 0 for a run that resumed from a checkpoint.
	firstProgress int
	firstListedAt clock.Mono
	// savedAt is when the owner last learned of a new checkpoint of this run, or 0.
	savedAt clock.Mono
	// progressedAt is when the progress last changed.
	progressedAt, lastListedAt clock.Mono
	tailLatencyMS              int64
}

// runSet holds runs in insertion order. It is small enough for linear search.
type runSet []*run

func (s *runSet) add(r *run) { *s = append(*s, r) }

func (s *runSet) remove(r *run) {
	if i := slices.Index(*s, r); i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	}
}

// copy returns a copy for loops that remove runs from the set.
func (s runSet) copy() runSet { return slices.Clone(s) }
