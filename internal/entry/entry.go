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

// Timing holds the intervals and timeouts of an entry.
type Timing struct {
	// List is the interval at which the list of VMs is read.
	List time.Duration
	// Subscribe is the interval at which the subscription to each leader is renewed, which also checks its leadership.
	Subscribe time.Duration
	// Keys is the interval at which the slots of keys are reconciled with the owners document.
	Keys time.Duration
	// DefaultDeadline is the deadline of requests without one.
	DefaultDeadline time.Duration
	// Drain is the maximum time for requests in flight at a planned stop.
	Drain time.Duration
	// DrainAnnounce is how long the entry still accepts requests after it reports that it is not ready.
	DrainAnnounce time.Duration
}

// Config holds the settings and dependencies of an entry.
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
	catalog       *catalog.Catalog
	tableDocument *store.Document[table.Table]
	keys          *keyOwner
	done          chan struct{}
	leaving       atomic.Bool
	inFlight      atomic.Int64
	requestIDs    requestIDGenerator
	// refusals limits the rate at which refused requests are recorded on the timeline.
	refusals *rate.Limiter

	mu      sync.Mutex
	budgets map[string]*routing.RetryBudget
}

// New returns an entry that is not running yet.
func New(config Config) *Entry {
	e := &Entry{
		Config:        config,
		catalog:       catalog.New(config.Hall),
		tableDocument: store.NewDocument(config.Store, leader.TableKey, leader.TableCodec()),
		done:          make(chan struct{}),
		budgets:       make(map[string]*routing.RetryBudget),
		requestIDs:    newRequestIDGenerator(config.ID),

		refusals: rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
	}
	e.keys = newKeyOwner(e, idempotency.NewKeys())
	return e
}

// Done returns the channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Ready reports whether the entry can serve: the table is loaded, the entry is not stopping, and each cell has a leader or
// there are still endpoints.
func (e *Entry) Ready() bool {
	_, _, loaded := e.tableDocument.Current()
	return loaded && !e.leaving.Load() && (e.catalog.HasLeaders() || len(e.catalog.AgentEndpoints()) > 0)
}

// Run runs the entry until ctx ends, and then waits for the requests in flight.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.done)
	workContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workContext := errgroup.WithContext(workContext)
	follower := &catalog.Follower{
		Catalog: e.catalog, Entry: e.ID, Secret: e.Secret, Store: e.Store, VMs: e.VMs,
		List: e.Timing.List, Subscribe: e.Timing.Subscribe, Logger: e.Logger.Named("catalog"), Clock: e.Clock,
	}
	group.Go(func() error { return follower.Run(workContext) })
	group.Go(func() error { return e.followTable(workContext) })
	group.Go(func() error { return e.keys.run(workContext) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.stop(workContext)
			cancel()
		case <-workContext.Done():
		}
		return nil
	})
	if err := group.Wait(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

func (e *Entry) followTable(ctx context.Context) error {
	store.Follow(ctx, e.tableDocument, func(t table.Table, _ store.Version) {
		e.Recorder.Record(timeline.TableChanged, timeline.Subject{}, "the table changed")
		e.Logger.Info("table version %d is in force", t.Version())
	}, func(err error) { e.Logger.Debug("cannot watch the table: %v", err) })
	return ctx.Err()
}

const drainPollInterval = 20 * time.Millisecond

// stop reports the entry as not ready, gives the load balancer time to react, hands over the keys while refusing new
// requests, and waits for those in flight.
func (e *Entry) stop(ctx context.Context) {
	e.Logger.Info("stopping with %d requests in flight", e.inFlight.Load())
	e.Recorder.Record(timeline.ProcessStopping, timeline.Subject{}, "the entry is stopping")
	e.leaving.Store(true)
	store.Pause(ctx, e.Timing.DrainAnnounce)
	e.keys.handOver(ctx)
	end := time.Now().Add(e.Timing.Drain)
	for e.inFlight.Load() > 0 && time.Now().Before(end) {
		store.Pause(ctx, drainPollInterval)
	}
}

// table returns the latest table that the entry has read.
func (e *Entry) table() table.Table {
	t, _, _ := e.tableDocument.Current()
	return t
}

// spendRetry takes a retry from the budget of a service and reports whether one was left.
func (e *Entry) spendRetry(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Spend()
}

// countRequest adds the first attempt of a request to the retry budget of a service.
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
