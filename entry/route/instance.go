package route

import (
	"container/heap"
	"math"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/fleet"
)

// Parameters of load balancing, adaptive limits and ejection.
const (
	// instanceSampleWeight is the weight of a new sample in an instance's moving
	// averages: its latency ratio and its failure rate.
	instanceSampleWeight = 0.1
	// serviceSampleWeight is the weight of a new sample in the service times of
	// the whole service and of its queues. It is smaller, so that one slow
	// instance stands out against the others.
	serviceSampleWeight = 0.01
	// slowFactor is the latency ratio above which an instance's limit is lowered.
	slowFactor = 2
	// latencyMargin, in seconds, is added to both sides of a latency ratio, so
	// that the noise of very fast responses has no effect.
	latencyMargin = 0.001
	// failureLimitFactor lowers the limit after consecutive failures.
	failureLimitFactor = 0.7
	// cautiousGrowth is the fraction by which a response raises the limit near
	// its ceiling. At this value an instance that handles 2 requests at a time
	// refuses about one request in 40.
	cautiousGrowth = 0.01
	// ceilingTTL is how long after the last refusal a ceiling is valid.
	ceilingTTL = 10 * time.Second
	// maxConsecutiveFailures is the number of consecutive failures after which an
	// instance is ejected.
	maxConsecutiveFailures = 3
	// minEjection and maxEjection bound the duration of an ejection, which
	// doubles each time.
	minEjection = time.Second
	maxEjection = time.Minute
	// ejectionResetSuccesses is the number of consecutive successes after which
	// the next ejection starts at minEjection again.
	ejectionResetSuccesses = 64
)

// health is the state of an instance as observed from its responses.
type health string

const (
	healthy health = "healthy"
	ejected health = "ejected"
	probing health = "probing"
)

// instance is one backend server while it is on the list.
type instance struct {
	// addr never changes: a server that appears at another address becomes a new
	// instance. It is read without the router's lock.
	addr      string
	vm        fleet.VM
	svc       *service
	heapIndex int
	score     float64
	usedSlots int
	// penalised is the number of used slots whose request was abandoned.
	penalised int
	// countedTotals is this instance's contribution to the service's totals.
	countedTotals totals
	leaving       bool
	removed       bool

	// limit is the adaptive limit of concurrent requests, between 1 and the
	// instance's slots.
	limit float64
	// ceiling is the number of concurrent requests at which the instance last
	// refused one, or 0. Near it the limit grows slowly, since each probe may
	// cost a request.
	ceiling       float64
	lastRefusalAt clock.Mono
	// lastResponseAt is when the instance last completed a response.
	lastResponseAt clock.Mono
	// latencyRatio is the moving average of the ratio of the instance's service
	// times to the mean ones of their queues. It is 0 before the first sample.
	latencyRatio         float64
	failRate             float64
	health               health
	consecutiveFailures  int
	consecutiveRefusals  int
	consecutiveSuccesses int
	ejections            int
	// limitLoweredAt is when the limit was last lowered. The responses of one
	// burst lower it only once.
	limitLoweredAt clock.Mono
}

// slots returns the maximum number of concurrent requests: each takes a slot and
// a connection.
func slots(vm fleet.VM) int {
	if c := vm.Connections(); c > 0 && c < vm.Slots() {
		return c
	}
	return vm.Slots()
}

