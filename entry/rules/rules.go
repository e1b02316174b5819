// Package rules holds the job configuration in force: queues, client accounts and limits
// of requests. It is for a platform whose operators write the configuration to the store
// themselves.
//
// # Usage
//
//	set := rules.New(version, queues, teams, limits)
//	q, ok := set.Match(host, path)
//	team, ok := set.TeamByKey(key)
//
// A Set is immutable; each version of the configuration is a new Set.
package rules

import (
	"cmp"
	"slices"
	"strings"

	"limpethitch.example/core/amount"
)

// AdviceConfig describes the calls to the advising service for the steps of a queue's jobs.
// The service decides which workers may run a step.
type AdviceConfig struct {
	// BaseMS is the duration of a call.
	BaseMS float64 `json:"base"`
	// PerWorkerMS is the additional time per worker in a call.
	PerWorkerMS float64 `json:"worker"`
	// ValidMS is how long a ticket is valid.
	ValidMS int64 `json:"valid"`
}

// CostMS returns the duration of a call about a number of workers, in milliseconds.
func (a *AdviceConfig) CostMS(workers int) int64 {
	return int64(a.BaseMS + a.PerWorkerMS*float64(workers))
}

// Queue accepts jobs for a host name and a path prefix. What concerns its accepted jobs is
// stored with each of them as JSON.
type Queue struct {
	Name   string `json:"-"`
	Host   string `json:"-"`
	Prefix string `json:"-"`
	// Service names the workers that run the queue's tasks.
	Service string `json:"service"`
	// Priority orders the queues; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs of one task after which its job fails.
	MaxAttempts int `json:"attempts"`
	// StretchFactor and TargetMS define the objective of a job's duration: StretchFactor
	// times the run time of its critical path, plus TargetMS.
	StretchFactor float64 `json:"stretch"`
	TargetMS      int64   `json:"target,omitempty"`
	// Public queues accept jobs without an API key.
	Public bool `json:"-"`
	// Advice is nil if every worker may run every step of the queue's jobs.
	Advice *AdviceConfig `json:"advice,omitempty"`
}

// Team is a client account.
type Team struct {
	Name    string
	APIKeys []string
	// Rate is the number of jobs per second that the account is entitled to under
	// overload.
	Rate float64
	// Limit is the maximum of resources in use at one time; 0 in a dimension is
	// unlimited.
	Limit amount.Vec
}

// Limits restricts the requests of callers.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request's body; 0 leaves the default of the
	// process.
	MaxBodyBytes int
	// HeaderTimeoutMS is how long the head of a request may take to arrive, IdleTimeoutMS how
	// long a connection may be without a request; 0 leaves the defaults of the process.
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// Set is an immutable version of the configuration.
type Set struct {
	version     int64
	queues      []Queue // longest prefix first
	teams       map[string]Team
	teamByKey   map[string]string // names of client accounts
	queueByName map[string]int    // indexes in queues
	limits      Limits
}

// New returns a Set. Match prefers the queue with the longest prefix.
func New(version int64, queues []Queue, teams []Team, limits Limits) *Set {
	s := &Set{
		version: version, queues: slices.Clone(queues), limits: limits,
		teams: make(map[string]Team, len(teams)), teamByKey: make(map[string]string), queueByName: make(map[string]int),
	}
	slices.SortStableFunc(s.queues, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	for i, q := range s.queues {
		s.queueByName[q.Name] = i
	}
	for _, t := range teams {
		s.teams[t.Name] = t
		for _, k := range t.APIKeys {
			s.teamByKey[k] = t.Name
		}
	}
	return s
}

// Version returns the version. Versions increase, but not always by 1.
func (s *Set) Version() int64 { return s.version }

// Limits returns the limits of requests.
func (s *Set) Limits() Limits { return s.limits }

// Names returns the names of all queues and of all client accounts.
func (s *Set) Names() (queues, teams []string) {
	for i := range s.queues {
		queues = append(queues, s.queues[i].Name)
	}
	for name := range s.teams {
		teams = append(teams, name)
	}
	return queues, teams
}

// Match returns the queue with the longest prefix that matches a request.
func (s *Set) Match(host, path string) (*Queue, bool) {
	for i := range s.queues {
		q := &s.queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return nil, false
}

// Queue returns the queue with the given name.
func (s *Set) Queue(name string) (*Queue, bool) {
	i, ok := s.queueByName[name]
	if !ok {
		return nil, false
	}
	return &s.queues[i], true
}

// TeamByKey returns the name of the client account that an API key belongs to.
func (s *Set) TeamByKey(key string) (string, bool) {
	name, ok := s.teamByKey[key]
	return name, ok
}

// Team returns the client account with the given name. An account that is not configured
// has no limits.
func (s *Set) Team(name string) Team { return s.teams[name] }
