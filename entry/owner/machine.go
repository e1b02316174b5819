package owner

import (
	"math/rand"
	"strconv"
	"time"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
)

// input is an event that the state machine processes.
type input interface{ input() }

type (
	// tick advances the time and reports the membership. The membership must be
	// read before the clock: otherwise a change after the clock reading could
	// be taken for one from before an authority ended.
	tick struct {
		wall       time.Time
		candidates []Candidate
		gone       []string
	}
	// recordObserved is a revision of the record, received from a watch or a
	// peer.
	recordObserved struct {
		rec Record
		rev int64
	}
	// writeResult is the result of a commit.
	writeResult struct {
		id      int64
		outcome outcome
		rev     int64
	}
	// readResult is the result of a read.
	readResult struct {
		id    int64
		ok    bool
		found bool
		rec   Record
		rev   int64
	}
	// The following are the results of requests to peers. ok is set if a reply was
	// received. mayBeDelivered is unset only if the request was certainly not delivered.
	promiseResult struct {
		seq            int64
		reply          PromiseReply
		ok             bool
		mayBeDelivered bool
	}
	releaseResult struct {
		seq   int64
		reply ReleaseReply
		ok    bool
	}
	yieldResult struct {
		seq   int64
		reply ReleaseReply
		ok    bool
	}
	consentResult struct {
		rev   int64
		reply ConsentReply
		ok    bool
	}
	// The following are requests of peers; step fills in the reply.
	promiseReceived struct {
		req   PromiseRequest
		reply *PromiseReply
	}
	releaseReceived struct {
		req   ReleaseRequest
		reply *ReleaseReply
	}
	consentReceived struct {
		req   ConsentRequest
		reply *ConsentReply
	}
	startHandover struct{ to Candidate }
	// cancelHandover cancels a handover that was not sent yet.
	cancelHandover struct{}
	// runtimeRestarted reports that the shard's runtime lost its memory.
	runtimeRestarted struct{}
)

func (tick) input()             {}
func (recordObserved) input()   {}
func (writeResult) input()      {}
func (readResult) input()       {}
func (promiseResult) input()    {}
func (releaseResult) input()    {}
func (yieldResult) input()      {}
func (consentResult) input()    {}
func (promiseReceived) input()  {}
func (releaseReceived) input()  {}
func (consentReceived) input()  {}
func (startHandover) input()    {}
func (cancelHandover) input()   {}
func (runtimeRestarted) input() {}

// outcome is the outcome of a commit.
type outcome string

const (
	outcomeDone outcome = "done"
	// outcomeRefused means that the record has another revision.
	outcomeRefused outcome = "refused"
	// outcomeUnsent means that the commit certainly had no effect.
	outcomeUnsent  outcome = "unsent"
	outcomeUnknown outcome = "unknown"
)

// action is an effect that the state machine requests from its driver.
type action interface{ action() }

type (
	commitRecord struct {
		id  int64
		txn *store.Txn
	}
	readRecord         struct{ id int64 }
	sendPromiseRequest struct {
		addr string
		req  PromiseRequest
	}
	sendReleaseRequest struct {
		addr string
		req  ReleaseRequest
	}
	sendConsentRequest struct {
		addr string
		req  ConsentRequest
	}
	emitEvent     struct{ event Event }
	handoverEnded struct{ err error }
	logLine       struct {
		text string
		rec  Record
	}
)

func (commitRecord) action()       {}
func (readRecord) action()         {}
func (sendPromiseRequest) action() {}
func (sendReleaseRequest) action() {}
func (sendConsentRequest) action() {}
func (emitEvent) action()          {}
func (handoverEnded) action()      {}
func (logLine) action()            {}

// writeKind is the purpose of a write of the record.
type writeKind string

const (
	// writeRenew renews the owner's authority.
	writeRenew writeKind = "renew"
	// writeClaim is the first write of an owner that another VM named.
	writeClaim writeKind = "claim"
	// writeTakeover starts an epoch with this VM as the owner.
	writeTakeover writeKind = "take"
	// writeHandover starts an epoch with another VM as the owner.
	writeHandover writeKind = "handover"
)

// pendingWrite is a write whose effect is not yet known. Each write compares
// the record's revision, so its effect is known once a later revision is seen.
type pendingWrite struct {
	kind         writeKind
	rec          Record
	baseRevision int64
	sentAt       clock.Mono
}

// pendingCall is a call in flight. It is abandoned at its deadline.
type pendingCall struct {
	id       int64
	deadline clock.Mono
}

// stateMachine implements the ownership rules of one shard on one VM. It starts
// no goroutines and is not safe for concurrent use.
type stateMachine struct {
	self    Candidate
	dc      string
	shard   int
	rng     *rand.Rand
	now     clock.Mono
	wall    time.Time
	actions []action

	candidates []Candidate
	// goneSince maps each ended incarnation to when its end was first known.
	goneSince map[string]clock.Mono
	startedAt clock.Mono

	// The last known record. known is set once the store or a peer has reported it;
	// with rev 0 it means that no record exists.
	known          bool
	rec            Record
	rev            int64
	revisionSeenAt clock.Mono

	// Store calls are made one at a time. mustRead is set when the effect of a
	// write is unknown or another write came first.
	nextID          int64
	storeCall       *pendingCall
	pendingWrites   []pendingWrite
	mustRead        bool
	nextStoreCallAt clock.Mono

	ownership ownership
	standby   standbyState
	takeover  takeoverState
}

