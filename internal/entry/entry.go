package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/saffronpulley/saffronpulley/internal/catalog"
	"github.com/saffronpulley/saffronpulley/internal/idempotency"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/metric"
	"github.com/saffronpulley/saffronpulley/internal/routing"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// Timing holds the waits of an entry.
type Timing struct {
	// List is how often the list of VMs is read.
	List time.Duration
	// Subscribe is how often each lead is asked whether it still is one.
	Subscribe time.Duration
	// Keys is how often the owners of keys are looked at.
	Keys time.Duration
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline time.Duration
	// Drain is how long requests in flight may take at a planned stop.
	Drain time.Duration
	// DrainAnnounce is how long the entry still takes requests after it says that it is not ready.
	DrainAnnounce time.Duration
}

// Config is what an entry needs of its process.
type Config struct {
	ID          string
	Hall        string
	Secret      string
	PeerAddress string
	Timing      Timing
	Store       store.Store
	VMs         vmlist.List
	Logger      logging.Logger
	Clock       *timeline.Clock
	Recorder    *timeline.Recorder
	Metrics     *metric.Registry
}

const refusalsPerSecond = 5

// Entry is the process on an entry VM.
type Entry struct {
	Config
	catalog *catalog.Catalog
	rows    *store.Document[table.Table]
	keys    *keyring
	done    chan struct{}
	leaving atomic.Bool
	open    atomic.Int64
	numbers requestNumbers
	// refusals bounds how many refused requests go onto the time line.
	refusals *rate.Limiter

	mu      sync.Mutex
	budgets map[string]*routing.RetryBudget
}

// New returns an entry that has not begun.
func New(config Config) *Entry {
	e := &Entry{
		Config:  config,
		catalog: catalog.New(config.Hall),
		rows:    store.NewDocument(config.Store, leader.TableKey, leader.TableCodec()),
		done:    make(chan struct{}),
		budgets: make(map[string]*routing.RetryBudget),
		numbers: newRequestNumbers(config.ID),

		refusals: rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
	}
	e.keys = newKeyring(e, idempotency.NewKeys())
	return e
}

// Done returns the channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Ready reports whether the entry can serve: it has the table and knows a lead of each cell, or knew one.
func (e *Entry) Ready() bool {
	_, _, loaded := e.rows.Current()
	return loaded && !e.leaving.Load() && (e.catalog.HasLeaders() || len(e.catalog.AgentEndpoints()) > 0)
}

// Run works until ctx ends, and then finishes the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, work := errgroup.WithContext(work)
	follower := &catalog.Follower{
		Catalog: e.catalog, Entry: e.ID, Secret: e.Secret, Store: e.Store, VMs: e.VMs,
		List: e.Timing.List, Subscribe: e.Timing.Subscribe, Logger: e.Logger.Named("catalog"), Clock: e.Clock,
	}
	group.Go(func() error { return follower.Run(work) })
	group.Go(func() error { return e.followTable(work) })
	group.Go(func() error { return e.keys.run(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.stop(work)
			cancel()
		case <-work.Done():
		}
		return nil
	})
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func (e *Entry) followTable(ctx context.Context) error {
	store.Follow(ctx, e.rows, func(t table.Table, _ store.Version) {
		e.Recorder.Record(timeline.TableChanged, timeline.Subject{}, "the table changed")
		e.Logger.Info("table version %d is in force", t.Version())
	}, func(err error) { e.Logger.Debug("cannot watch the table: %v", err) })
	return ctx.Err()
}

const drainPoll = 20 * time.Millisecond

// stop tells the balancer first, then refuses what is new, hands over its keys and finishes what is in flight.
func (e *Entry) stop(ctx context.Context) {
	e.Logger.Info("stopping, with %d requests in flight", e.open.Load())
	e.Recorder.Record(timeline.ProcessStopping, timeline.Subject{}, "the entry stops")
	e.leaving.Store(true)
	store.Pause(ctx, e.Timing.DrainAnnounce)
	e.keys.handOver(ctx)
	end := time.Now().Add(e.Timing.Drain)
	for e.open.Load() > 0 && time.Now().Before(end) {
		store.Pause(ctx, drainPoll)
	}
}

// table returns the latest table that was seen.
func (e *Entry) table() table.Table {
	t, _, _ := e.rows.Current()
	return t
}

// spendRetry takes a retry from the budget of a service.
func (e *Entry) spendRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Spend()
}

// countRequest adds a first try to the budget of a service.
func (e *Entry) countRequest(service string, percent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(service).AddRequest(percent)
}

// budget returns the retry budget of a service; e.mu is held.
func (e *Entry) budget(service string) *routing.RetryBudget {
	b, ok := e.budgets[service]
	if !ok {
		b = &routing.RetryBudget{}
		e.budgets[service] = b
	}
	return b
}
