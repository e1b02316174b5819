package owner

import (
	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
)

// peerCall is a request to the standby in flight.
type peerCall struct {
	seq      int64
	sentAt   clock.Mono
	deadline clock.Mono
}

// ownership is the state of the shard's owner that is not in the record.
type ownership struct {
	// held is set from the confirmed write by which this VM became the owner until
	// it loses or gives up the epoch.
	held  bool
	epoch int64
	// fence is the revision of the epoch key when the epoch began.
	fence int64
	// lastLostEpoch is the highest epoch that this VM held and gave up.
	lastLostEpoch int64
	// renewedAt is when the last write that took effect was sent.
	renewedAt clock.Mono
	// storeAuthorityUntil is the end of the authority from renewals, which a
	// renewal extends only outside standby mode.
	storeAuthorityUntil clock.Mono
	// promisedUntil is the end of the authority from the standby's promises.
	promisedUntil clock.Mono
	// alone is set when the owner continues after its standby ended.
	alone bool

	// seq is the last sequence number sent to the standby, which uses the numbers
	// to order promises and releases.
	seq int64
	// promisePossible is set while the standby may be in standby mode: a promise
	// request was granted or may have been delivered, and no release was
	// acknowledged after it.
	promisePossible bool
	// promiseConfirmed is set while the standby is certainly in standby mode: it
	// granted a promise and no release was sent since.
	promiseConfirmed bool
	lastReleaseSeq   int64
	promiseCall      *peerCall
	releaseCall      *peerCall
	nextPeerCallAt   clock.Mono

	// handoverTarget is the next owner of a handover that was not sent yet.
	handoverTarget *Candidate
	handoverSent   bool
}

// standbyModePossible reports whether the standby may be in standby mode or
// enter it. New authority then comes only from its promises.
func (o *ownership) standbyModePossible() bool { return o.promisePossible || o.promiseCall != nil }

// recordRenewal processes a renewal that took effect and was sent at sentAt.
func (o *ownership) recordRenewal(m *stateMachine, sentAt clock.Mono) {
	o.renewedAt = max(o.renewedAt, sentAt)
	o.alone = false
	if !o.standbyModePossible() {
		o.storeAuthorityUntil = o.renewedAt.Add(Term)
	}
	m.nextStoreCallAt = o.renewedAt.Add(RenewInterval - m.jitter(RenewInterval/20))
	if o.handoverSent {
		o.handoverSent = false
		m.addAction(handoverEnded{err: rcode.New(rcode.Conflict, "owner.Handover: the record was renewed instead")})
	}
}

func (o *ownership) expireCalls(m *stateMachine) {
	if o.promiseCall != nil && m.now >= o.promiseCall.deadline {
		o.promiseCall = nil
		o.promisePossible = true
		o.retryPeerCallLater(m)
	}
	if o.releaseCall != nil && m.now >= o.releaseCall.deadline {
		o.releaseCall = nil
		o.nextPeerCallAt = m.now
	}
}

func (o *ownership) retryPeerCallLater(m *stateMachine) {
	o.nextPeerCallAt = m.now.Add(RetryDelay/2 + m.jitter(RetryDelay/2))
}

func (o *ownership) renewalOverdue(now clock.Mono) bool {
	return now.Sub(o.renewedAt) >= RenewalOverdueAfter
}

// startOwnership starts the ownership that a write sent at sentAt established.
func (m *stateMachine) startOwnership(sentAt clock.Mono, fence int64, cause Cause) {
	acting := m.standby.acting
	m.standby = standbyState{}
	m.ownership = ownership{
		held: true, epoch: m.rec.epoch, fence: fence, lastLostEpoch: m.ownership.lastLostEpoch,
		renewedAt: sentAt, storeAuthorityUntil: sentAt.Add(Term), seq: m.ownership.seq,
	}
	m.nextStoreCallAt = sentAt.Add(RenewInterval - m.jitter(RenewInterval/20))
	if acting {
		// The shard's runtime already runs in this epoch.
		m.log("acting standby recorded as owner")
		return
	}
	m.log("shard acquired")
	m.addAction(emitEvent{event: Acquired{epoch: m.rec.epoch, cause: cause}})
}

// endOwnership ends the ownership, if any, and logs text.
func (m *stateMachine) endOwnership(text string) {
	o := &m.ownership
	if !o.held {
		return
	}
	failed := o.handoverTarget != nil || o.handoverSent
	o.lastLostEpoch = max(o.lastLostEpoch, o.epoch)
	o.promisePossible = o.standbyModePossible()
	o.held, o.alone, o.promiseConfirmed, o.handoverSent = false, false, false, false
	o.promiseCall, o.releaseCall, o.handoverTarget = nil, nil, nil
	m.log(text)
	m.addAction(emitEvent{event: Lost{}})
	if failed {
		m.addAction(handoverEnded{err: rcode.New(rcode.NotOwner, "owner.Handover: the shard was lost")})
	}
}

