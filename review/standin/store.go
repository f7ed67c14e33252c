package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as the platform encodes it.
type item struct {
	Key      string `json:"tls-key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// storeAnswerTime is how long the store takes to answer, as on the users' sheets.
const storeAnswerTime = 4 * time.Millisecond

// store is a stand-in for the platform's metadata store. It keeps its whole history and never fails.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]*lease
	last     uint64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{items: make(map[string]item), changed: make(chan struct{}), leases: make(map[uint64]*lease)}
}

// condition is one row of if-revision.
type condition struct {
	Key      string `json:"tls-key"`
	Revision uint64 `json:"revision"`
}

type put struct {
	Key   string `json:"tls-key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

type transaction struct {
	Conditions []condition `json:"if-revision"`
	Puts       []put       `json:"put"`
	Removes    []string    `json:"remove"`
}

// commit applies a transaction; it returns the status of the answer and the failed conditions' current items.
func (s *store) commit(t transaction) (int, []item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Conditions)+len(t.Puts)+len(t.Removes) > 32 {
		return http.StatusBadRequest, nil
	}
	failed := false
	current := []item{}
	for _, c := range t.Conditions {
		failed = failed || s.items[c.Key].Revision != c.Revision
		if found, ok := s.items[c.Key]; ok {
			current = append(current, found)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, current
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	if len(t.Puts)+len(t.Removes) == 0 {
		return http.StatusOK, nil
	}
	s.revision++
	for _, p := range t.Puts {
		made := s.items[p.Key].Made
		if made == 0 {
			made = s.revision
		}
		s.items[p.Key] = item{Key: p.Key, Value: p.Value, Revision: s.revision, Made: made, Lease: p.Lease}
		s.history = append(s.history, s.items[p.Key])
	}
	for _, key := range t.Removes {
		s.remove(key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, nil
}

// remove removes a key at the current revision; s.mu is held.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Gone: true})
	}
}

// endLease removes a lease and its keys.
func (s *store) endLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	query := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.get(w, query.Get("tls-key"))
	case path == "/kv-range":
		s.list(w, query.Get("path-prefix"), query.Get("depends-on"))
	case path == "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("depends-on"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		s.watch(w, r, query.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, current := s.commit(t)
		s.mu.Lock()
		revision := s.revision
		s.mu.Unlock()
		if status == http.StatusOK {
			answer(w, status, map[string]any{"revision": revision})
			return
		}
		answer(w, status, map[string]any{"items": current})
	case path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.keep(w, leaseID(path))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.endLease(leaseID(path))
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func leaseID(path string) uint64 {
	id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	return id
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, found)
}

// maxPage is the number of items of one page.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := []item{}
	for _, key := range keys[:min(len(keys), maxPage)] {
		page = append(page, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": page, "more": len(keys) > maxPage, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(body.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.last++
	id := s.last
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// answer writes a body as JSON.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
