package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/interference"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/scheduling"
	"github.com/saffronpulley/saffronpulley/internal/sizing"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/table"
	"github.com/saffronpulley/saffronpulley/internal/task"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

// Timing holds the intervals and limits of a leader.
type Timing struct {
	// Lease is the duration of the cell's lease unless it is renewed.
	Lease time.Duration
	// Heartbeat is the expected interval between the heartbeats of an agent.
	Heartbeat time.Duration
	// CommitWindow is how long changes that are not urgent are collected for one commit.
	CommitWindow time.Duration
	// List is the interval between reads of the list of VMs.
	List time.Duration
	// CommitRate is the maximum average rate of commits in bytes per second.
	CommitRate int
}

// Config is the configuration of a leader.
type Config struct {
	Cell     string
	Agent    string
	Address  string
	Timing   Timing
	Store    store.Store
	VMs      vmlist.List
	Logger   logging.Logger
	Recorder *timeline.Recorder
}

// Leader is the leader of one cell, from the acquisition of the cell's lease to its loss.
type Leader struct {
	Config
	document      *store.Document[*cell.Document]
	tableDocument *store.Document[table.Table]
	done          chan struct{}
	changed       chan struct{}
	pushQueue     chan string

	mu          sync.Mutex
	epoch       uint64
	revision    uint64
	leaseEnd    time.Time
	startedAt   time.Time
	storeUp     bool
	commits     int64
	agents      map[string]*agentView
	subscribers map[*rpc.Peer]struct{}
	summary     control.Summary
	pending     []*operation
	dirty       bool
	urgent      bool
	table       table.Table
	share       scheduling.Share
	vmStates    map[string]vmlist.State
	waiting     map[string]scheduling.Waiting
	evicting    map[task.Run]struct{}
	notBefore   map[task.ID]time.Time
	estimates   map[string]*sizing.Estimate
	model       *interference.Model
}

// DocumentKey returns the store key of a cell's document.
func DocumentKey(cellName string) string { return "cell/" + cellName }

// LeaseName returns the name of a cell's lease in the store; its holder is the address of the leader.
func LeaseName(cellName string) string { return "lead/" + cellName }

// TableKey is the store key of the operators' table.
const TableKey = "table"

// TableCodec returns the codec of the operators' table.
func TableCodec() store.Codec[table.Table] { return store.NewCodec(table.Encode, table.Decode) }

// New returns a leader that has not taken its cell over yet.
func New(config Config) *Leader {
	return &Leader{
		Config:        config,
		document:      store.NewDocument(config.Store, DocumentKey(config.Cell), store.NewCodec(cell.Encode, cell.Decode)),
		tableDocument: store.NewDocument(config.Store, TableKey, TableCodec()),
		done:          make(chan struct{}),
		changed:       make(chan struct{}, 1),
		pushQueue:     make(chan string, 256),
		agents:        make(map[string]*agentView),
		subscribers:   make(map[*rpc.Peer]struct{}),
		share:         scheduling.FullShare(),
		vmStates:      make(map[string]vmlist.State),
		evicting:      make(map[task.Run]struct{}),
		notBefore:     make(map[task.ID]time.Time),
		estimates:     make(map[string]*sizing.Estimate),
		model:         interference.New(),
		storeUp:       true,
	}
}

// Done returns a channel that is closed when Run has ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Ready reports whether the leader has taken the cell over; before that it has no document to answer from.
func (l *Leader) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch > 0
}

// Run leads the cell with a newly acquired lease until another process holds the lease or ctx ends.
func (l *Leader) Run(ctx context.Context, lease store.Lease, requestedAt time.Time) error {
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := l.Begin(ctx, lease, requestedAt); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.renewLease(ctx) })
	group.Go(func() error { return l.commitLoop(ctx) })
	group.Go(func() error { return l.followTable(ctx) })
	group.Go(func() error { return l.pollVMs(ctx) })
	for range pushWorkers {
		group.Go(func() error { return l.pushLoop(ctx) })
	}
	err := group.Wait()
	l.failPending()
	l.Recorder.Record(timeline.LeadershipLost, timeline.Subject{}, "leader of "+l.Cell+" ended")
	return err
}

// Begin takes the cell over in a new epoch, with a lease that was requested at requestedAt.
func (l *Leader) Begin(ctx context.Context, lease store.Lease, requestedAt time.Time) error {
	l.setLease(requestedAt, lease)
	updated, err := l.document.Update(ctx, func(d *cell.Document) (*cell.Document, bool, error) {
		next := d.Clone()
		next.TakeOver(l.Agent)
		return next, true, nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.epoch, l.startedAt, l.dirty = updated.Epoch(), time.Now(), true
	l.mu.Unlock()
	l.Logger.Info("took over cell; cell=%s epoch=%d", l.Cell, updated.Epoch())
	l.Recorder.Record(timeline.LeadershipAcquired, timeline.Subject{}, "leader of "+l.Cell)
	return nil
}

func (l *Leader) followTable(ctx context.Context) error {
	store.Follow(ctx, l.tableDocument, func(t table.Table, _ store.Version) {
		l.mu.Lock()
		l.table, l.dirty = t, true
		l.mu.Unlock()
		l.Recorder.Record(timeline.TableChanged, timeline.Subject{}, versionText(t.Version()))
		l.publish()
		l.notify()
	}, func(err error) { l.Logger.Debug("cannot watch the table: %v", err) })
	return ctx.Err()
}

func (l *Leader) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// jitter returns d extended by up to a quarter, so that processes do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// position returns the epoch and revision of the desired runs that an agent must apply; l.mu is held.
func (l *Leader) position(a *agentView) control.Position {
	return a.position(l.epoch)
}

// LoadTable loads the table once, before the leader watches it.
func (l *Leader) LoadTable(ctx context.Context) error {
	if err := l.tableDocument.Load(ctx); err != nil {
		return err
	}
	t, _, _ := l.tableDocument.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.dirty = t, true
	return nil
}
