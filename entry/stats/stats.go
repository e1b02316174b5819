// Package stats holds the Prometheus metrics of a VM on a platform where one VM, the
// owner, schedules for all workers.
//
// # Usage
//
//	m := stats.New(log.Dropped)
//	m.SetLabelValues(queues, teams)
//	m.ObserveCall("submit", queue, team, rcode.OK, took)
//	handler := promhttp.HandlerFor(m.Registry(), promhttp.HandlerOpts{})
//
// The number of label values is bounded: queues and client accounts that are not in
// the configuration in force are reported as "other". All times are in seconds.
package stats

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"limpethitch.example/core/rcode"
	"limpethitch.example/entry/usage"
)

const (
	namespace  = "limpethitch"
	otherLabel = "other"
)

// Metrics holds the metrics of one VM. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry

	// mu guards queues and teams, which are the known label values, and usedBy, the teams with
	// series of past use.
	mu     sync.RWMutex
	queues map[string]bool
	teams  map[string]bool
	usedBy map[string]bool

	calls      *prometheus.HistogramVec
	results    *prometheus.CounterVec
	firstStart *prometheus.HistogramVec
	jobs       *prometheus.HistogramVec
	events     *prometheus.CounterVec
	advice     *prometheus.HistogramVec
	starts     *prometheus.CounterVec
	panics     *prometheus.CounterVec
	refused    *prometheus.CounterVec
	owner      prometheus.Gauge
	runs       prometheus.Gauge
	waiting    *prometheus.GaugeVec
	leaseHeld  prometheus.Gauge
	useShare   *prometheus.GaugeVec
	useWeight  *prometheus.GaugeVec
	useLevel   *prometheus.GaugeVec
	slow       prometheus.Gauge
	cutShort   *prometheus.CounterVec
	lostWork   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retryAfter *prometheus.GaugeVec
	restarts   prometheus.Counter
	outlived   prometheus.Counter
}

// New returns metrics with their own registry. droppedLines returns the number of log
// lines that were dropped since the start.
func New(droppedLines func() int64) *Metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 16)
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	total := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	teamGauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, []string{"team"})
	}
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		calls:      histogram("call_seconds", "Time from a caller's request to its response.", "call", "queue", "team"),
		results:    counter("results_total", "Responses to callers by result code.", "call", "queue", "team", "code"),
		firstStart: histogram("job_first_start_seconds", "Time from a job's acceptance to the first start of one of its tasks.", "queue", "team"),
		jobs:       histogram("job_seconds", "Time from a job's acceptance to its final state.", "queue", "team", "state"),
		events:     counter("events_total", "Events of the owner's journal, by kind and outcome.", "kind", "how"),
		advice:     histogram("advice_seconds", "Duration of the owner's advice requests.", "renewal"),
		starts:     counter("starts_total", "Start orders for workers, by outcome.", "outcome"),
		panics:     counter("panics_total", "Panics that ended the handling of one message, by component.", "component"),
		refused:    counter("clients_refused_total", "Connections and requests that a limit of clients ended, by port and reason.", "port", "reason"),
		owner:      gauge("owner", "1 while this VM is the owner."),
		slow:       gauge("slow_workers", "Workers whose runs take more than twice as long as expected, as known to the owner."),
		runs:       gauge("runs", "Runs that have not ended, as known to the owner."),
		leaseHeld:  gauge("workers_without_lease", "Workers whose leases the owner does not extend, because they do not answer."),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "waiting_steps", Help: "Steps that wait for a worker, as known to the owner, by priority.",
		}, []string{"priority"}),
		useShare:  teamGauge("past_use_share", "Decayed mean share of the fleet that an account held, as known to the owner."),
		useWeight: teamGauge("past_use_weight", "Weight that an account's past use is compared with."),
		useLevel:  teamGauge("past_use_level", "Place of an account in the order of waiting work by past use, 0 first."),
		cutShort:  counter("runs_cut_short_total", "Runs that ended without being done, by the reason of the stop, or failed or lost.", "queue", "reason"),
		lostWork:  counter("lost_core_seconds_total", "Work since the last known checkpoint of runs that were cut short.", "queue", "reason"),
		refusals:  counter("refusals_total", "Calls that were refused and may be sent again, by the reason of the refusal.", "reason", "queue", "team"),
		retryAfter: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "retry_after_seconds",
			Help: "Time after which the caller that was refused last may return, by the reason of the refusal.",
		}, []string{"reason"}),
		restarts: total("worker_restarts_total", "Workers that answered the owner as another incarnation under the same id."),
		outlived: total("runs_outlived_lease_total", "Runs that a worker listed after they were given up because its leases had ended."),
	}
	dropped := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_left_out_total",
		Help: "Log lines dropped because the buffer was full or the rate limit was exceeded.",
	}, func() float64 { return float64(droppedLines()) })
	m.registry.MustRegister(m.calls, m.results, m.firstStart, m.jobs, m.events, m.advice, m.starts, m.panics,
		m.refused, m.owner, m.runs, m.waiting, m.leaseHeld, m.useShare, m.useWeight, m.useLevel, m.slow, m.cutShort, m.lostWork, m.refusals, m.retryAfter, m.restarts, m.outlived, dropped,
		collectors.NewGoCollector())
	return m
}

// Registry returns the registry to serve.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// CountPanic counts a panic in a component.
func (m *Metrics) CountPanic(component string) { m.panics.WithLabelValues(component).Inc() }

// SetWorkersWithoutLease records how many workers' leases the owner does not extend.
func (m *Metrics) SetWorkersWithoutLease(n int) { m.leaseHeld.Set(float64(n)) }

