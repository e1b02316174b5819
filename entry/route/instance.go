package route

import (
	"container/heap"
	"math"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
)

// Constants of the choice of an instance.
const (
	// latencyWeight is the weight of a new sample in an instance's slowness.
	latencyWeight = 0.1
	// serviceWeight is the same for the service as a whole. It is smaller, so
	// that one slow instance shows against the others.
	serviceWeight = 0.01
	// slowFactor is how much slower than its service an instance may be before
	// its limit is lowered.
	slowFactor = 2
	// slowMargin, in seconds, keeps the noise of very fast answers out.
	slowMargin = 0.001
	// failFactor lowers the limit when faults follow each other.
	failFactor = 0.7
	// cautiousStep is the part by which an answer raises the limit near its
	// ceiling. An instance that takes 2 refuses about one request in 40 then.
	cautiousStep = 0.01
	// ceilingLife is how long after the last refusal a ceiling counts.
	ceilingLife = 10 * time.Second
	// ejectAfter is the number of consecutive failures that ejects.
	ejectAfter = 3
	// ejectBase and ejectMax bound the time of an ejection, which doubles.
	ejectBase = time.Second
	ejectMax  = time.Minute
	// restoreAfter is the number of consecutive successes after which earlier
	// ejections are forgotten.
	restoreAfter = 64
)

// health is the state of an instance as its answers show it.
type health string

const (
	healthy health = "healthy"
	ejected health = "ejected"
	probing health = "probing"
)

// instance is one backend server as long as it is on the list.
type instance struct {
	// addr never changes: an instance that moves is a new one. It is read without
	// the router's lock.
	addr  string
	vm    fleet.VM
	svc   *service
	index int
	score float64
	held  int
	// penalised is the part of held that the router gave up on.
	penalised int
	// counted is what the service's totals hold of this instance.
	counted totals
	leaving bool
	removed bool

	// limit follows what the instance bears, between 1 and its slots.
	limit float64
	// ceiling is where the instance last refused. Near it the limit grows
	// slowly, since each attempt may cost a request.
	ceiling   float64
	refusedAt clock.Mono
	// answered is when the instance last completed a response.
	answered clock.Mono
	// slowness is the moving ratio of its service times to the usual ones of
	// their queues; 0 before the first.
	slowness  float64
	failRate  float64
	health    health
	failures  int
	refusals  int
	successes int
	ejections int
	// lowered is when the limit was last lowered, so that the answers of one
	// burst lower it once.
	lowered clock.Mono
}

// slots returns how many requests may run at once: each takes a connection.
func slots(vm fleet.VM) int {
	if c := vm.Connections(); c > 0 && c < vm.Slots() {
		return c
	}
	return vm.Slots()
}

// allowed returns how many requests the instance may hold now.
func (i *instance) allowed() int {
	if i.leaving || i.removed {
		return 0
	}
	switch i.health {
	case ejected:
		return 0
	case probing:
		return min(1, slots(i.vm))
	case healthy:
	}
	return min(int(i.limit), slots(i.vm))
}

// totals is what an instance adds to the sums of its service.
type totals struct{ capacity, free, live, out int }

func (i *instance) totals() totals {
	t := totals{capacity: i.allowed(), free: i.free()}
	if !i.leaving && !i.removed && slots(i.vm) > 0 {
		t.live = 1
	}
	if i.health == ejected && !i.removed {
		t.out = 1
	}
	return t
}

// plus adds n times o.
func (t totals) plus(o totals, n int) totals {
	return totals{t.capacity + n*o.capacity, t.free + n*o.free, t.live + n*o.live, t.out + n*o.out}
}

func (i *instance) free() int { return max(0, i.allowed()-i.held) }