// yieldOwnership gives up the epoch because the standby has acted in it.
func (m *stateMachine) yieldOwnership() {
	m.endOwnership("shard yielded to the acting standby")
	m.ownership.lastLostEpoch = max(m.ownership.lastLostEpoch, m.rec.epoch)
	m.ownership.promisePossible = true
}

// handleRuntimeRestart gives up the ownership because the shard's runtime starts
// again without its memory. Promises to other VMs and requests to them stay valid.
func (m *stateMachine) handleRuntimeRestart() {
	m.endOwnership("shard runtime restarted")
	m.standby.stopActing(m)
}

// fence returns the revision of the epoch key, or 0 while this VM is not the
// recorded owner.
func (m *stateMachine) fence() int64 {
	if !m.ownership.held {
		return 0
	}
	return m.ownership.fence
}

// authority returns the current right to start work. An authority that lasts to
// the hard deadline is issued for at most Term at a time: a start with a longer
// lease could still be in flight after the shard returned to store mode and got
// another owner.
func (m *stateMachine) authority() Authority {
	o := &m.ownership
	rolling := m.now.Add(Term)
	if m.standby.acting {
		return Authority{epoch: m.rec.epoch + 1, until: min(rolling, m.standby.actingEnd(m)), mode: ModeActing}
	}
	if !o.held || m.hasPendingWrite(writeHandover) {
		return Authority{epoch: o.epoch, mode: ModeNone}
	}
	hard := o.renewedAt.Add(HardDeadline)
	if o.alone {
		return Authority{epoch: o.epoch, until: min(rolling, hard), mode: ModeAlone}
	}
	if !o.standbyModePossible() {
		return Authority{epoch: o.epoch, until: o.storeAuthorityUntil, mode: ModeStore}
	}
	a := Authority{epoch: o.epoch, until: min(hard, max(o.storeAuthorityUntil, o.promisedUntil)), mode: ModeStore}
	if o.promisePossible {
		a.mode = ModeStandby
	}
	return a
}

func (m *stateMachine) hasPendingWrite(k writeKind) bool {
	for _, w := range m.pendingWrites {
		if w.kind == k {
			return true
		}
	}
	return false
}

// successionPending reports whether a write that names another owner or standby
// may still take effect. Until this is known, it is unclear whose promise is
// valid.
func (m *stateMachine) successionPending() bool {
	for _, w := range m.pendingWrites {
		if w.rec.standby != m.rec.standby || w.rec.owner != m.rec.owner {
			return true
		}
	}
	return false
}

func (m *stateMachine) ownerTick() {
	m.handleMissingStandby()
	m.ownerStoreTick()
	m.ownerPeerTick()
}

// handleMissingStandby lets the owner continue alone when its standby has ended
// or none is named. An owner whose authority ended before may do so only if the
// standby was certainly in standby mode until its end. Otherwise the standby may
// have consented to another VM's takeover, or taken over itself, before it ended.
func (m *stateMachine) handleMissingStandby() {
	if !m.standbyGone() {
		return
	}
	o := &m.ownership
	valid := m.authority().Valid(m.now)
	isSoleOwner := valid || o.promiseConfirmed || m.rec.standby == ""
	mayHaveActed := o.standbyModePossible() && !valid
	o.promisePossible, o.promiseCall, o.releaseCall = false, nil, nil
	o.storeAuthorityUntil = o.renewedAt.Add(Term)
	if mayHaveActed {
		// What the runtime holds in memory may be out of date.
		m.addAction(emitEvent{event: Lost{}})
		m.addAction(emitEvent{event: Acquired{epoch: o.epoch, cause: CauseActing}})
	}
	if o.alone || !isSoleOwner || !o.renewalOverdue(m.now) || m.successionPending() {
		return
	}
	o.alone = true
	m.log("owner continues without a standby")
}

func (m *stateMachine) ownerStoreTick() {
	o := &m.ownership
	if m.storeCall != nil || m.now < m.nextStoreCallAt {
		return
	}
	if m.mustRead {
		m.sendRead()
		return
	}
	// Another owner or standby may be named only in store mode and while no earlier
	// write can still take effect.
	canReassign := !o.standbyModePossible() && !o.alone && len(m.pendingWrites) == 0
	if o.handoverTarget != nil && canReassign && m.authority().Valid(m.now) {
		m.sendHandover(*o.handoverTarget)
		return
	}
	rec := m.rec
	if canReassign && !o.renewalOverdue(m.now) {
		rec.standby, rec.standbyAddr = m.pickStandby(m.self.incarnation)
	}
	m.sendWrite(writeRenew, rec)
}

