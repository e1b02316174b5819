package engine

import "time"

const (
	// lossWeight is the weight of the newest poll in the share of lost replies.
	lossWeight = 1.0 / 200
	// lossyShare is the share of lost replies from which polls wait for a shorter time.
	lossyShare = 0.01
	// minPollWait is the shortest wait of a poll while replies are lost.
	minPollWait = 200 * time.Millisecond
	// pollsPerCPUMilli is the number of polls a second that an owner may make for each
	// thousandth of a core that it has.
	pollsPerCPUMilli = 2
	// longestPollWait is the wait of an owner with too many workers for its CPU, less than
	// the two seconds that the platform allows.
	longestPollWait = 1900 * time.Millisecond
)

// replyLoss estimates the share of polls that workers leave unanswered although they can be
// reached. Such a poll shows only once it has timed out, and all ends of runs on its worker
// stay unknown until then. While many replies are lost, polls therefore wait for a shorter
// time.
type replyLoss struct{ share float64 }

// isHigh reports whether many replies are lost.
func (l *replyLoss) isHigh() bool { return l.share >= lossyShare }

// observe records a poll of a worker whose last poll was answered.
func (l *replyLoss) observe(lost bool) {
	v := 0.0
	if lost {
		v = 1
	}
	l.share += lossWeight * (v - l.share)
}

// pollWait returns how long polls may wait for a run to end, for an owner with the given
// number of workers and share of the CPU. An owner that polls more workers than it can keeps
// its other messages waiting, such as those about workers that shut down.
func (l *replyLoss) pollWait(workers int, cpuMilli int64) time.Duration {
	affordable := maxPollWait
	if cpuMilli > 0 {
		affordable = time.Duration(workers) * time.Second / time.Duration(pollsPerCPUMilli*cpuMilli)
	}
	least := maxPollWait
	if l.isHigh() {
		least = minPollWait
	}
	return min(longestPollWait, max(least, affordable))
}