// rescore computes the load that one more request would mean: its share of
// the limit, weighted by slowness and failures.
func (i *instance) rescore() {
	if i.free() == 0 {
		i.score = math.Inf(1)
		return
	}
	slowness := i.slowness
	if slowness == 0 {
		slowness = 1
	}
	i.score = float64(i.held+1) / float64(i.allowed()) * slowness * (1 + 4*i.failRate)
	if i.health == probing {
		i.score += 1e9
	}
}

// lower reduces the limit, at most once in the time of one answer.
func (i *instance) lower(factor float64, now clock.Mono) {
	if now.Sub(i.lowered).Seconds() < i.svc.all.mean && i.lowered != 0 {
		return
	}
	i.lowered = now
	i.limit = max(1, i.limit*factor)
}

func (i *instance) succeeded(took float64, usual *timing, now clock.Mono) {
	s := i.svc
	s.all.add(took)
	usual.add(took)
	ratio := (took + slowMargin) / (usual.mean + slowMargin)
	if i.slowness == 0 {
		i.slowness = ratio
	}
	i.slowness += (ratio - i.slowness) * latencyWeight
	i.failRate *= 1 - latencyWeight
	i.failures, i.refusals = 0, 0
	i.answered = now
	i.successes++
	if i.successes >= restoreAfter {
		i.ejections = 0
	}
	if i.health == probing {
		i.limit = 1
		s.setHealth(i, healthy)
	}
	if float64(i.held) < i.limit-1 {
		return
	}
	if i.slowness > slowFactor {
		i.lower(0.9, now)
		return
	}
	step := 1 / i.limit
	if now.Sub(i.refusedAt) > ceilingLife {
		i.ceiling = 0
	}
	if i.limit+1 > i.ceiling && i.ceiling > 0 {
		step = cautiousStep * i.limit
	}
	i.limit = min(float64(slots(i.vm)), i.limit+step)
}

// refused lowers the limit after a refusal at the limit, and to what the
// instance holds when it refuses in a row. A lone refusal below the limit has
// another cause than load. An instance that refuses while it has nothing else
// to do has failed.
func (i *instance) refused(now clock.Mono) {
	i.refusals++
	i.failRate += (1 - i.failRate) * latencyWeight
	switch held := float64(i.held); {
	case i.held <= 1:
		i.failed(now)
	case i.refusals > 1:
		i.ceiling = held
		i.limit = max(1, min(i.limit, held-1))
	case held > i.limit-1:
		i.ceiling = held
		i.limit = max(1, i.limit-1)
	}
	i.refusedAt = now
}

// failed counts a fault. A single one says nothing about load; more in a row
// lower the limit, then eject.
func (i *instance) failed(now clock.Mono) {
	i.failRate += (1 - i.failRate) * latencyWeight
	i.failures++
	i.successes = 0
	if i.failures > 1 {
		i.lower(failFactor, now)
	}
	if i.health == probing || i.failures >= ejectAfter {
		i.svc.eject(i, now)
	}
}

// ejectTime returns how long the next ejection lasts.
func (i *instance) ejectTime() time.Duration {
	return min(ejectMax, ejectBase<<min(i.ejections, 10))
}

// instanceHeap orders instances by score.
type instanceHeap []*instance

func (h instanceHeap) Len() int           { return len(h) }
func (h instanceHeap) Less(i, j int) bool { return h[i].score < h[j].score }
func (h instanceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *instanceHeap) Push(x any) {
	i := x.(*instance)
	i.index = len(*h)
	*h = append(*h, i)
}

func (h *instanceHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	i.index = -1
	return i
}

// pick returns the instance with the least load that has room and is not
// avoid, or nil.
func (h *instanceHeap) pick(avoid *instance) *instance {
	if len(*h) == 0 {
		return nil
	}
	best := (*h)[0]
	if best == avoid {
		heap.Remove(h, 0)
		defer heap.Push(h, avoid)
		if len(*h) == 0 {
			return nil
		}
		best = (*h)[0]
	}
	if math.IsInf(best.score, 1) {
		return nil
	}
	return best
}
