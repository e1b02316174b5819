package limit

import "time"

// candidate is a connection that may be closed to make room for another.
type candidate struct {
	// waiting is how long the process has waited for the client: since it connected, since its
	// last answer, or since its unfinished request began.
	waiting time.Duration
	// unserved clients have not had an answer yet or are in the middle of a request.
	unserved bool
	// overShare clients are of an address with more connections than its even share.
	overShare bool
	// writing clients do not read an answer.
	writing bool
	// handling is the number of the request that is being handled, counted from 1 on the
	// connection. The connection ends after its answer.
	handling int
}

const (
	// writeGrace is how long a client may leave an answer unread before it makes room for
	// others. The answer is lost, so it is far above the time that a client needs which reads.
	writeGrace = 3 * time.Second
	// unservedFactor and overShareFactor weigh the time that the process waited. Clients that
	// were served keep an idle connection longer than clients that say nothing, but not for
	// ever, or clients that sent one request each could keep out all others.
	unservedFactor  = 4
	overShareFactor = 4
	// maxHandlingWeight bounds the weight of a connection with a request that is being handled.
	maxHandlingWeight = 1000
)

// weight orders the candidates: the one with the highest is closed. 0 is never closed.
func (c candidate) weight() time.Duration {
	if c.handling > 0 {
		// Below most others. Clients that send request after request without a pause would keep
		// out others for as long as they like.
		return time.Duration(min(c.handling, maxHandlingWeight))
	}
	if c.writing {
		return max(0, c.waiting-writeGrace)
	}
	w := max(c.waiting, 1)
	if c.unserved {
		w *= unservedFactor
	}
	if c.overShare {
		w *= overShareFactor
	}
	return w
}
