package catalog

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/control"
	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/leader"
	"github.com/saffronpulley/saffronpulley/internal/logging"
	"github.com/saffronpulley/saffronpulley/internal/rpc"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
	"github.com/saffronpulley/saffronpulley/internal/vmlist"
)

const (
	subscribeTimeout = 2 * time.Second
	retryDelay       = 500 * time.Millisecond
	refreshInterval  = 200 * time.Millisecond
)

// Follower keeps a catalog up to date.
type Follower struct {
	Catalog *Catalog
	Entry   string
	Secret  string
	Store   store.Store
	VMs     vmlist.List
	// List is the interval of reading the list of VMs, Subscribe that of renewing the subscription to each leader.
	List      time.Duration
	Subscribe time.Duration
	Logger    logging.Logger
	Clock     *timeline.Clock
}

// Run follows the list of VMs and the leader of each of its cells until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	followed := make(map[string]context.CancelFunc)
	go f.refreshLoop(ctx)
	for ctx.Err() == nil {
		wait := f.List
		if vms, err := f.VMs.VMs(ctx); err != nil {
			f.Logger.Debug("cannot read the list of VMs: %v", err)
			wait = retryDelay
		} else {
			f.followCells(ctx, cellsOf(vms), followed)
		}
		store.Pause(ctx, wait)
	}
	for _, cancel := range followed {
		cancel()
	}
	return ctx.Err()
}

func (f *Follower) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.Catalog.Refresh(time.Now())
		store.Pause(ctx, refreshInterval)
	}
}

func cellsOf(vms []vmlist.VM) map[string]struct{} {
	cells := make(map[string]struct{})
	for _, v := range vms {
		if v.State() != vmlist.Gone {
			cells[v.Cell()] = struct{}{}
		}
	}
	return cells
}

// followCells starts to follow new cells and stops following removed ones; a list without any VM is ignored as wrong.
func (f *Follower) followCells(ctx context.Context, cells map[string]struct{}, followed map[string]context.CancelFunc) {
	if len(cells) == 0 {
		return
	}
	for cell := range cells {
		if _, ok := followed[cell]; ok {
			continue
		}
		cellContext, cancel := context.WithCancel(ctx)
		followed[cell] = cancel
		f.Catalog.SetPeer(cell, nil)
		go f.followCell(cellContext, cell)
	}
	for cell, cancel := range followed {
		if _, ok := cells[cell]; !ok {
			cancel()
			delete(followed, cell)
			f.Catalog.RemoveCell(cell)
		}
	}
}

func (f *Follower) followCell(ctx context.Context, cell string) {
	for ctx.Err() == nil {
		if err := f.subscribe(ctx, cell); err != nil {
			f.Logger.Debug("cell %s: %v", cell, err)
		}
		f.Catalog.SetPeer(cell, nil)
		store.Pause(ctx, retryDelay)
	}
}

// subscribe follows one leader until its leadership or the connection ends.
func (f *Follower) subscribe(ctx context.Context, cell string) error {
	lease, err := f.Store.Holder(ctx, leader.LeaseName(cell))
	if err != nil {
		return err
	}
	if lease.Holder() == "" {
		return fault.New(fault.Unavailable, "the cell has no leader")
	}
	mux := rpc.NewMux(f.Clock)
	rpc.Handle(mux, control.MethodSummary, func(_ context.Context, _ *rpc.Peer, s control.Summary) (control.Ack, error) {
		f.Catalog.Update(s)
		return control.Ack{}, nil
	})
	peer, err := rpc.Dial(ctx, lease.Holder(), f.Secret, mux)
	if err != nil {
		return err
	}
	defer peer.Close()
	for ctx.Err() == nil {
		if err := f.renewSubscription(ctx, cell, peer, lease.Holder()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-peer.Done():
			return fault.New(fault.Unavailable, "the connection to the leader ended")
		case <-time.After(f.Subscribe):
		}
	}
	return ctx.Err()
}

// renewSubscription renews the subscription; it fails if the leader has lost its lease.
func (f *Follower) renewSubscription(ctx context.Context, cell string, peer *rpc.Peer, address string) error {
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	answer, err := rpc.Call[control.Subscribe, control.SubscribeAnswer](ctx, peer, control.MethodSubscribe,
		control.Subscribe{Entry: f.Entry, Received: f.Catalog.Position(cell)})
	if err != nil {
		return err
	}
	if answer.Summary != nil {
		f.Catalog.Update(*answer.Summary)
	}
	f.Catalog.UpdateLoad(cell, answer.Load)
	f.Catalog.SetPeer(cell, peer)
	if answer.LeaseExpired {
		return leader.CheckSuperseded(ctx, f.Store, cell, address)
	}
	return nil
}
