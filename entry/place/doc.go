// Package place decides, for one shard, which waiting task starts on which
// worker. It is a deterministic state machine: events and times go in, decisions
// come out. It starts no goroutine, takes no lock and reads no clock, so that two
// runs with the same calls and seed give the same decisions.
//
// # Usage
//
// The owner of a shard reports events and carries out the decisions:
//
//	s := place.New(place.Config{Limiter: ledger, Seed: seed})
//	s.PutWorker(place.NewWorkerSpec("w1", "rack1", amount.New(32_000, 65_536, 0, 0)), now)
//	s.MarkReady("w1")
//	job := place.NewJob("j1", "school", policy.ClassBatch, 40, size).WithDeadline(deadline)
//	if err := s.Add(job, now); err != nil { ... }
//	for _, d := range s.Decide(now, 64) {
//		switch d := d.(type) {
//		case place.Start: // start d.Task() on d.Worker()
//		case place.Preempt: // checkpoint, throttle or stop d.Task() until d.Deadline()
//		case place.Offer: // offer the job to other shards; then Cancel or OfferDeclined
//		case place.Drop: // record the final result d.Code()
//		}
//	}
//
// Each started task must be reported with TaskEnded exactly once, also when its
// worker was lost; only then is its capacity free again. The slice that Decide
// returns is valid until the next call of Decide.
//
// # Order
//
// Urgent work is served first, then teams by weighted dominant resource share
// (DRF) of what they run and have reserved. Within a team the order is by class,
// priority and latest start, which is the deadline less the learned p95 of the run
// time. The Limiter is asked last.
//
// # Search
//
// Workers are indexed in a 32 by 32 grid by free CPU and free memory. A search
// visits a bounded number of cells and workers, so its cost does not depend on the
// number of workers. Workers with accelerators have a grid of their own.
package place
