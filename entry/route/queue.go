package route

import (
	"container/heap"
	"maps"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/policy"
)

// waiter is a request that waits for a slot. It is also its own node in the tree
// of its flow.
type waiter struct {
	req        *Request
	svc        *service
	flow       *flow
	seq        uint64
	enqueuedAt clock.Mono
	// avoid is the instance that a retry must not be sent to.
	avoid *instance
	// ready receives one value when lease or err has been set.
	ready chan struct{}
	lease *lease
	err   error

	left, right *waiter
	priority    uint64
	size        int
}

// flow is the queue of one team in one class. The flows of a class are served
// by stride scheduling, a weighted round-robin without a fixed round.
type flow struct {
	team  string
	class *classQueue
	tree  tree
	// pass is the virtual time of the flow's next turn.
	pass      float64
	weight    float64
	heapIndex int
	// blocked is set while the team is at its limit.
	blocked bool
}

// classQueue holds the flows of one class of one service.
type classQueue struct {
	class policy.Class
	flows map[string]*flow
	// active holds the flows with waiting requests that are not blocked.
	active flowHeap
	// activeWeight is the total weight of the flows with waiting requests.
	activeWeight float64
	// virtualTime is the highest pass of a flow that has been served.
	virtualTime float64
	// waiting is the number of waiting requests.
	waiting int
	// blockedWaiting is how many of them wait in blocked flows.
	blockedWaiting int
	// busySince is when the queue last became non-empty.
	busySince clock.Mono
	// waitCapUntil is when the cap on waits ends that an overload set.
	waitCapUntil clock.Mono
}

// flowHeap orders flows by pass.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].pass < h[j].pass }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

func newClassQueue(c policy.Class) *classQueue {
	return &classQueue{class: c, flows: map[string]*flow{}}
}

// maxFlows is the number of flows above which empty ones are deleted. Flows
// otherwise stay after their teams have been removed from the bundle.
const maxFlows = 4096

// flow returns the team's flow. It is kept while it is empty, so that a team
// cannot get an earlier turn by letting its queue run empty.
func (q *classQueue) flow(team string) *flow {
	f, ok := q.flows[team]
	if !ok {
		if len(q.flows) >= maxFlows {
			maps.DeleteFunc(q.flows, func(_ string, f *flow) bool { return f.tree.len() == 0 && !f.blocked })
		}
		f = &flow{team: team, class: q, heapIndex: -1, tree: tree{rng: 0x9e3779b97f4a7c15}}
		q.flows[team] = f
	}
	return f
}

// countAhead estimates how many waiting requests of the class are served before
// a new one of flow f with the given deadline: those of its own team with an
// earlier deadline, and for each of these the turns of the other teams.
func (q *classQueue) countAhead(f *flow, weight float64, deadline clock.Mono) int {
	rank := f.tree.rank(deadline)
	others := q.waiting - q.blockedWaiting
	if !f.blocked {
		others -= f.tree.len()
	}
	weights := q.activeWeight
	if f.tree.len() > 0 {
		weights -= f.weight
	}
	turns := int(float64(rank+1) * weights / weight)
	return rank + min(others, turns)
}

// enqueue adds w to flow f. A flow that was empty resumes no earlier than the
// class's virtual time.
func (q *classQueue) enqueue(w *waiter, f *flow, weight float64, now clock.Mono) {
	if q.waiting == 0 {
		q.busySince = now
	}
	w.flow = f
	q.waiting++
	if f.blocked {
		q.blockedWaiting++
	}
	f.tree.insert(w)
	if f.tree.len() > 1 {
		return
	}
	f.weight = weight
	q.activeWeight += weight
	f.pass = max(f.pass, q.virtualTime)
	if !f.blocked {
		heap.Push(&q.active, f)
	}
}

// remove removes w, which has been granted a slot or whose caller has left.
func (q *classQueue) remove(w *waiter) {
	f := w.flow
	f.tree.remove(w)
	w.flow = nil
	q.waiting--
	if f.blocked {
		q.blockedWaiting--
	}
	if f.tree.len() > 0 {
		return
	}
	q.activeWeight -= f.weight
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
	if q.waiting == 0 {
		q.activeWeight = 0
	}
}

// advancePass charges the flow for one turn.
func (q *classQueue) advancePass(f *flow) {
	q.virtualTime = max(q.virtualTime, f.pass)
	f.pass += 1 / f.weight
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}

// block excludes a flow from scheduling because its team is at its limit.
func (q *classQueue) block(f *flow) {
	f.blocked = true
	q.blockedWaiting += f.tree.len()
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
}

// unblock makes a flow eligible for scheduling again.
func (q *classQueue) unblock(f *flow) {
	f.blocked = false
	q.blockedWaiting -= f.tree.len()
	if f.tree.len() > 0 && f.heapIndex < 0 {
		f.pass = max(f.pass, q.virtualTime)
		heap.Push(&q.active, f)
	}
}
