package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the usual time of an answer.
const storeDelay = 4 * time.Millisecond

type item struct {
	Key      string `json:"tls-key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made"`
	Lease    uint64 `json:"lease"`
}

type event struct {
	Key      string `json:"tls-key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []event
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	// busy makes the store answer 503 to every call; leases wait meanwhile.
	busy      bool
	busySince time.Time
	// delay is the time of an answer.
	delay time.Duration
	// unanswered counts the calls that were refused while the store was busy.
	refused int
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, lastLease: 1000, changed: make(chan struct{}), delay: storeDelay}
}

func (s *store) serve(l net.Listener) {
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
}

// setBusy begins or ends an outage in which all calls, also waiting watches, are answered 503.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy {
		s.busySince = time.Now()
	} else if s.busy {
		for _, l := range s.leases {
			l.expires = l.expires.Add(time.Since(s.busySince))
		}
	}
	s.busy = busy
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, i := range s.items {
		if i.Lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.revision++
	for _, key := range gone {
		s.remove(key)
	}
	s.notify()
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, event{Key: key, Revision: s.revision, Gone: true})
	}
}

func (s *store) put(key string, value []byte, lease uint64) {
	made := s.revision
	if old, found := s.items[key]; found {
		made = old.Made
	}
	i := item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, event{Key: key, Value: value, Revision: i.Revision, Made: i.Made, Lease: lease})
}

// operatorPut writes a key as the operator does.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		s.refused++
		reply(w, 503, map[string]string{})
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		i, found := s.items[q.Get("tls-key")]
		if !found {
			reply(w, 404, map[string]uint64{"at": s.revision})
			return
		}
		reply(w, 200, struct {
			item
			At uint64 `json:"at"`
		}{i, s.revision})
	case path == "/kv-range":
		s.rangeOf(w, q.Get("path-prefix"), q.Get("depends-on"))
	case path == "/kv-watch":
		s.watch(w, r, q.Get("path-prefix"), q.Get("depends-on"), q.Get("wait-ms"))
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl := max(time.Duration(body.TTL)*time.Millisecond, time.Second)
		s.lastLease++
		s.leases[s.lastLease] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, 200, map[string]uint64{"lease": s.lastLease, "ttl_ms": uint64(ttl.Milliseconds())})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]string{})
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		reply(w, 200, map[string]string{})
	default:
		reply(w, 400, map[string]string{})
	}
}

// maxValue is the largest value in bytes, as the settings of a process give it.
const maxValue = 1 << 20

// maxPage and maxPageBytes bound a page of a range.
const (
	maxPage      = 500
	maxPageBytes = 1 << 20
)

func (s *store) rangeOf(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	found, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(found) == maxPage || size > maxPageBytes {
			more = true
			break
		}
		found = append(found, s.items[key])
		size += len(s.items[key].Value)
	}
	reply(w, 200, map[string]any{"items": found, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	waitMillis, _ := strconv.Atoi(waitText)
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		if s.busy {
			reply(w, 503, map[string]string{})
			return
		}
		events := []event{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, e := range s.history[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		s.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if over {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Conditions []struct {
			Key      string `json:"tls-key"`
			Revision uint64 `json:"revision"`
		} `json:"if-revision"`
		Puts []struct {
			Key   string `json:"tls-key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"put"`
		Removes []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, map[string]string{"error": err.Error()})
		return
	}
	if n := len(body.Conditions) + len(body.Puts) + len(body.Removes); n > 32 {
		reply(w, 400, map[string]string{"error": fmt.Sprint(n, " entries")})
		return
	}
	current, failed := []item{}, false
	for _, c := range body.Conditions {
		i := s.items[c.Key]
		if i.Revision != c.Revision {
			failed = true
		}
		if i.Revision != 0 {
			current = append(current, i)
		}
	}
	if failed {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		if len(p.Value) > maxValue {
			reply(w, 400, map[string]string{"error": "the value is too large"})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]string{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]string{})
			return
		}
	}
	if len(body.Puts)+len(body.Removes) > 0 {
		s.revision++
		for _, p := range body.Puts {
			s.put(p.Key, p.Value, p.Lease)
		}
		for _, key := range body.Removes {
			s.remove(key)
		}
		s.notify()
	}
	reply(w, 200, map[string]uint64{"revision": s.revision})
}

// setDelay sets the time that the store takes to answer.
func (s *store) setDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}
