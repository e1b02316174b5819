package owner

import (
	"time"

	"limpethitch.example/core/clock"
)

// takeoverState is the progress of this VM's takeover of the known revision.
type takeoverState struct {
	eligible      bool
	eligibleSince clock.Mono
	jitter        time.Duration
	// checkedAt is when a read last confirmed the known revision.
	checkedAt  clock.Mono
	hasChecked bool
	// consentRevision is the revision whose takeover the standby consented to.
	consentRevision   int64
	consentCall       *pendingCall
	nextConsentCallAt clock.Mono
}

func (t *takeoverState) reset(m *stateMachine) {
	*t = takeoverState{jitter: m.jitter(TakeoverStagger / 2)}
}

// takeoverStep is the next step of a takeover.
type takeoverStep string

const (
	// stepNone means that no takeover is allowed now.
	stepNone           takeoverStep = "none"
	stepRequestConsent takeoverStep = "consent"
	// stepRequestRelease is for a VM that gave up the ownership while the standby
	// may have been in standby mode, in which the standby does not consent.
	stepRequestRelease takeoverStep = "release"
	stepTakeOver       takeoverStep = "take"
)

// nextTakeoverStep returns what this VM has to do next to take the known record
// over. It does not consider the VM's preference and the state of its calls.
func (m *stateMachine) nextTakeoverStep() takeoverStep {
	age := m.now.Sub(m.revisionSeenAt)
	wasOwner := m.rec.owner == m.self.incarnation
	ownerEnded := wasOwner || m.ownerGone()
	waitPassed := age >= TakeoverWait
	hardWaitPassed := age >= HardTakeoverWait
	if m.rec.standby == m.self.incarnation {
		return m.standbyTakeoverStep(ownerEnded, waitPassed, hardWaitPassed)
	}
	switch {
	case wasOwner && !m.ownership.promisePossible, ownerEnded && m.standbyGone(), hardWaitPassed:
		return stepTakeOver
	case wasOwner:
		return stepRequestRelease
	case (waitPassed || ownerEnded) && !m.standbyGone():
		return stepRequestConsent
	}
	return stepNone
}

// standbyTakeoverStep is nextTakeoverStep for the record's standby. In standby
// mode an unchanged record permits no takeover before HardTakeoverWait, and an
// owner that ended or yielded permits one only while this VM acts or after
// actingEnd.
func (m *stateMachine) standbyTakeoverStep(ownerEnded, waitPassed, hardWaitPassed bool) takeoverStep {
	s := &m.standby
	if s.inStandbyMode && s.matches(m.rec) {
		waitPassed = false
		ownerEnded = (s.acting || m.now >= s.actingEnd(m)) && (ownerEnded || s.ownerYielded)
	}
	if ownerEnded || waitPassed || hardWaitPassed {
		return stepTakeOver
	}
	return stepNone
}

// takeoverRank returns the number of more preferred VMs that could take over. ok
// is false when this VM must not: it is not a candidate, is leaving, or is in
// another data centre while the shard's own data centre has a candidate.
func (m *stateMachine) takeoverRank() (rank int, ok bool) {
	selfFound, hasLocal := false, false
	var self Candidate
	for _, c := range m.candidates {
		if c.incarnation == m.self.incarnation {
			self, selfFound = c, true
			continue
		}
		if c.leaving {
			continue
		}
		hasLocal = hasLocal || !c.remote
		if !selfFound {
			rank++
		}
	}
	return rank, selfFound && !self.leaving && !(self.remote && hasLocal)
}

func (m *stateMachine) takeoverTick() {
	if m.storeCall != nil || m.now < m.nextStoreCallAt {
		return
	}
	rank, ok := m.takeoverRank()
	if !ok && !m.standby.acting {
		return
	}
	if m.mustRead {
		m.sendRead()
		return
	}
	if m.known && m.rec.owner == m.self.incarnation && m.ownership.lastLostEpoch < m.rec.epoch {
		m.sendWrite(writeClaim, m.rec)
		return
	}
	next := stepTakeOver
	if m.rev > 0 {
		next = m.nextTakeoverStep()
	}
	t := &m.takeover
	if next == stepNone {
		t.eligible = false
		return
	}
	if !t.eligible {
		t.eligible, t.eligibleSince = true, m.now
	}
	delay := time.Duration(rank)*TakeoverStagger + t.jitter
	if m.rev > 0 && m.rec.standby == m.self.incarnation {
		delay = 0
	}
	if m.now < t.eligibleSince.Add(delay) {
		return
	}
	if !t.hasChecked || m.now.Sub(t.checkedAt) > CallTimeout {
		m.sendRead()
		return
	}
	if next == stepRequestConsent && t.consentRevision != m.rev {
		m.requestConsent()
		return
	}
	if next == stepRequestRelease {
		m.requestRelease()
		return
	}
	m.sendTakeover()
}

func (m *stateMachine) requestRelease() {
	if o := &m.ownership; o.releaseCall == nil && m.now >= o.nextPeerCallAt {
		m.sendRelease()
	}
}

func (m *stateMachine) requestConsent() {
	t := &m.takeover
	if t.consentCall != nil || m.now < t.nextConsentCallAt {
		return
	}
	m.nextID++
	t.consentCall = &pendingCall{id: m.nextID, deadline: m.now.Add(CallTimeout)}
	t.nextConsentCallAt = m.now.Add(RetryDelay + m.jitter(RetryDelay))
	m.addAction(sendConsentRequest{addr: m.rec.standbyAddr, req: ConsentRequest{Record: m.rec, Revision: m.rev}})
}

func (m *stateMachine) handleConsentResult(in consentResult) {
	t := &m.takeover
	if t.consentCall == nil || in.rev != m.rev {
		return
	}
	t.consentCall = nil
	if !in.ok {
		return
	}
	if in.reply.Incarnation != m.rec.standby {
		m.markGone(m.rec.standby)
		return
	}
	if in.reply.Granted {
		t.consentRevision = in.rev
	}
}

// sendTakeover sends the write that makes this VM the owner of the next epoch.
func (m *stateMachine) sendTakeover() {
	rec := m.rec
	rec.epoch++
	rec.owner, rec.ownerAddr = m.self.incarnation, m.self.addr
	rec.standby, rec.standbyAddr = m.pickStandby(m.self.incarnation)
	if m.standby.acting {
		// If the reply is lost, this VM continues to act. The new record names no
		// standby, so that no VM can take it over by waiting alone.
		rec.standby, rec.standbyAddr = "", ""
	}
	if m.rec.standby == m.self.incarnation {
		m.standby.takeoverRevision = m.rev
	}
	m.sendWrite(writeTakeover, rec)
}
