// Package accept handles callers' requests on a platform where one VM, the owner,
// schedules for all workers. It checks a request against the configuration in
// force, stores accepted and cancelled jobs, and reads job states.
//
// # Usage
//
//	s := accept.New(accept.Config{...}, clk, log)
//	result := s.Submit(ctx, accept.Call{Host: host, Path: path, Key: key}, func(id string) (*graph.Job, error) { ... })
//	state, result := s.State(ctx, call)
//	if result.Code() != rcode.OK { wait := result.Retry().Seconds() ... }
//
// A job is accepted once its record is stored. The record's key contains the job's
// id and is created at most once, so submitting a job is idempotent.
package accept

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpethitch.example/core/clock"
	"limpethitch.example/core/rcode"
	"limpethitch.example/core/store"
	"limpethitch.example/entry/admit"
	"limpethitch.example/entry/engine"
	"limpethitch.example/entry/graph"
	"limpethitch.example/entry/lead"
	"limpethitch.example/entry/retry"
	"limpethitch.example/entry/rules"
	"limpethitch.example/entry/sched"
	"limpethitch.example/entry/stats"
)

// LocalScheduler is this VM's scheduler. Its methods return rcode.NotOwner while this
// VM is not the owner.
type LocalScheduler interface {
	Job(ctx context.Context, id string) (engine.JobStatus, error)
	Hello(ctx context.Context, req engine.HelloRequest) (engine.HelloReply, error)
	Deliver(ctx context.Context, key string, value []byte) error
}

// Peers calls other VMs by address.
type Peers interface {
	Job(ctx context.Context, addr, id string) (engine.JobStatus, error)
	Hello(ctx context.Context, addr string, req engine.HelloRequest) (engine.HelloReply, error)
	Create(ctx context.Context, addr string, req engine.CreateRequest) rcode.Code
	Deliver(ctx context.Context, addr, key string, value []byte) error
}

// Config configures a Service.
type Config struct {
	Self    lead.Holder
	Store   store.Store
	Elector *lead.Elector
	// Local takes calls to the owner while this VM is the owner.
	Local   LocalScheduler
	Peers   Peers
	Metrics *stats.Metrics
	// CPUMilli is this VM's CPU share in thousandths of a core.
	CPUMilli int64
	// StoreAge returns the time since the store last answered this VM.
	StoreAge func() time.Duration
	// RulesCurrent reports whether the configuration was read since this process was last
	// paused. Calls are refused until then. Nil means that it was.
	RulesCurrent func() bool
	// Random returns a number in [0, 1), by which the times at which refused callers may
	// return are spread. Nil is a random source of the process.
	Random func() float64
}

// Call describes one request of a client. Key is its API key.
type Call struct {
	Host, Path, Key string
	// BodyBytes is the length of the request's body.
	BodyBytes int
	// Deadline is when the client stops waiting; 0 is not known.
	Deadline clock.Mono
}

// Result is the outcome of a call.
type Result struct {
	code  rcode.Code
	retry retry.Advice
}

// Code returns the result code.
func (r Result) Code() rcode.Code { return r.code }

// Retry returns when the client may send the call again. It is the zero value for a call
// that was served and for one that would fail again.
func (r Result) Retry() retry.Advice { return r.retry }

// Service handles callers' requests. It is safe for concurrent use.
type Service struct {
	cfg Config
	clk clock.Clock
	log *zap.Logger

	ruleSet    atomic.Pointer[rules.Set]
	ownerReply atomic.Pointer[ownerReply]
	// mu guards members, ownerHint, skipUntil, the outages and refusalLines.
	mu sync.Mutex
	// members holds the addresses of other VMs, the most recently reported last. They
	// are kept while the owner is unreachable.
	members []string
	// ownerHint is the owner as reported by another VM.
	ownerHint lead.Holder
	// skipUntil is, by address, the time until which a VM that did not answer is not
	// asked to write.
	skipUntil map[string]clock.Mono
	// storeOutage, ownerOutage and rulesOutage are the current outages, as seen by the
	// calls that were refused.
	storeOutage, ownerOutage, rulesOutage retry.Outage
	refusalLines                          refusalLines
	// gate decides whether a job is refused for load; gateMu guards it.
	gateMu sync.Mutex
	gate   *admit.Gate
	// storeBreaker guards this VM's own writes to the store.
	storeBreaker *storeBreaker
}

// ownerReply is the owner's last hello reply. sentAt is when the hello was sent.
type ownerReply struct {
	engine.HelloReply
	sentAt clock.Mono
}

// New returns a service that refuses all requests until SetRules is called.
func New(cfg Config, clk clock.Clock, log *zap.Logger) *Service {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Service{
		cfg: cfg, clk: clk, log: log, storeBreaker: newStoreBreaker(cfg.Store, clk), skipUntil: make(map[string]clock.Mono),
		refusalLines: make(refusalLines), gate: admit.NewGate(),
	}
}

// SetRules puts a version of the configuration in force.
func (s *Service) SetRules(ruleSet *rules.Set) {
	s.ruleSet.Store(ruleSet)
	s.cfg.Metrics.SetLabelValues(ruleSet.Names())
}

// Rules returns the configuration in force, or nil.
func (s *Service) Rules() *rules.Set { return s.ruleSet.Load() }