// effectiveLimit returns how many concurrent requests the instance may have now.
func (i *instance) effectiveLimit() int {
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

// totals are the sums over the instances of a service, or one instance's
// contribution to them.
type totals struct{ capacity, free, live, ejected int }

// totals returns the instance's contribution to the totals of its service.
func (i *instance) totals() totals {
	t := totals{capacity: i.effectiveLimit(), free: i.freeSlots()}
	if !i.leaving && !i.removed && slots(i.vm) > 0 {
		t.live = 1
	}
	if i.health == ejected && !i.removed {
		t.ejected = 1
	}
	return t
}

// addTimes returns t + n*o.
func (t totals) addTimes(o totals, n int) totals {
	return totals{t.capacity + n*o.capacity, t.free + n*o.free, t.live + n*o.live, t.ejected + n*o.ejected}
}

func (i *instance) freeSlots() int { return max(0, i.effectiveLimit()-i.usedSlots) }

// updateScore computes the instance's load after one more request: its
// utilization, weighted by latency and failures. A probing instance ranks behind
// all healthy ones.
func (i *instance) updateScore() {
	if i.freeSlots() == 0 {
		i.score = math.Inf(1)
		return
	}
	ratio := i.latencyRatio
	if ratio == 0 {
		ratio = 1
	}
	i.score = float64(i.usedSlots+1) / float64(i.effectiveLimit()) * ratio * (1 + 4*i.failRate)
	if i.health == probing {
		i.score += 1e9
	}
}

// lowerLimit multiplies the limit by factor, at most once per mean service time.
func (i *instance) lowerLimit(factor float64, now clock.Mono) {
	if now.Sub(i.limitLoweredAt).Seconds() < i.svc.overallTime.mean && i.limitLoweredAt != 0 {
		return
	}
	i.limitLoweredAt = now
	i.limit = max(1, i.limit*factor)
}

// recordSuccess accounts for a complete response after took seconds. It raises
// the limit while the instance is used up to it, and lowers the limit when the
// instance is slow.
func (i *instance) recordSuccess(took float64, queueTime *serviceTime, now clock.Mono) {
	s := i.svc
	s.overallTime.record(took)
	queueTime.record(took)
	ratio := (took + latencyMargin) / (queueTime.mean + latencyMargin)
	if i.latencyRatio == 0 {
		i.latencyRatio = ratio
	}
	i.latencyRatio += (ratio - i.latencyRatio) * instanceSampleWeight
	i.failRate *= 1 - instanceSampleWeight
	i.consecutiveFailures, i.consecutiveRefusals = 0, 0
	i.lastResponseAt = now
	i.consecutiveSuccesses++
	if i.consecutiveSuccesses >= ejectionResetSuccesses {
		i.ejections = 0
	}
	if i.health == probing {
		i.limit = 1
		s.setHealth(i, healthy)
	}
	if float64(i.usedSlots) < i.limit-1 {
		return
	}
	if i.latencyRatio > slowFactor {
		i.lowerLimit(0.9, now)
		return
	}
	step := 1 / i.limit
	if now.Sub(i.lastRefusalAt) > ceilingTTL {
		i.ceiling = 0
	}
	if i.limit+1 > i.ceiling && i.ceiling > 0 {
		step = cautiousGrowth * i.limit
	}
	i.limit = min(float64(slots(i.vm)), i.limit+step)
}

// recordRefusal lowers the limit by one after a refusal at the limit, and to
// below the number of used slots after consecutive refusals. A single refusal
// below the limit has another cause than load. A refusal by an instance without
// other requests counts as a failure.
func (i *instance) recordRefusal(now clock.Mono) {
	i.consecutiveRefusals++
	i.failRate += (1 - i.failRate) * instanceSampleWeight
	switch used := float64(i.usedSlots); {
	case i.usedSlots <= 1:
		i.recordFailure(now)
	case i.consecutiveRefusals > 1:
		i.ceiling = used
		i.limit = max(1, min(i.limit, used-1))
	case used > i.limit-1:
		i.ceiling = used
		i.limit = max(1, i.limit-1)
	}
	i.lastRefusalAt = now
}

// recordFailure accounts for a failed send. A single failure is no sign of
// overload; consecutive failures lower the limit, then eject the instance.
func (i *instance) recordFailure(now clock.Mono) {
	i.failRate += (1 - i.failRate) * instanceSampleWeight
	i.consecutiveFailures++
	i.consecutiveSuccesses = 0
	if i.consecutiveFailures > 1 {
		i.lowerLimit(failureLimitFactor, now)
	}
	if i.health == probing || i.consecutiveFailures >= maxConsecutiveFailures {
		i.svc.eject(i, now)
	}
}

// ejectionDuration returns how long the next ejection lasts.
func (i *instance) ejectionDuration() time.Duration {
	return min(maxEjection, minEjection<<min(i.ejections, 10))
}

// instanceHeap orders instances by score.
type instanceHeap []*instance

func (h instanceHeap) Len() int           { return len(h) }
func (h instanceHeap) Less(i, j int) bool { return h[i].score < h[j].score }
func (h instanceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *instanceHeap) Push(x any) {
	i := x.(*instance)
	i.heapIndex = len(*h)
	*h = append(*h, i)
}

func (h *instanceHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	i.heapIndex = -1
	return i
}

// leastLoaded returns the instance with the lowest score that has a free slot
// and is not avoid, or nil.
func (h *instanceHeap) leastLoaded(avoid *instance) *instance {
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