func newStateMachine(self Candidate, dc string, shard int, rng *rand.Rand, now clock.Mono) *stateMachine {
	m := &stateMachine{self: self, dc: dc, shard: shard, rng: rng, now: now, startedAt: now, goneSince: map[string]clock.Mono{}}
	m.takeover.eligibleSince = now
	m.takeover.jitter = m.jitter(TakeoverStagger / 2)
	return m
}

// step processes one input at now and returns the actions to perform. now must
// be read after the facts in the input were learned and before any of the
// returned actions is performed.
func (m *stateMachine) step(now clock.Mono, in input) []action {
	m.now = max(m.now, now)
	m.actions = nil
	switch in := in.(type) {
	case tick:
		m.handleTick(in)
	case recordObserved:
		m.observeRecord(in.rec, in.rev)
	case writeResult:
		m.handleWriteResult(in)
	case readResult:
		m.handleReadResult(in)
	case promiseResult:
		m.handlePromiseResult(in)
	case releaseResult:
		m.handleReleaseResult(in)
	case yieldResult:
		m.handleYieldResult(in)
	case consentResult:
		m.handleConsentResult(in)
	case promiseReceived:
		*in.reply = m.handlePromiseRequest(in.req)
	case releaseReceived:
		*in.reply = m.handleReleaseRequest(in.req)
	case consentReceived:
		*in.reply = m.handleConsentRequest(in.req)
	case startHandover:
		m.planHandover(in.to)
	case cancelHandover:
		m.ownership.handoverTarget = nil
	case runtimeRestarted:
		m.handleRuntimeRestart()
	}
	return m.actions
}

func (m *stateMachine) addAction(a action) { m.actions = append(m.actions, a) }

func (m *stateMachine) log(text string) { m.addAction(logLine{text: text, rec: m.rec}) }

func (m *stateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int63n(int64(d) + 1))
}

func (m *stateMachine) handleTick(in tick) {
	m.wall, m.candidates = in.wall, in.candidates
	for _, g := range in.gone {
		m.markGone(g)
	}
	m.expireCalls()
	m.standbyTick()
	switch {
	case m.ownership.held:
		m.ownerTick()
	default:
		m.takeoverTick()
	}
}

func (m *stateMachine) markGone(incarnation string) {
	if _, ok := m.goneSince[incarnation]; !ok && incarnation != "" && incarnation != m.self.incarnation {
		m.goneSince[incarnation] = m.now
	}
}

// isGone reports whether an incarnation ended more than InFlightMargin ago: the
// margin covers starts that the process sent before it ended. An earlier process
// at this VM's own address counts as ended since this process started.
func (m *stateMachine) isGone(incarnation, addr string) bool {
	since, ok := m.goneSince[incarnation]
	if !ok && incarnation != m.self.incarnation && addr == m.self.addr {
		since, ok = m.startedAt, true
	}
	return ok && m.now >= since.Add(InFlightMargin)
}

func (m *stateMachine) ownerGone() bool { return m.isGone(m.rec.owner, m.rec.ownerAddr) }

// standbyGone reports whether the record's standby has ended or none is named.
func (m *stateMachine) standbyGone() bool {
	return m.rec.standby == "" || m.isGone(m.rec.standby, m.rec.standbyAddr)
}

func (m *stateMachine) expireCalls() {
	if m.storeCall != nil && m.now >= m.storeCall.deadline {
		m.storeCall = nil
		m.mustRead = m.mustRead || len(m.pendingWrites) > 0
		m.retryStoreCallLater()
	}
	m.ownership.expireCalls(m)
	if c := m.takeover.consentCall; c != nil && m.now >= c.deadline {
		m.takeover.consentCall = nil
	}
	if c := m.standby.yieldCall; c != nil && m.now >= c.deadline {
		m.standby.yieldCall = nil
	}
}

func (m *stateMachine) retryStoreCallLater() {
	m.nextStoreCallAt = m.now.Add(RetryDelay + m.jitter(RetryDelay))
}

// observeRecord processes a revision of the record and ignores one that is not
// later than the known one.
func (m *stateMachine) observeRecord(rec Record, rev int64) {
	if rev <= m.rev {
		return
	}
	var own *pendingWrite
	for i := range m.pendingWrites {
		if m.pendingWrites[i].rec.token == rec.token && m.pendingWrites[i].rec.epoch == rec.epoch {
			own = &m.pendingWrites[i]
			break
		}
	}
	old := m.rec
	m.known, m.rec, m.rev, m.revisionSeenAt = true, rec, rev, m.now
	m.pendingWrites, m.mustRead = nil, false
	m.takeover.reset(m)
	m.standby.recordChanged(m, own != nil)
	if own != nil {
		m.handleConfirmedWrite(*own)
		return
	}
	if m.ownership.held && (rec.epoch != old.epoch || rec.owner != m.self.incarnation) {
		m.endOwnership("shard lost to another owner")
	}
}

