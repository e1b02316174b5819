package accept

import (
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/retry"
	"limpethitch.example/entry/rules"
)

// result returns the outcome of a call, updates the metrics and logs refusals. load is the
// decision by which a job was refused for load, if it was.
func (s *Service) result(call string, q *rules.Queue, team string, c Call, code rcode.Code, load admit.Decision, start clock.Mono) Result {
	res := Result{code: code, retry: s.retryAdvice(c, code, load.Cause())}
	s.noteServed(call, code)
	s.recordResponse(call, q, team, c, res, load, start)
	return res
}

// retryAdvice returns when a client whose call was refused with a code may return, or the
// zero value. load is the cause if it was refused for load.
func (s *Service) retryAdvice(c Call, code rcode.Code, load retry.Cause) retry.Advice {
	cause := load
	if cause == nil || code == rcode.OK {
		cause = s.cause(code)
	}
	if cause == nil {
		return retry.Advice{}
	}
	return retry.Decide(s.clk.Now(), cause, c.Deadline, s.cfg.Random())
}

// cause returns why a call is refused with a code, or nil if the same call would fail
// again or was not refused.
func (s *Service) cause(code rcode.Code) retry.Cause {
	now := s.clk.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch code {
	case rcode.StoreUnavailable:
		return retry.StoreSilent{Since: s.storeOutage.Refused(now, now.Add(-s.cfg.StoreAge()))}
	case rcode.NoOwner:
		lastReply := now
		if reply := s.ownerReply.Load(); reply != nil {
			lastReply = reply.sentAt
		}
		return retry.OwnerMissing{Since: s.ownerOutage.Refused(now, lastReply)}
	case rcode.NoPolicy:
		return retry.Unconfigured{Since: s.rulesOutage.Refused(now, now), StoreAnswers: s.cfg.StoreAge() < ownerReplyTTL}
	case rcode.OverLimit:
		// Another VM refused an attempt meanwhile; the next one is decided anew.
		return retry.OverShare{ShareAt: now}
	default:
		return nil
	}
}

// noteServed ends the outages that a served call shows to be over. Jobs and cancellations
// need the store, states usually only the owner.
func (s *Service) noteServed(call string, code rcode.Code) {
	if code != rcode.OK {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rulesOutage.Ended()
	if call == "state" {
		s.ownerOutage.Ended()
	} else {
		s.storeOutage.Ended()
	}
}

// maxLoggedPath is the number of bytes of a path that are logged. Clients choose the path.
const maxLoggedPath = 128

// recordResponse updates the metrics for a response and logs refusals. An unknown
// job is a regular answer and not logged.
func (s *Service) recordResponse(call string, q *rules.Queue, team string, c Call, res Result, load admit.Decision, start clock.Mono) {
	name := ""
	if q != nil {
		name = q.Name
	}
	now := s.clk.Now()
	s.cfg.Metrics.ObserveCall(call, name, team, res.code, now.Sub(start))
	if res.code == rcode.OK || res.code == rcode.JobUnknown {
		return
	}
	leftOut := 0
	if reason := res.retry.Reason(); reason != retry.ReasonNone {
		s.cfg.Metrics.ObserveRefusal(string(reason), name, team, res.retry.Seconds())
		var logged bool
		if leftOut, logged = s.logsRefusal(reason, now); !logged {
			return
		}
	}
	version := int64(0)
	if ruleSet := s.ruleSet.Load(); ruleSet != nil {
		version = ruleSet.Version()
	}
	fields := []zap.Field{
		zap.String("call", call), zap.String("path", c.Path[:min(len(c.Path), maxLoggedPath)]), zap.String("queue", name), zap.String("team", team),
		zap.String("code", string(res.code)),
	}
	fields = append(fields, adviceFields(res.retry, c.Deadline, now, leftOut)...)
	fields = append(fields, loadFields(load)...)
	s.log.Info("call refused", append(fields, zap.Int64("rules", version), zap.Int64("took_ms", now.Sub(start).Milliseconds()),
		zap.Int64("store_age_ms", s.cfg.StoreAge().Milliseconds()))...)
}

// adviceFields returns the log fields about the client's return. deadline is when the client
// stops waiting, 0 if that is not known; leftOut is the number of lines that were not logged.
func adviceFields(advice retry.Advice, deadline, now clock.Mono, leftOut int) []zap.Field {
	if advice.Reason() == retry.ReasonNone {
		return nil
	}
	fields := []zap.Field{
		zap.String("reason", string(advice.Reason())), zap.Int("retry_after_s", advice.Seconds()), zap.Int("left_out", leftOut),
	}
	if deadline != 0 {
		fields = append(fields, zap.Int64("deadline_ms", deadline.Sub(now).Milliseconds()))
	}
	return fields
}

// loadFields returns the log fields about a job that was refused for load.
func loadFields(load admit.Decision) []zap.Field {
	if !load.Refused() {
		return nil
	}
	return []zap.Field{
		zap.Int64("expected_wait_ms", load.Wait().Milliseconds()), zap.Int64("objective_ms", load.Objective().Milliseconds()),
		zap.Int64("run_time_ms", load.Path().Milliseconds()),
	}
}

// maxRefusalLines bounds the log lines a second about refusals for one reason. Callers
// that return in an outage would otherwise push other lines out of the log.
const maxRefusalLines = 100

// refusalLines counts the lines about refusals of the current second.
type refusalLines map[retry.Reason]*lineCount

// lineCount is the number of lines until endsAt, and of those left out since the last line.
type lineCount struct {
	endsAt         clock.Mono
	lines, leftOut int
}

// logsRefusal reports whether a refusal is logged, and how many were not since the last
// one that was.
func (s *Service) logsRefusal(reason retry.Reason, now clock.Mono) (leftOut int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.refusalLines[reason]
	if n == nil {
		n = new(lineCount)
		s.refusalLines[reason] = n
	}
	if now >= n.endsAt {
		n.endsAt, n.lines = now.Add(time.Second), 0
	}
	if n.lines >= maxRefusalLines {
		n.leftOut++
		return 0, false
	}
	n.lines++
	leftOut, n.leftOut = n.leftOut, 0
	return leftOut, true
}
