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

// Timing holds the waits of a lead.
type Timing struct {
	// Lease is how long the cell's lease lasts unless it is prolonged.
	Lease time.Duration
	// Heartbeat is how often agents are expected to be heard.
	Heartbeat time.Duration
	// CommitWindow is how long changes that are not urgent are gathered for one commit.
	CommitWindow time.Duration
	// List is how often the list of VMs is read.
	List time.Duration
	// CommitRate is how many bytes a second commits may write on average.
	CommitRate int
}

// Config is what a lead needs of its process.
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

// Leader is the lead of one cell, from the lease to its loss.
type Leader struct {
	Config
	document *store.Document[*cell.Document]
	rows     *store.Document[table.Table]
	done     chan struct{}
	wake     chan struct{}
	pushes   chan string

	mu          sync.Mutex
	epoch       uint64
	revision    uint64
	leaseEnd    time.Time
	began       time.Time
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
	listed      map[string]vmlist.State
	waiting     map[string]scheduling.Waiting
	evicting    map[task.Run]struct{}
	notBefore   map[task.ID]time.Time
	estimates   map[string]*sizing.Estimate
	model       *interference.Model
}

// DocumentKey returns the store's key of a cell's document.
func DocumentKey(cellName string) string { return "cell/" + cellName }

// LeaseName returns the store's name of a cell's lease, whose holder is the address of the lead.
func LeaseName(cellName string) string { return "lead/" + cellName }

// TableKey is the store's key of the operators' table.
const TableKey = "table"

// TableCodec maps the operators' table to the bytes of its value.
func TableCodec() store.Codec[table.Table] { return store.NewCodec(table.Encode, table.Decode) }

// New returns a lead that has not begun.
func New(config Config) *Leader {
	return &Leader{
		Config:      config,
		document:    store.NewDocument(config.Store, DocumentKey(config.Cell), store.NewCodec(cell.Encode, cell.Decode)),
		rows:        store.NewDocument(config.Store, TableKey, TableCodec()),
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		pushes:      make(chan string, 256),
		agents:      make(map[string]*agentView),
		subscribers: make(map[*rpc.Peer]struct{}),
		share:       scheduling.FullShare(),
		listed:      make(map[string]vmlist.State),
		evicting:    make(map[task.Run]struct{}),
		notBefore:   make(map[task.ID]time.Time),
		estimates:   make(map[string]*sizing.Estimate),
		model:       interference.New(),
		storeUp:     true,
	}
}

// Done returns the channel that is closed when the lead has ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Ready reports whether the lead has taken the cell over, before which it has no document to answer from.
func (l *Leader) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch > 0
}

// Run holds the cell from a lease just acquired until the lease is another's or ctx ends.
func (l *Leader) Run(ctx context.Context, lease store.Lease, asked time.Time) error {
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := l.Begin(ctx, lease, asked); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.keepLease(ctx) })
	group.Go(func() error { return l.commitLoop(ctx) })
	group.Go(func() error { return l.followTable(ctx) })
	group.Go(func() error { return l.followList(ctx) })
	for range pushWorkers {
		group.Go(func() error { return l.pushLoop(ctx) })
	}
	err := group.Wait()
	l.failPending()
	l.Recorder.Record(timeline.LeadLost, timeline.Subject{}, "lead of "+l.Cell+" ended")
	return err
}

// Begin takes the cell over as a new epoch, with a lease that was asked for at a time.
func (l *Leader) Begin(ctx context.Context, lease store.Lease, asked time.Time) error {
	l.prolonged(asked, lease)
	taken, err := l.document.Update(ctx, func(d *cell.Document) (*cell.Document, bool, error) {
		next := d.Clone()
		next.TakeOver(l.Agent)
		return next, true, nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.epoch, l.began, l.dirty = taken.Epoch(), time.Now(), true
	l.mu.Unlock()
	l.Logger.Info("took over cell %s as epoch %d", l.Cell, taken.Epoch())
	l.Recorder.Record(timeline.LeadTaken, timeline.Subject{}, "lead of "+l.Cell)
	return nil
}

func (l *Leader) followTable(ctx context.Context) error {
	store.Follow(ctx, l.rows, func(t table.Table, _ store.Version) {
		l.mu.Lock()
		l.table, l.dirty = t, true
		l.mu.Unlock()
		l.Recorder.Record(timeline.TableSeen, timeline.Subject{}, versionText(t.Version()))
		l.publish()
		l.signal()
	}, func(err error) { l.Logger.Debug("cannot watch the table: %v", err) })
	return ctx.Err()
}

func (l *Leader) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// jitter returns d lengthened by up to a quarter, so that processes do not act in step.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// position is where an agent is to be; l.mu is held.
func (l *Leader) position(a *agentView) control.Position {
	return a.position(l.epoch)
}

// LoadTable reads the table once, before it is followed.
func (l *Leader) LoadTable(ctx context.Context) error {
	if err := l.rows.Load(ctx); err != nil {
		return err
	}
	t, _, _ := l.rows.Current()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table, l.dirty = t, true
	return nil
}
