// Package admit decides whether a new job of a client account that is over its share is
// refused because of the load. It is pure: the owner computes the figures of the load, each
// VM decides with the last ones that it received.
//
// # Usage
//
// At each VM:
//
//	g := admit.NewGate()
//	g.Update(figures, sentAt, now) // with each reply of the owner
//	d := g.Check(now, ownerName, job, rate)
//	if d.Refused() { ... d.Cause() ... }
//	g.Accepted(job) // once the job is stored
//
// # Rule
//
// A job is refused if its account is over its share and it can surely not be completed while
// its result has value. Work that goes ahead of it is counted low by the owner, and divided
// by a margin here, because a late result is better than none. Without recent figures of the
// current owner nothing is refused.
//
// Jobs within their account's share are not refused: they are placed by their objectives, and
// those that are late give way, so that the work ahead of such a job does not tell whether it
// will be on time.
package admit

import (
	"slices"
	"time"

	"limpethitch.example/core/amount"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/rules"
)

// WorthlessFactor is the multiple of a job's objective after which its result has no value
// any more.
const WorthlessFactor = 3

// Levels is the number of lengths of objectives for which work is counted.
const Levels = 8

// level holds the lengths. Work that goes ahead of a job is counted up to the longest one
// that is no longer than the job's objective.
var level = [Levels]time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 32 * time.Second,
}

// Level returns the length of objective number i.
func Level(i int) time.Duration { return level[i] }

// levelOf returns the number of the longest level that is no longer than d.
func levelOf(d time.Duration) int {
	i, _ := slices.BinarySearch(level[:], max(d, 0)+1)
	return i - 1
}

// Waits are the times that the workers need for the work ahead of a new job, by the length
// of the job's objective.
type Waits [Levels]time.Duration

// Queue is the load of one queue of a service that is overloaded.
type Queue struct {
	Name string
	// Ahead is the work ahead of a job whose account is over its share.
	Ahead Waits
	// Capacity is that of the service's workers that accept work.
	Capacity amount.Vec
	// ShortestMS and LongestMS bound the expected run time of a task; 0 is no bound.
	ShortestMS, LongestMS int64
}

// Account is a client account that has used up its share. Rate is its share in jobs per
// second.
type Account struct {
	Name string
	Rate float64
}

// Bounds of the figures, which each VM receives several times a second.
const (
	MaxQueues   = 64
	MaxAccounts = 32
)

// Figures describe the load as the owner sees it.
type Figures struct {
	// Owner is the name of the incarnation that computed them.
	Owner    string
	Queues   []Queue
	Accounts []Account
	// VMs is the number of VMs that accept jobs.
	VMs int
}

// Refusable reports whether a job may be refused for load. Schedules, service tasks and
// fillers have no time by which they are without value.
func Refusable(job *graph.Job) bool {
	if job.Occurrences > 0 {
		return false
	}
	for i := range job.Steps {
		if job.Steps[i].Service || job.Steps[i].Filler {
			return false
		}
	}
	return true
}

// runTimeMS returns the expected run time of a task of a step.
func (q *Queue) runTimeMS(st *graph.Step) int64 {
	ms := max(st.EstimateMS, q.ShortestMS)
	if q.LongestMS > 0 {
		ms = min(ms, q.LongestMS)
	}
	return ms
}

// criticalPath returns the expected run time of the longest chain of a job's steps.
func (q *Queue) criticalPath(job *graph.Job) time.Duration {
	longest := int64(0)
	paths := make([]int64, len(job.Steps))
	for i := range job.Steps {
		for _, dep := range job.Steps[i].After {
			paths[i] = max(paths[i], paths[dep])
		}
		paths[i] += q.runTimeMS(&job.Steps[i])
		longest = max(longest, paths[i])
	}
	return time.Duration(longest) * time.Millisecond
}

// work returns the time that the workers need for all tasks of a job.
func (q *Queue) work(job *graph.Job) time.Duration {
	var w Work
	for i := range job.Steps {
		st := &job.Steps[i]
		w.Add(st.Size(), st.Count, time.Duration(q.runTimeMS(st))*time.Millisecond)
	}
	return w.Over(q.Capacity)
}

// objective returns the objective of a job's duration.
func objective(q *rules.Queue, path time.Duration) time.Duration {
	return time.Duration(q.StretchFactor*float64(path)) + time.Duration(q.TargetMS)*time.Millisecond
}

// Work is an amount of work in resources times seconds.
type Work struct{ cpu, memory, accelerators float64 }

// Add adds n tasks of a size that each run for d.
func (w *Work) Add(size amount.Vec, n int, d time.Duration) {
	f := float64(n) * d.Seconds()
	w.cpu += float64(size.CPUMilli()) * f
	w.memory += float64(size.MemoryMiB()) * f
	w.accelerators += float64(size.Accelerators()) * f
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	return Work{cpu: w.cpu + o.cpu, memory: w.memory + o.memory, accelerators: w.accelerators + o.accelerators}
}

// maxWait bounds a wait, so that it can be added to a time.
const maxWait = time.Hour

// Over returns the time that workers of a capacity need for the work: that of the dominant
// resource. A resource that the workers do not have does not count.
func (w Work) Over(capacity amount.Vec) time.Duration {
	seconds := 0.0
	for _, r := range []struct {
		work     float64
		capacity int64
	}{{w.cpu, capacity.CPUMilli()}, {w.memory, capacity.MemoryMiB()}, {w.accelerators, capacity.Accelerators()}} {
		if r.capacity > 0 {
			seconds = max(seconds, r.work/float64(r.capacity))
		}
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
