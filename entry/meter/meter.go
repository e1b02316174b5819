// Package meter has the Prometheus metrics of an entry VM.
//
// # Usage
//
//	m := meter.New()
//	m.SetTeams([]string{"ana", "schools"})
//	m.ObserveRequest(policy.ClassInteractive, "ana", rcode.OK, took)
//	handler := promhttp.HandlerFor(m.Registry(), promhttp.HandlerOpts{})
//
// The number of time series is bounded: classes and codes are fixed sets, and teams
// are those of the bundle in force. Any other value gets the label "other". The
// series of a team are deleted when a bundle no longer contains it.
package meter

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"limpethitch.example/core/amount"
	"limpethitch.example/core/policy"
	"limpethitch.example/core/rcode"
)

const (
	namespace = "limpethitch"
	// otherLabel is the label of teams and classes without one of their own.
	otherLabel = "other"
)

// Metrics are the metrics of one VM. They are safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	// mu is held for reading while a team's series are updated, so that none is
	// created again after SetTeams has deleted it.
	mu             sync.RWMutex
	teams          map[string]bool
	requests       *prometheus.HistogramVec
	taskWaits      *prometheus.HistogramVec
	results        *prometheus.CounterVec
	running        *prometheus.GaugeVec
	teamLimit      *prometheus.GaugeVec
	taskStarts     *prometheus.CounterVec
	shardAuthority *prometheus.GaugeVec
	policyVersion  prometheus.Gauge
	policyAge      prometheus.Gauge
	storeCalls     *prometheus.CounterVec
	shardFree      *prometheus.GaugeVec
}

// New returns metrics in a new registry.
func New() *Metrics {
	labels := []string{"class", "team"}
	seconds := prometheus.ExponentialBuckets(0.0005, 2, 18)
	m := &Metrics{registry: prometheus.NewRegistry()}
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_seconds", Help: "Time from the arrival of a request to its response.", Buckets: seconds,
	}, labels)
	m.taskWaits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "task_wait_seconds", Help: "Time from a job's acceptance to the start of a task.",
		Buckets: prometheus.ExponentialBuckets(0.005, 2, 20),
	}, labels)
	m.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "results_total", Help: "Results by code.",
	}, append(labels, "code"))
	m.running = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "team_running", Help: "Resources that a team is running on this VM's shards.",
	}, []string{"team", "resource"})
	m.teamLimit = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "team_limit", Help: "A team's upper limit across the fleet.",
	}, []string{"team", "resource"})
	m.taskStarts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "task_starts_total", Help: "Task starts by result code.",
	}, []string{"class", "code"})
	m.shardAuthority = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "shard_authority", Help: "1 while this VM owns the shard in the given mode.",
	}, []string{"shard", "mode"})
	m.policyVersion = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "policy_version", Help: "Version of the bundle in use."})
	m.policyAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "policy_age_seconds", Help: "Age of the proof that the bundle is current.",
	})
	m.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_calls_total", Help: "Calls to the platform's store by kind and result code.",
	}, []string{"kind", "code"})
	m.shardFree = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "shard_free", Help: "Free capacity of an owned shard.",
	}, []string{"shard", "resource"})
	m.registry.MustRegister(m.requests, m.taskWaits, m.results, m.running, m.teamLimit, m.taskStarts, m.shardAuthority, m.policyVersion, m.policyAge,
		m.storeCalls, m.shardFree, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry with all metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// SetTeams sets the teams that get labels of their own, and deletes the series of teams
// that are no longer among them.
func (m *Metrics) SetTeams(names []string) {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.teams {
		if !set[name] {
			m.deleteTeamLocked(name)
		}
	}
	m.teams = set
}

// deleteTeamLocked deletes the series of a team; mu is held for writing.
func (m *Metrics) deleteTeamLocked(team string) {
	label := prometheus.Labels{"team": team}
	m.requests.DeletePartialMatch(label)
	m.taskWaits.DeletePartialMatch(label)
	m.results.DeletePartialMatch(label)
	m.running.DeletePartialMatch(label)
	m.teamLimit.DeletePartialMatch(label)
}

// teamLabelLocked returns the label of a team; mu is held.
func (m *Metrics) teamLabelLocked(name string) string {
	if m.teams[name] {
		return name
	}
	return otherLabel
}

// classLabel returns the label of a class.
func classLabel(c policy.Class) string {
	if slices.Contains(policy.Classes(), c) {
		return string(c)
	}
	return otherLabel
}

// codeLabel returns the label of a code. Unknown codes, which a VM with a newer version
// may send, get that of rcode.Internal.
func codeLabel(c rcode.Code) string { return string(c.Info().Code()) }

// ObserveRequest records a response and the time from the request to it.
func (m *Metrics) ObserveRequest(c policy.Class, team string, code rcode.Code, took time.Duration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	team = m.teamLabelLocked(team)
	m.requests.WithLabelValues(classLabel(c), team).Observe(took.Seconds())
	m.results.WithLabelValues(classLabel(c), team, codeLabel(code)).Inc()
}

// ObserveWait records the time from a job's acceptance to the start of a task.
func (m *Metrics) ObserveWait(c policy.Class, team string, waited time.Duration) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	m.taskWaits.WithLabelValues(classLabel(c), m.teamLabelLocked(team)).Observe(waited.Seconds())
}

// CountStart counts an attempt to start a task on a worker, by result code.
func (m *Metrics) CountStart(c policy.Class, code rcode.Code) {
	m.taskStarts.WithLabelValues(classLabel(c), codeLabel(code)).Inc()
}

// SetTeamUsage sets what a team runs on this VM's shards, and its limit across the
// fleet. Teams that are not in the bundle are ignored.
func (m *Metrics) SetTeamUsage(name string, running, limit amount.Vec) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.teams[name] {
		return
	}
	set := func(g *prometheus.GaugeVec, v amount.Vec) {
		g.WithLabelValues(name, "cpu_milli").Set(float64(v.CPUMilli()))
		g.WithLabelValues(name, "memory_mib").Set(float64(v.MemoryMiB()))
		g.WithLabelValues(name, "accelerators").Set(float64(v.Accelerators()))
		g.WithLabelValues(name, "requests").Set(float64(v.Requests()))
	}
	set(m.running, running)
	set(m.teamLimit, limit)
}

// SetShard sets the mode in which this VM owns a shard, and the shard's free resources
// and task slots. Mode "none" deletes the shard's series.
func (m *Metrics) SetShard(name, mode string, free amount.Vec, slots int) {
	m.shardAuthority.DeletePartialMatch(prometheus.Labels{"shard": name})
	if mode == "none" {
		m.shardFree.DeletePartialMatch(prometheus.Labels{"shard": name})
		return
	}
	m.shardAuthority.WithLabelValues(name, mode).Set(1)
	m.shardFree.WithLabelValues(name, "cpu_milli").Set(float64(free.CPUMilli()))
	m.shardFree.WithLabelValues(name, "memory_mib").Set(float64(free.MemoryMiB()))
	m.shardFree.WithLabelValues(name, "accelerators").Set(float64(free.Accelerators()))
	m.shardFree.WithLabelValues(name, "slots").Set(float64(slots))
}

// SetPolicy sets the version of the bundle in use and the age of the proof that it is
// current.
func (m *Metrics) SetPolicy(version int64, age time.Duration) {
	m.policyVersion.Set(float64(version))
	m.policyAge.Set(age.Seconds())
}

// CountStoreCall counts a call to the platform's store, by kind and result code.
func (m *Metrics) CountStoreCall(kind string, code rcode.Code) {
	m.storeCalls.WithLabelValues(kind, codeLabel(code)).Inc()
}
