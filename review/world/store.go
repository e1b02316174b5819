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

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// maxTxnEntries is the number of entries that a transaction may have.
const maxTxnEntries = 32

// maxPageItems is the number of items in one page of a list.
const maxPageItems = 500

// item is a key in the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. Every transaction takes one revision, which all its
// keys share.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	return mux
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, struct {
		item
		AtRevision int64 `json:"at_revision"`
	}{it, at})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	out := struct {
		Items      []item `json:"items"`
		HasMore    bool   `json:"has_more"`
		AtRevision int64  `json:"at_revision"`
	}{Items: []item{}, AtRevision: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(out.Items) > maxPageItems {
		out.Items, out.HasMore = out.Items[:maxPageItems], true
	}
	reply(w, 200, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := struct {
			Events     []item `json:"events"`
			AtRevision int64  `json:"at_revision"`
		}{Events: []item{}, AtRevision: s.revision}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				out.Events = append(out.Events, it)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			time.Sleep(storeLatency)
			reply(w, 200, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// entry is a key and the value or the revision that a transaction names for it.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// transaction is the body of a transaction.
type transaction struct {
	Expected []entry  `json:"expected_revision"`
	Write    []entry  `json:"write"`
	Remove   []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > maxTxnEntries {
		reply(w, 400, struct{}{})
		return
	}
	for _, e := range t.Write {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			reply(w, 403, struct{}{})
			return
		}
	}
	revision, current, ok := s.commit(t)
	if !ok {
		reply(w, 412, struct {
			Items []item `json:"items"`
		}{current})
		return
	}
	reply(w, 200, struct {
		Revision int64 `json:"revision"`
	}{revision})
}

// commit applies a transaction. If its conditions don't hold it returns the items that they name.
func (s *store) commit(t transaction) (revision int64, current []item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, current = true, []item{}
	for _, e := range t.Expected {
		it, exists := s.items[e.Key]
		if exists {
			current = append(current, it)
		}
		ok = ok && it.Revision == e.Revision
	}
	if !ok {
		return 0, current, false
	}
	s.revision++
	for _, e := range t.Write {
		it := item{Key: e.Key, Value: e.Value, Revision: s.revision, Created: s.revision}
		if old, exists := s.items[e.Key]; exists {
			it.Created = old.Created
		}
		s.items[e.Key] = it
		s.history = append(s.history, it)
	}
	for _, key := range t.Remove {
		if _, exists := s.items[key]; exists {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision, nil, true
}

// put writes keys in one transaction, as the operator or a minion does. It returns the revision.
func (s *store) put(values map[string]any) int64 {
	var t transaction
	for key, v := range values {
		raw, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		t.Write = append(t.Write, entry{Key: key, Value: raw})
	}
	slices.SortFunc(t.Write, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	revision, _, _ := s.commit(t)
	return revision
}
