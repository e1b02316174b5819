package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// condition requires that a key was last changed at a revision; 0 means that it does not exist.
type condition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// txn is the body of POST /v1/kv-txn.
type txn struct {
	Expected []condition `json:"expected_revision"`
	Write    []write     `json:"write"`
	Remove   []string    `json:"remove"`
}

// fate is what the store does with a transaction.
type fate struct {
	// silent leaves the call unanswered, and its connection with it.
	silent bool
	// delay is how much later a silent call is executed.
	delay time.Duration
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
	// fateOf decides about a transaction of the system; nil answers all.
	fateOf func(txn) fate
	// onChange is called with each change, in order, while mu is held.
	onChange func(item)
	// txns counts the transactions of the system.
	txns int
	// quit ends calls that are left unanswered.
	quit chan struct{}
}

func newStore(quit chan struct{}) *store {
	return &store{items: make(map[string]item), revision: 1, changed: make(chan struct{}), quit: quit}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	return mux
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		status = 500
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, it)
}

// maxPage is the number of items in a page of a range.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	out := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"has_more"`
		AtRevision int64  `json:"at_revision"`
	}{Items: []item{}, HasMore: len(keys) > maxPage, AtRevision: s.revision}
	for _, k := range keys[:min(len(keys), maxPage)] {
		out.Items = append(out.Items, s.items[k])
	}
	s.mu.Unlock()
	reply(w, 200, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(it item, rev int64) int { return int(it.Revision - rev) })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		out := struct {
			Events     []item `json:"events"`
			AtRevision int64  `json:"at_revision"`
		}{events, s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, out)
			return
		}
		select {
		case <-changed:
		case <-timer:
			reply(w, 200, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > 32 {
		reply(w, 400, struct{}{})
		return
	}
	var f fate
	s.mu.Lock()
	s.txns++
	if s.fateOf != nil {
		f = s.fateOf(t)
	}
	s.mu.Unlock()
	if !f.silent {
		status, body := s.execute(t)
		reply(w, status, body)
		return
	}
	if f.delay == 0 {
		s.execute(t)
	} else {
		time.AfterFunc(f.delay, func() { s.execute(t) })
	}
	select {
	case <-s.quit:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// execute runs a transaction and returns its answer.
func (s *store) execute(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	held := true
	for _, c := range t.Expected {
		it := s.items[c.Key]
		held = held && it.Revision == c.Revision
		if it.Revision != 0 {
			current = append(current, it)
		}
	}
	if !held {
		return 412, map[string]any{"items": current}
	}
	var changes []item
	for _, x := range t.Write {
		changes = append(changes, item{Key: x.Key, Value: x.Value})
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			changes = append(changes, item{Key: k, Deleted: true})
		}
	}
	s.apply(changes)
	return 200, map[string]any{"revision": s.revision}
}

// apply makes changes in one transaction. s.mu is held.
func (s *store) apply(changes []item) {
	s.revision++
	for _, c := range changes {
		c.Revision = s.revision
		c.Created = s.items[c.Key].Created
		if c.Created == 0 {
			c.Created = s.revision
		}
		s.history = append(s.history, c)
		if c.Deleted {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = c
		}
		if s.onChange != nil {
			s.onChange(c)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operators or a minion would.
func (s *store) put(key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: raw}})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply([]item{{Key: key, Deleted: true}})
	}
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}
