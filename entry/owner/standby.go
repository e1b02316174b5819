package owner

import "limpethitch.example/core/clock"

// standbyState is the standby's state towards the owner of one epoch.
type standbyState struct {
	epoch int64
	owner string
	// inStandbyMode is set while a granted promise is not released.
	inStandbyMode bool
	// grantedSeq and releasedSeq are the highest sequence numbers of granted
	// promises and accepted releases. Requests that arrive late have lower ones.
	grantedSeq, releasedSeq int64
	promiseEnd              clock.Mono
	acting                  bool
	// hasActed stays set for the rest of the epoch, because the owner's memory of
	// the shard is out of date once the standby has acted.
	hasActed     bool
	ownerYielded bool
	// takeoverRevision is the latest revision whose takeover this VM consented to
	// or began. Promises are refused until a later revision shows that the takeover
	// did not happen.
	takeoverRevision int64
	yieldCall        *pendingCall
	nextYieldCallAt  clock.Mono
}

func (s *standbyState) matches(r Record) bool { return s.epoch == r.epoch && s.owner == r.owner }

// startEpoch resets the state if r is of another epoch or owner.
func (s *standbyState) startEpoch(r Record) {
	if !s.matches(r) {
		*s = standbyState{epoch: r.epoch, owner: r.owner, takeoverRevision: s.takeoverRevision}
	}
}

// actingEnd returns when an acting standby must stop.
func (s *standbyState) actingEnd(m *stateMachine) clock.Mono {
	return m.revisionSeenAt.Add(HardDeadline - ActingMargin)
}

func (s *standbyState) stopActing(m *stateMachine) {
	if !s.acting {
		return
	}
	s.acting = false
	m.log("standby stopped acting")
	m.addAction(emitEvent{event: Lost{}})
}

// recordChanged ends standby mode and acting if the known record has another
// epoch, owner or standby. An acting standby's own takeover write does not end them.
func (s *standbyState) recordChanged(m *stateMachine, ownWrite bool) {
	if s.matches(m.rec) && m.rec.standby == m.self.incarnation || ownWrite {
		return
	}
	s.stopActing(m)
	s.inStandbyMode = false
}

func (m *stateMachine) standbyTick() {
	s := &m.standby
	if !s.inStandbyMode || !s.matches(m.rec) || m.rec.standby != m.self.incarnation {
		return
	}
	end := s.actingEnd(m)
	if m.now >= end {
		s.stopActing(m)
	}
	if !s.acting && m.now < end && (m.now >= s.promiseEnd || m.ownerGone()) {
		s.acting, s.hasActed = true, true
		m.log("standby started acting")
		m.addAction(emitEvent{event: Acquired{epoch: m.rec.epoch + 1, cause: CauseActing}})
	}
	if s.hasActed && !s.ownerYielded && !m.ownerGone() && s.yieldCall == nil && m.now >= s.nextYieldCallAt {
		m.nextID++
		s.yieldCall = &pendingCall{id: m.nextID, deadline: m.now.Add(CallTimeout)}
		s.nextYieldCallAt = m.now.Add(RetryDelay + m.jitter(RetryDelay))
		m.addAction(sendReleaseRequest{addr: m.rec.ownerAddr, req: ReleaseRequest{Record: m.rec, Revision: m.rev, Seq: m.nextID, Yield: true}})
	}
}

// handleYieldResult processes the owner's reply to a yield request.
func (m *stateMachine) handleYieldResult(in yieldResult) {
	s := &m.standby
	if s.yieldCall == nil || s.yieldCall.id != in.seq {
		return
	}
	s.yieldCall = nil
	if !in.ok || !s.matches(m.rec) {
		return
	}
	if in.reply.Incarnation != m.rec.owner {
		m.markGone(m.rec.owner)
		return
	}
	s.ownerYielded = s.ownerYielded || in.reply.Released
}

// observeAsStandby processes the record that a request carries if it names this VM
// as the standby, and reports whether the request is for the present epoch.
func (m *stateMachine) observeAsStandby(rec Record, rev int64) bool {
	if rec.standby != m.self.incarnation {
		return false
	}
	m.observeRecord(rec, rev)
	return m.rec.epoch == rec.epoch && m.rec.owner == rec.owner && m.rec.standby == m.self.incarnation
}

// takeoverAgreed reports whether this VM consented to or began a takeover of the
// known revision.
func (m *stateMachine) takeoverAgreed() bool {
	return m.standby.takeoverRevision > 0 && m.rev <= m.standby.takeoverRevision
}

func (m *stateMachine) handlePromiseRequest(req PromiseRequest) PromiseReply {
	reply := PromiseReply{Incarnation: m.self.incarnation}
	if !m.observeAsStandby(req.Record, req.Revision) {
		return reply
	}
	s := &m.standby
	s.startEpoch(m.rec)
	if s.hasActed {
		reply.Acting = true
		return reply
	}
	if m.takeoverAgreed() || req.Seq <= s.grantedSeq || req.Seq <= s.releasedSeq {
		return reply
	}
	s.inStandbyMode, s.grantedSeq = true, req.Seq
	s.promiseEnd = m.now.Add(promiseTTL)
	reply.Granted = true
	return reply
}

func (m *stateMachine) handleReleaseRequest(req ReleaseRequest) ReleaseReply {
	reply := ReleaseReply{Incarnation: m.self.incarnation}
	if req.Yield {
		reply.Released = m.handleYieldRequest(req)
		return reply
	}
	if !m.observeAsStandby(req.Record, req.Revision) {
		return reply
	}
	s := &m.standby
	s.startEpoch(m.rec)
	if s.hasActed {
		reply.Acting = true
		return reply
	}
	if req.Seq <= s.grantedSeq || req.Seq <= s.releasedSeq {
		return reply
	}
	s.inStandbyMode, s.releasedSeq = false, req.Seq
	reply.Released = true
	return reply
}

// handleYieldRequest gives up this VM's epoch for a standby that has acted in it,
// unless this VM still has authority.
func (m *stateMachine) handleYieldRequest(req ReleaseRequest) bool {
	if req.Record.owner != m.self.incarnation {
		return false
	}
	m.observeRecord(req.Record, req.Revision)
	if m.rec.epoch != req.Record.epoch || m.rec.owner != m.self.incarnation {
		return false
	}
	if m.authority().Valid(m.now) {
		return false
	}
	m.yieldOwnership()
	return true
}

// handleConsentRequest consents to another VM's takeover of this revision. In
// standby mode the standby refuses and acts itself instead: an owner that
// continues alone after its standby ended relies on that.
func (m *stateMachine) handleConsentRequest(req ConsentRequest) ConsentReply {
	reply := ConsentReply{Incarnation: m.self.incarnation}
	if !m.observeAsStandby(req.Record, req.Revision) || m.rev != req.Revision {
		return reply
	}
	if m.standby.acting || m.standby.inStandbyMode {
		return reply
	}
	m.standby.takeoverRevision = max(m.standby.takeoverRevision, req.Revision)
	reply.Granted = true
	return reply
}