// admit returns the queue and client account of a call, or the code it is refused
// with.
func (s *Service) admit(c Call) (*rules.Queue, string, rcode.Code) {
	ruleSet := s.ruleSet.Load()
	if ruleSet == nil || s.cfg.RulesCurrent != nil && !s.cfg.RulesCurrent() {
		return nil, "", rcode.NoPolicy
	}
	q, ok := ruleSet.Match(c.Host, c.Path)
	if !ok {
		return nil, "", rcode.QueueUnknown
	}
	team, known := ruleSet.TeamByKey(c.Key)
	if !known && !q.Public {
		return q, "", rcode.KeyMissing
	}
	return q, team, rcode.OK
}

// Submit stores the job that build returns for the id in the call's path.
func (s *Service) Submit(ctx context.Context, c Call, build func(id string) (*graph.Job, error)) Result {
	start := s.clk.Now()
	q, team, code := s.admit(c)
	var load admit.Decision
	if code == rcode.OK {
		code, load = s.submit(ctx, c, q, team, build, start)
	}
	return s.result("submit", q, team, c, code, load, start)
}

// submit stores the job of an admitted call, which arrived at arrivedAt, or refuses it for load
// and returns that decision.
func (s *Service) submit(
	ctx context.Context, c Call, q *rules.Queue, team string, build func(id string) (*graph.Job, error), arrivedAt clock.Mono,
) (rcode.Code, admit.Decision) {
	if maxBytes := s.ruleSet.Load().Limits().MaxBodyBytes; maxBytes > 0 && c.BodyBytes > maxBytes {
		return rcode.BodyTooLarge, admit.Decision{}
	}
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return rcode.QueueUnknown, admit.Decision{}
	}
	job, err := build(id)
	if err != nil {
		return rcode.BadRequest, admit.Decision{}
	}
	job.ID, job.Team, job.Queue, job.Settings, job.AcceptedUnixMS = id, team, q.Name, q, s.clk.Wall().UnixMilli()
	if err := job.Check(); err != nil {
		s.log.Info("job rejected", zap.String("id", id), zap.String("queue", q.Name), zap.String("error", err.Error()))
		return rcode.BadRequest, admit.Decision{}
	}
	raw, err := job.Encode()
	if err != nil {
		return rcode.Internal, admit.Decision{}
	}
	code, load := s.storeOrRefuse(ctx, c, job, raw, arrivedAt)
	if load.Refused() && code != rcode.OK {
		return code, load // logged as a refusal, at most maxRefusalLines a second
	}
	s.log.Info("job submitted", zap.String("id", id), zap.String("queue", q.Name), zap.String("team", team),
		zap.Int64("rules", s.ruleSet.Load().Version()), zap.String("code", string(code)),
		zap.Int64("took_ms", s.clk.Now().Sub(arrivedAt).Milliseconds()))
	return code, load
}

// Cancel cancels a job. It does not affect a job that is already complete.
func (s *Service) Cancel(ctx context.Context, c Call) Result {
	start := s.clk.Now()
	q, team, code := s.admit(c)
	if code == rcode.OK {
		code = s.cancel(ctx, c, q)
	}
	return s.result("cancel", q, team, c, code, admit.Decision{}, start)
}

func (s *Service) cancel(ctx context.Context, c Call, q *rules.Queue) rcode.Code {
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return rcode.JobUnknown
	}
	exists, code := s.jobExists(ctx, id)
	if code != rcode.OK {
		return code
	}
	if !exists {
		if code = s.refuseCancelled(ctx, id); code != rcode.OK {
			return code
		}
	}
	code = s.create(ctx, c, engine.CancelPrefix+id, []byte("{}"), rcode.OutcomeUnknown, s.clk.Now())
	s.log.Info("job cancelled", zap.String("id", id), zap.String("code", string(code)))
	return code
}

// State returns a job's state. A job that is stored but not yet known to the owner
// is queued.
func (s *Service) State(ctx context.Context, c Call) (sched.JobState, Result) {
	start := s.clk.Now()
	q, team, code := s.admit(c)
	var state sched.JobState
	if code == rcode.OK {
		state, code = s.state(ctx, c, q)
	}
	return state, s.result("state", q, team, c, code, admit.Decision{}, start)
}

func (s *Service) state(ctx context.Context, c Call, q *rules.Queue) (sched.JobState, rcode.Code) {
	id := strings.TrimPrefix(c.Path, q.Prefix)
	if !graph.ValidID(id) {
		return "", rcode.JobUnknown
	}
	status, err := s.jobAtOwner(ctx, id)
	if err == nil && status.Known {
		return status.State, rcode.OK
	}
	exists, code := s.jobStored(ctx, id)
	switch {
	case code != rcode.OK:
		return "", code
	case !exists:
		return "", rcode.JobUnknown
	case err == nil:
		return sched.JobQueued, rcode.OK
	default:
		return "", rcode.NoOwner
	}
}

// maxWaitingAge is the maximum age of the owner's report of waiting jobs.
const maxWaitingAge = 2 * time.Second

// Pending returns the number of jobs in a queue of which no task has started. The
// call's path must be the queue's prefix.
func (s *Service) Pending(c Call) (int, Result) {
	q, _, code := s.admit(c)
	n := 0
	if code == rcode.OK {
		n, code = s.pending(c, q)
	}
	return n, Result{code: code, retry: s.retryAdvice(c, code, nil)}
}

func (s *Service) pending(c Call, q *rules.Queue) (int, rcode.Code) {
	if c.Path != q.Prefix {
		return 0, rcode.QueueUnknown
	}
	reply := s.ownerReply.Load()
	if reply == nil || s.clk.Now().Sub(reply.sentAt) > maxWaitingAge {
		return 0, rcode.NoOwner
	}
	return reply.Waiting[q.Name], rcode.OK
}
