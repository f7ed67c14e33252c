package platform

import (
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/saffronpulley/saffronpulley/internal/store"
)

// Store is a stand-in for the platform's key-value service.
type Store struct {
	faults Faults

	mu      sync.Mutex
	changed chan struct{}
	records map[string][]record
	leases  map[string]leaseRecord
	reads   int64
	writes  int64
}

type record struct {
	version uint64
	value   []byte
}

type leaseRecord struct {
	holder string
	until  time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{}), records: make(map[string][]record), leases: make(map[string]leaseRecord)}
}

// Handle serves the store's protocol.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/control/stats":
		s.stats(ctx)
	case strings.HasPrefix(path, "/control/"):
		s.faults.Control(ctx)
	case !s.faults.Enter(ctx):
	case strings.HasPrefix(path, "/v1/keys/") && ctx.IsGet():
		s.get(ctx, name(ctx, "/v1/keys/"))
	case strings.HasPrefix(path, "/v1/keys/") && ctx.IsPut():
		s.swap(ctx, name(ctx, "/v1/keys/"))
		s.faults.LoseAnswer(ctx)
	case strings.HasPrefix(path, "/v1/leases/"):
		s.lease(ctx, name(ctx, "/v1/leases/"))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func name(ctx *fasthttp.RequestCtx, prefix string) string {
	decoded, err := url.PathUnescape(strings.TrimPrefix(string(ctx.URI().PathOriginal()), prefix))
	if err != nil {
		return ""
	}
	return decoded
}

func (s *Store) stats(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(ctx, map[string]int64{"reads": s.reads, "writes": s.writes})
}

func (s *Store) get(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		latest, changed := s.latest(key), s.changed
		s.mu.Unlock()
		if wait == 0 || latest.version > after {
			s.answer(ctx, latest)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(ctx, latest)
			return
		}
	}
}

// latest returns the newest record, or an older one while stale answers are requested; s.mu is held.
func (s *Store) latest(key string) record {
	records := s.records[key]
	if len(records) == 0 {
		return record{}
	}
	return records[max(len(records)-1-s.faults.Behind(), 0)]
}

func (s *Store) answer(ctx *fasthttp.RequestCtx, r record) {
	ctx.Response.Header.Set(store.HeaderVersion, strconv.FormatUint(r.version, 10))
	ctx.SetBody(r.value)
}

const maxVersions = 8

func (s *Store) swap(ctx *fasthttp.RequestCtx, key string) {
	from, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(store.HeaderVersion)), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	records := s.records[key]
	current := uint64(0)
	if len(records) > 0 {
		current = records[len(records)-1].version
	}
	if len(ctx.Request.Body()) > 1<<20 {
		ctx.Error("the value exceeds one mebibyte", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	if current != from {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		ctx.Response.Header.Set(store.HeaderVersion, strconv.FormatUint(current, 10))
		return
	}
	records = append(records, record{version: current + 1, value: append([]byte(nil), ctx.Request.Body()...)})
	if len(records) > maxVersions {
		records = records[len(records)-maxVersions:]
	}
	s.records[key] = records
	close(s.changed)
	s.changed = make(chan struct{})
	ctx.Response.Header.Set(store.HeaderVersion, strconv.FormatUint(current+1, 10))
}

func (s *Store) lease(ctx *fasthttp.RequestCtx, key string) {
	holder := string(ctx.Request.Header.Peek(store.HeaderHolder))
	millis, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(store.HeaderRemaining)), 10, 64)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.leases[key]
	if current.until.Before(now) {
		current = leaseRecord{}
	}
	switch {
	case ctx.IsGet():
		s.reads++
	case current.holder != "" && current.holder != holder:
		s.writes++
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case ctx.IsDelete():
		s.writes++
		delete(s.leases, key)
		current = leaseRecord{}
	default:
		s.writes++
		current = leaseRecord{holder: holder, until: now.Add(time.Duration(millis) * time.Millisecond)}
		s.leases[key] = current
	}
	remaining := max(current.until.Sub(now), 0)
	ctx.Response.Header.Set(store.HeaderHolder, current.holder)
	ctx.Response.Header.Set(store.HeaderRemaining, strconv.FormatInt(remaining.Milliseconds(), 10))
}
