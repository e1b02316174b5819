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

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxPageItems is the number of items on one page of a range.
	maxPageItems = 500
	// maxTxnEntries and maxValueBytes are the store's limits.
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	deleted  bool
}

// event returns the change as a watch reports it.
func (i item) event() any {
	if i.deleted {
		return map[string]any{"key": i.Key, "revision": i.Revision, "deleted": true}
	}
	return i
}

// store stands in for the platform's store. It keeps all of its history.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{} // closed at the next change
	// down is whether the store is silent: calls that come or wait meanwhile have no effect
	// and are never answered.
	down bool
	// onRefused is called with each write that is refused because of its size.
	onRefused func(key string, bytes int)
}

func newStore() *store {
	return &store{rev: 1, items: make(map[string]item), changed: make(chan struct{}), onRefused: func(string, int) {}}
}

// put writes a key unconditionally, as the operator and the minions do.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]txnWrite{{Key: key, Value: raw}}, nil)
}

// get returns the value of a key, or nil.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// commit applies writes and removals at one new revision. The caller holds s.mu.
func (s *store) commit(writes []txnWrite, removes []string) {
	s.rev++
	for _, w := range writes {
		it := item{Key: w.Key, Value: w.Value, Revision: s.rev, Created: s.rev}
		if old, ok := s.items[w.Key]; ok {
			it.Created = old.Created
		}
		s.items[w.Key] = it
		s.history = append(s.history, it)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.rev, deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// link is one machine's way to the store.
type link struct {
	s  *store
	mu sync.Mutex
	// watching holds the connections that carry a waiting watch call, with its prefix.
	watching map[string]string
	// silent holds the connections that have gone silent: no call on them is answered.
	silent map[string]bool
}

func newLink(s *store) *link {
	return &link{s: s, watching: make(map[string]string), silent: make(map[string]bool)}
}

// silenceWatch has the connection that carries the watch of a prefix go silent for good. It
// waits until there is one. Other connections, and new ones, work.
func (l *link) silenceWatch(prefix string) {
	for {
		l.mu.Lock()
		for conn, p := range l.watching {
			if p == prefix {
				l.silent[conn] = true
				l.mu.Unlock()
				return
			}
		}
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

func (l *link) isSilent(conn string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent[conn]
}

// setWatching notes that a connection carries a watch call; an empty prefix ends that.
func (l *link) setWatching(conn, prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if prefix == "" {
		delete(l.watching, conn)
		return
	}
	l.watching[conn] = prefix
}

// ServeHTTP implements http.Handler.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.s.isDown() || l.isSilent(r.RemoteAddr) {
		<-r.Context().Done()
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/kv-key":
		time.Sleep(storeLatency)
		l.s.serveKey(w, r)
	case "GET /v1/kv-range":
		time.Sleep(storeLatency)
		l.s.serveRange(w, r)
	case "GET /v1/kv-watch":
		l.serveWatch(w, r)
	case "POST /v1/kv-txn":
		time.Sleep(storeLatency)
		l.s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{"at_revision": rev})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		AtRevision int64 `json:"at_revision"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > maxPageItems
	page = page[:min(len(page), maxPageItems)]
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "has_more": more, "at_revision": rev})
}

func (l *link) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	l.setWatching(r.RemoteAddr, prefix)
	defer l.setWatching(r.RemoteAddr, "")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		events := []any{}
		l.s.mu.Lock()
		rev, changed := l.s.rev, l.s.changed
		first, _ := slices.BinarySearchFunc(l.s.history, after+1, func(it item, rev int64) int { return int(it.Revision - rev) })
		for _, it := range l.s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it.event())
			}
		}
		l.s.mu.Unlock()
		if l.s.isDown() || l.isSilent(r.RemoteAddr) {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || over {
			time.Sleep(storeLatency)
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

type txnWrite struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type txnCondition struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []txnCondition `json:"expected_revision"`
		Write    []txnWrite     `json:"write"`
		Remove   []string       `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > maxTxnEntries {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "unreadable, or too many entries"})
		return
	}
	for _, wr := range t.Write {
		if len(wr.Value) > maxValueBytes {
			s.onRefused(wr.Key, len(wr.Value))
			writeJSON(w, http.StatusBadRequest, map[string]any{"error": "the value is larger than value_bytes"})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if s.items[c.Key].Revision != c.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	s.commit(t.Write, t.Remove)
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.rev})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