// CountRefusedClient counts a connection or request that a limit of clients ended.
func (m *Metrics) CountRefusedClient(port, reason string) {
	m.refused.WithLabelValues(port, reason).Inc()
}

// SetLabelValues sets the queues and client accounts that get their own label values.
// It deletes the series of those that are no longer listed.
func (m *Metrics) SetLabelValues(queues, teams []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.queues = m.replaceValues(m.queues, queues, "queue")
	m.teams = m.replaceValues(m.teams, teams, "team")
}

// replaceValues returns the new set of values of a label and deletes the series of the
// old values that are not in it.
func (m *Metrics) replaceValues(old map[string]bool, values []string, label string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	for v := range old {
		if set[v] {
			continue
		}
		match := prometheus.Labels{label: v}
		m.calls.DeletePartialMatch(match)
		m.results.DeletePartialMatch(match)
		m.firstStart.DeletePartialMatch(match)
		m.jobs.DeletePartialMatch(match)
		m.cutShort.DeletePartialMatch(match)
		m.lostWork.DeletePartialMatch(match)
		m.refusals.DeletePartialMatch(match)
	}
	return set
}

// labelValues returns the label values for a queue and a client account. The caller
// holds m.mu.
func (m *Metrics) labelValues(queue, team string) (string, string) {
	if !m.queues[queue] {
		queue = otherLabel
	}
	if !m.teams[team] {
		team = otherLabel
	}
	return queue, team
}

// ObserveCall records a response to a caller.
func (m *Metrics) ObserveCall(call, queue, team string, code rcode.Code, took time.Duration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	queue, team = m.labelValues(queue, team)
	m.calls.WithLabelValues(call, queue, team).Observe(took.Seconds())
	m.results.WithLabelValues(call, queue, team, string(code)).Inc()
}

// ObserveRefusal records a call that was refused and may be sent again after a number of
// seconds.
func (m *Metrics) ObserveRefusal(reason, queue, team string, retryAfter int) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	queue, team = m.labelValues(queue, team)
	m.refusals.WithLabelValues(reason, queue, team).Inc()
	m.retryAfter.WithLabelValues(reason).Set(float64(retryAfter))
}

// ObserveJob records a job that reached its final state. firstStart is negative if no
// task was started.
func (m *Metrics) ObserveJob(queue, team, state string, took, firstStart time.Duration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	queue, team = m.labelValues(queue, team)
	m.jobs.WithLabelValues(queue, team, state).Observe(took.Seconds())
	if firstStart >= 0 {
		m.firstStart.WithLabelValues(queue, team).Observe(firstStart.Seconds())
	}
}

// CountEvent counts an event of the journal.
func (m *Metrics) CountEvent(kind, how string) { m.events.WithLabelValues(kind, how).Inc() }

// ObserveAdvice records an advice request.
func (m *Metrics) ObserveAdvice(renewal bool, took time.Duration) {
	label := "no"
	if renewal {
		label = "yes"
	}
	m.advice.WithLabelValues(label).Observe(took.Seconds())
}

// SetSlowWorkers sets the number of slow workers.
func (m *Metrics) SetSlowWorkers(n int) { m.slow.Set(float64(n)) }

// CountCutShort counts a run that ended without being done, and the work that was lost with it.
func (m *Metrics) CountCutShort(queue, reason string, lostCoreSeconds float64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	queue, _ = m.labelValues(queue, "")
	m.cutShort.WithLabelValues(queue, reason).Inc()
	m.lostWork.WithLabelValues(queue, reason).Add(max(0, lostCoreSeconds))
}

// CountWorkerRestart counts a worker that answered as another incarnation.
func (m *Metrics) CountWorkerRestart() { m.restarts.Inc() }

// CountRunOutlivedLease counts a run that was listed after it was given up.
func (m *Metrics) CountRunOutlivedLease() { m.outlived.Inc() }

// CountStart counts a start order by its outcome.
func (m *Metrics) CountStart(outcome string) { m.starts.WithLabelValues(outcome).Inc() }

// SetOwner sets whether this VM is the owner, the number of runs that have not ended,
// and the number of steps that wait for a worker by priority.
func (m *Metrics) SetOwner(owner bool, runs int, waiting [3]int) {
	value := 0.0
	if owner {
		value = 1
	}
	m.owner.Set(value)
	m.runs.Set(float64(runs))
	for priority, n := range waiting {
		m.waiting.WithLabelValues(string(rune('0' + priority))).Set(float64(n))
	}
}

// SetPastUse sets the past use of all client accounts. Those that are not in the
// configuration in force have no place in the order and are left out.
func (m *Metrics) SetPastUse(accounts []usage.Account) {
	m.mu.Lock()
	defer m.mu.Unlock()
	former := m.usedBy
	m.usedBy = make(map[string]bool, len(accounts))
	for _, a := range accounts {
		if m.teams[a.Name] {
			m.usedBy[a.Name] = true
			m.useShare.WithLabelValues(a.Name).Set(a.Share)
			m.useWeight.WithLabelValues(a.Name).Set(a.Weight)
			m.useLevel.WithLabelValues(a.Name).Set(float64(a.Level))
		}
	}
	// Series that stay are not deleted for a moment, in which a reader would miss them.
	for name := range former {
		if !m.usedBy[name] {
			m.useShare.DeleteLabelValues(name)
			m.useWeight.DeleteLabelValues(name)
			m.useLevel.DeleteLabelValues(name)
		}
	}
}
