package fleet

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/kvtest"
)

// Store is a stand-in for the platform's key-value store: it serves a kvtest.Store over the platform's protocol and expires
// leases.
type Store struct {
	data *kvtest.Store

	mu     sync.Mutex
	leases map[kv.LeaseID]*lease
	down   bool
	delay  time.Duration
	// rate is the number of calls answered per second, 0 for no limit; left remains of it in the second that starts at
	// window.
	rate, left int
	window     time.Time
}

// lease is a granted lease with the timer that expires it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{data: kvtest.New(), leases: make(map[kv.LeaseID]*lease)}
}

// SetDown makes the store refuse all calls, or answer them again; leases expire while it is down.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay sets the delay of each answer.
func (s *Store) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetRate makes the store refuse calls beyond a number per second, 0 for no limit.
func (s *Store) SetRate(rate int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate, s.left, s.window = rate, rate, time.Now()
}

// overRate counts a call and reports whether it exceeds the rate limit; s.mu is held.
func (s *Store) overRate() bool {
	if s.rate == 0 {
		return false
	}
	if now := time.Now(); now.Sub(s.window) >= time.Second {
		s.left, s.window = s.rate, now
	}
	s.left--
	return s.left < 0
}

// SetFailure sets the function that selects the failure of each commit; nil ends the failures and applies the delayed
// commits.
func (s *Store) SetFailure(failure func() kvtest.Failure) {
	s.data.SetFailure(failure)
	if failure == nil {
		s.data.ApplyLate()
	}
}

// DelayPuts makes following commits that write a key late, an empty one for none.
func (s *Store) DelayPuts(key string) {
	s.data.SetDelays(func(change kv.Txn) bool {
		return slices.ContainsFunc(change.Puts, func(p kv.Put) bool { return p.Key == key })
	})
}

// ApplyLate applies the late commits.
func (s *Store) ApplyLate() { s.data.ApplyLate() }

// DropHistory drops the history, so that watches have to restart.
func (s *Store) DropHistory() { s.data.DropHistory() }

// Put writes a key as an operator.
func (s *Store) Put(key string, value []byte) error {
	return s.data.CommitAsOperator(kv.Txn{Puts: []kv.Put{{Key: key, Value: value}}})
}

// Remove removes a key as an operator.
func (s *Store) Remove(key string) error {
	return s.data.CommitAsOperator(kv.Txn{Removes: []string{key}})
}

// wireItem is an item in the platform's encoding.
type wireItem struct {
	Key      string `json:"tls-key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Gone     bool   `json:"gone,omitempty"`
}

// encodeItem returns an item in the platform's encoding.
func encodeItem(i kv.Item, gone bool) wireItem {
	return wireItem{Key: i.Key(), Value: i.Value(), Revision: uint64(i.Revision()), Gone: gone}
}

// Handle serves the store's protocol.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	down, delay, rateLimited := s.down, s.delay, s.overRate()
	s.mu.Unlock()
	switch {
	case down:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case rateLimited:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	if delay > 0 {
		<-time.After(delay)
	}
	path := string(ctx.Path())
	switch {
	case path == "/kv-key":
		s.get(ctx)
	case path == "/kv-range":
		s.list(ctx)
	case path == "/kv-watch":
		s.watch(ctx)
	case path == "/kv-txn":
		s.commit(ctx)
	case path == "/kv-lease":
		s.grant(ctx)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.keepAlive(ctx, path)
	case strings.HasPrefix(path, "/kv-lease-end/"):
		s.endLease(ctx, path)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// query returns a query parameter of a call.
func query(ctx *fasthttp.RequestCtx, name string) string { return string(ctx.QueryArgs().Peek(name)) }

func (s *Store) get(ctx *fasthttp.RequestCtx) {
	item, err := s.data.Get(ctx, query(ctx, "tls-key"))
	switch {
	case err != nil:
		writeError(ctx, err)
	case item.Revision() == 0:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		writeJSON(ctx, encodeItem(item, false))
	}
}

// maxItems limits the items of one answer.
const maxItems = 500

// list answers with a page of the items under a prefix that follow a key.
func (s *Store) list(ctx *fasthttp.RequestCtx) {
	items, at, err := s.data.Range(ctx, query(ctx, "path-prefix"))
	if err != nil {
		writeError(ctx, err)
		return
	}
	after := query(ctx, "depends-on")
	page, more := []wireItem{}, false
	for _, i := range items {
		switch {
		case after != "" && i.Key() <= after:
		case len(page) == maxItems:
			more = true
		default:
			page = append(page, encodeItem(i, false))
		}
	}
	writeJSON(ctx, map[string]any{"items": page, "more": more, "at": uint64(at)})
}

func (s *Store) watch(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(query(ctx, "depends-on"), 10, 64)
	wait, _ := strconv.ParseInt(query(ctx, "wait-ms"), 10, 64)
	events, at, err := s.data.Watch(context.Background(), query(ctx, "path-prefix"), kv.Revision(after), time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(ctx, err)
		return
	}
	encoded := make([]wireItem, 0, len(events))
	for _, e := range events {
		encoded = append(encoded, encodeItem(e.Item(), e.Removed()))
	}
	writeJSON(ctx, map[string]any{"events": encoded, "at": uint64(at)})
}

func (s *Store) commit(ctx *fasthttp.RequestCtx) {
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
	if !readJSON(ctx, &body) {
		return
	}
	change := kv.Txn{Removes: body.Removes}
	for _, c := range body.Conditions {
		change.Conditions = append(change.Conditions, kv.Condition{Key: c.Key, Revision: kv.Revision(c.Revision)})
	}
	for _, p := range body.Puts {
		change.Puts = append(change.Puts, kv.Put{Key: p.Key, Value: p.Value, Lease: kv.LeaseID(p.Lease)})
	}
	revision, err := s.data.Commit(ctx, change)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, map[string]any{"revision": uint64(revision)})
}

func (s *Store) grant(ctx *fasthttp.RequestCtx) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if !readJSON(ctx, &body) {
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	id, _ := s.data.Grant(ctx, ttl)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.expire(id) })}
	writeJSON(ctx, map[string]any{"lease": uint64(id), "ttl_ms": body.TTL})
}

func (s *Store) expire(id kv.LeaseID) {
	s.mu.Lock()
	delete(s.leases, id)
	s.mu.Unlock()
	s.data.Expire(id)
}

// leaseOf returns the lease id at the end of a path, 0 if there is none.
func leaseOf(path string) kv.LeaseID {
	id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	return kv.LeaseID(id)
}

func (s *Store) keepAlive(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseOf(path)]
	if l == nil || !l.timer.Reset(l.ttl) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) endLease(ctx *fasthttp.RequestCtx, path string) {
	s.expire(leaseOf(path))
	writeJSON(ctx, struct{}{})
}
