package route

import "math"

// serviceTime holds moving averages of service times in seconds: the mean and the
// mean deviation. Both are 0 before the first sample.
type serviceTime struct {
	mean, deviation float64
	// samples is the number of samples. The first ones have a higher weight, so
	// that the averages converge quickly.
	samples int
}

// record adds one sample.
func (t *serviceTime) record(took float64) {
	t.samples++
	w := max(serviceSampleWeight, 1/float64(t.samples))
	t.deviation += (math.Abs(took-t.mean) - t.deviation) * w
	t.mean += (took - t.mean) * w
}

// queueTime returns the service time of one queue. The queues of a service may
// differ widely: the same instances may serve previews and full images.
func (s *service) queueTime(queue string) *serviceTime {
	t, ok := s.queueTimes[queue]
	if !ok {
		t = &serviceTime{}
		s.queueTimes[queue] = t
	}
	return t
}
