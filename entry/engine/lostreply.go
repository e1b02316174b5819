package engine

import "time"

const (
	// lossWeight is the weight of the newest poll in the share of lost replies.
	lossWeight = 1.0 / 200
	// lossyShare is the share of lost replies from which polls wait for a shorter time.
	lossyShare = 0.01
	// minPollWait is the shortest wait of a poll while replies are lost.
	minPollWait = 200 * time.Millisecond
	// pollsPerCPUMilli is the number of polls a second that an owner may add for each
	// thousandth of a core that it has.
	pollsPerCPUMilli = 2
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
// number of workers and share of the CPU.
func (l *replyLoss) pollWait(workers int, cpuMilli int64) time.Duration {
	if !l.isHigh() {
		return maxPollWait
	}
	affordable := maxPollWait
	if cpuMilli > 0 {
		affordable = time.Duration(workers) * time.Second / time.Duration(pollsPerCPUMilli*cpuMilli)
	}
	return min(maxPollWait, max(minPollWait, affordable))
}