// handleConfirmedWrite processes a write of this VM that took effect.
func (m *stateMachine) handleConfirmedWrite(w pendingWrite) {
	switch w.kind {
	case writeRenew:
		if m.ownership.held {
			m.ownership.recordRenewal(m, w.sentAt)
		}
	case writeClaim:
		// The revision that the claim replaced is that of the handover, which wrote
		// the epoch key.
		if m.ownership.lastLostEpoch < m.rec.epoch {
			m.startOwnership(w.sentAt, w.baseRevision, CauseHandover)
		}
	case writeTakeover:
		cause := CauseTakeover
		if w.baseRevision == 0 {
			cause = CauseFresh
		}
		m.startOwnership(w.sentAt, m.rev, cause)
	case writeHandover:
		m.ownership.handoverSent = false
		m.endOwnership("shard handed over")
		m.addAction(handoverEnded{})
	}
}

func (m *stateMachine) handleWriteResult(in writeResult) {
	var w *pendingWrite
	for i := range m.pendingWrites {
		if m.pendingWrites[i].rec.token == writeToken(in.id, m.self) {
			w = &m.pendingWrites[i]
		}
	}
	current := m.storeCall != nil && m.storeCall.id == in.id
	if current {
		m.storeCall = nil
	}
	if w == nil {
		// An observed revision has already shown the effect.
		return
	}
	switch in.outcome {
	case outcomeDone:
		m.observeRecord(w.rec, in.rev)
	case outcomeRefused:
		m.mustRead = true
		m.nextStoreCallAt = m.now
	case outcomeUnsent:
		m.dropPendingWrite(in.id)
		m.retryStoreCallLater()
	case outcomeUnknown:
		m.mustRead = true
		m.retryStoreCallLater()
	}
}

func (m *stateMachine) dropPendingWrite(id int64) {
	rest := m.pendingWrites[:0]
	for _, w := range m.pendingWrites {
		if w.rec.token != writeToken(id, m.self) {
			rest = append(rest, w)
		}
	}
	m.pendingWrites = rest
}

func (m *stateMachine) handleReadResult(in readResult) {
	if m.storeCall == nil || m.storeCall.id != in.id {
		if in.ok && in.found {
			m.observeRecord(in.rec, in.rev)
		}
		return
	}
	m.storeCall = nil
	if !in.ok {
		m.retryStoreCallLater()
		return
	}
	if in.found {
		m.observeRecord(in.rec, in.rev)
	}
	if !in.found && m.rev == 0 {
		m.known = true
	}
	if in.rev < m.rev {
		m.retryStoreCallLater()
		return
	}
	// The revision is unchanged, so earlier writes have had no effect so far. One
	// that still takes effect makes the store refuse the next write.
	m.mustRead = false
	m.nextStoreCallAt = m.now
	m.takeover.checkedAt = m.now
	m.takeover.hasChecked = true
	if !m.ownership.held {
		m.takeoverTick()
	}
}

// writeToken returns a token that is unique among all writes: incarnations are
// unique among processes, and ids within a process.
func writeToken(id int64, self Candidate) string {
	return self.incarnation + "." + strconv.FormatInt(id, 10)
}

func (m *stateMachine) startStoreCall() int64 {
	m.nextID++
	m.storeCall = &pendingCall{id: m.nextID, deadline: m.now.Add(CallTimeout)}
	return m.nextID
}

func (m *stateMachine) sendRead() { m.addAction(readRecord{id: m.startStoreCall()}) }

// sendWrite sends a commit that replaces the known revision by rec.
func (m *stateMachine) sendWrite(k writeKind, rec Record) {
	id := m.startStoreCall()
	rec.shard = shardName(m.dc, m.shard)
	rec.token = writeToken(id, m.self)
	rec.deadline = m.wall.Add(Term)
	m.pendingWrites = append(m.pendingWrites, pendingWrite{kind: k, rec: rec, baseRevision: m.rev, sentAt: m.now})
	txn, err := recordTxn(m.dc, m.shard, rec, m.rev, k == writeTakeover || k == writeHandover)
	if err != nil {
		m.dropPendingWrite(id)
		m.storeCall = nil
		m.retryStoreCallLater()
		m.log("failed to encode ownership record")
		return
	}
	m.addAction(commitRecord{id: id, txn: txn})
}

func recordTxn(dc string, shard int, rec Record, base int64, newEpoch bool) (*store.Txn, error) {
	v, err := rec.MarshalJSON()
	if err != nil {
		return nil, rcode.Wrap(err, rcode.Internal, "owner.recordTxn")
	}
	txn := store.NewTxn().If(RecordKey(dc, shard), base).Put(RecordKey(dc, shard), v)
	if newEpoch {
		txn.Put(EpochKey(dc, shard), []byte(strconv.FormatInt(rec.epoch, 10)))
	}
	return txn, nil
}
