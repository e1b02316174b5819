package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// adviceTime is how long a call for advice takes, ticketValid how long a ticket lasts.
	adviceTime  = 15 * time.Millisecond
	ticketValid = 2500 * time.Millisecond
)

// adviser stands in for the advising service. It allows every step on every minion.
type adviser struct {
	mu      sync.Mutex
	tickets map[string]time.Time // when the ticket of a step, minion and value expires
}

func newAdviser() *adviser { return &adviser{tickets: make(map[string]time.Time)} }

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceTime)
	a.mu.Lock()
	defer a.mu.Unlock()
	allowed := [][]string{}
	for i, id := range call.Workers {
		ticket := fmt.Sprintf("t%d-%d", len(a.tickets), i)
		a.tickets[call.Step+" "+id+" "+ticket] = time.Now().Add(ticketValid)
		allowed = append(allowed, []string{id, ticket})
	}
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": ticketValid.Milliseconds()})
}

// valid reports whether a ticket is valid for a task on a minion.
func (a *adviser) valid(task, minion, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[stepOf(task)+" "+minion+" "+ticket])
}
