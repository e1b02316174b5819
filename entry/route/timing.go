package route

import "math"

// timing is a moving figure of service times in seconds. It is 0 until the
// first one.
type timing struct {
	mean, deviation float64
	// samples is counted so that the first ones weigh more.
	samples int
}

func (t *timing) add(took float64) {
	t.samples++
	w := max(serviceWeight, 1/float64(t.samples))
	t.deviation += (math.Abs(took-t.mean) - t.deviation) * w
	t.mean += (took - t.mean) * w
}

// timing returns the figure of one queue. The queues of a service may differ
// widely: a preview and a whole picture come from the same instances.
func (s *service) timing(queue string) *timing {
	t, ok := s.queues[queue]
	if !ok {
		t = &timing{}
		s.queues[queue] = t
	}
	return t
}