func (m *stateMachine) sendHandover(to Candidate) {
	rec := m.rec
	rec.epoch++
	rec.owner, rec.ownerAddr = to.incarnation, to.addr
	rec.standby, rec.standbyAddr = m.pickStandby(to.incarnation)
	m.ownership.handoverTarget, m.ownership.handoverSent = nil, true
	m.sendWrite(writeHandover, rec)
}

func (m *stateMachine) planHandover(to Candidate) {
	if !m.ownership.held {
		m.addAction(handoverEnded{err: rcode.New(rcode.NotOwner, "owner.Handover: the shard is not held")})
		return
	}
	m.ownership.handoverTarget = &to
	m.nextStoreCallAt = min(m.nextStoreCallAt, m.now)
}

// pickStandby returns the present standby if it is a candidate, else the most
// preferred candidate of the shard's data centre. Without any, it returns the present
// standby unless that has ended.
func (m *stateMachine) pickStandby(owner string) (incarnation, addr string) {
	var first *Candidate
	for i, c := range m.candidates {
		if c.leaving || c.remote || c.incarnation == owner || m.isGone(c.incarnation, c.addr) {
			continue
		}
		if c.incarnation == m.rec.standby {
			return c.incarnation, c.addr
		}
		if first == nil {
			first = &m.candidates[i]
		}
	}
	if first != nil {
		return first.incarnation, first.addr
	}
	if m.standbyGone() || m.rec.standby == owner {
		return "", ""
	}
	return m.rec.standby, m.rec.standbyAddr
}

// ownerPeerTick requests promises from the standby while renewals are overdue,
// and releases the standby afterwards. One request is in flight at a time.
func (m *stateMachine) ownerPeerTick() {
	o := &m.ownership
	if m.standbyGone() || o.promiseCall != nil || o.releaseCall != nil || m.now < o.nextPeerCallAt || m.successionPending() {
		return
	}
	renewalOverdue := o.renewalOverdue(m.now)
	switch {
	case !o.standbyModePossible() && !renewalOverdue:
	case !renewalOverdue && o.promisedUntil.Sub(m.now) >= minRemainingPromise:
		m.sendRelease()
	default:
		o.seq++
		o.promiseCall = &peerCall{seq: o.seq, sentAt: m.now, deadline: m.now.Add(CallTimeout)}
		m.addAction(sendPromiseRequest{addr: m.rec.standbyAddr, req: PromiseRequest{Record: m.rec, Revision: m.rev, Seq: o.seq}})
	}
}

func (m *stateMachine) sendRelease() {
	o := &m.ownership
	o.seq++
	o.lastReleaseSeq, o.promiseConfirmed = o.seq, false
	o.releaseCall = &peerCall{seq: o.seq, sentAt: m.now, deadline: m.now.Add(CallTimeout)}
	m.addAction(sendReleaseRequest{addr: m.rec.standbyAddr, req: ReleaseRequest{Record: m.rec, Revision: m.rev, Seq: o.seq}})
}

func (m *stateMachine) handlePromiseResult(in promiseResult) {
	o := &m.ownership
	call := o.promiseCall
	if call == nil || call.seq != in.seq {
		return
	}
	o.promiseCall = nil
	o.retryPeerCallLater(m)
	switch {
	case !in.ok:
		o.promisePossible = o.promisePossible || in.mayBeDelivered
	case in.reply.Incarnation != m.rec.standby:
		m.markGone(m.rec.standby)
	case in.reply.Acting:
		m.yieldOwnership()
		return
	case in.reply.Granted:
		o.promisePossible = true
		o.promiseConfirmed = call.seq > o.lastReleaseSeq
		o.promisedUntil = max(o.promisedUntil, call.sentAt.Add(PromiseTerm))
		o.nextPeerCallAt = call.sentAt.Add(PromiseInterval)
		if !o.renewalOverdue(m.now) {
			o.nextPeerCallAt = m.now
		}
	}
	if !o.promisePossible {
		o.storeAuthorityUntil = o.renewedAt.Add(Term)
	}
}

func (m *stateMachine) handleReleaseResult(in releaseResult) {
	o := &m.ownership
	call := o.releaseCall
	if call == nil || call.seq != in.seq {
		return
	}
	o.releaseCall = nil
	o.nextPeerCallAt = m.now
	switch {
	case !in.ok:
		o.retryPeerCallLater(m)
	case in.reply.Incarnation != m.rec.standby:
		m.markGone(m.rec.standby)
	case in.reply.Acting:
		m.yieldOwnership()
	case in.reply.Released && o.seq == in.seq:
		o.promisePossible, o.promiseConfirmed = false, false
		o.storeAuthorityUntil = o.renewedAt.Add(Term)
		m.log("standby released")
	default:
		o.retryPeerCallLater(m)
	}
}
