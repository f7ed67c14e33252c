package runner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

// fakeWorker answers orders as told and notes them.
type fakeWorker struct {
	mu     sync.Mutex
	starts []host.Start
	stops  []host.Run
	// seen is up to which number each incarnation's ends were let go.
	seen map[incarnation.ID]uint64
	// fences are the highest that holds have shown each incarnation.
	fences map[incarnation.ID]uint64
	view   host.View
	start  func() (host.Refusal, error)
	// present is the incarnation that answers, zero for any; slow is how long a refusal under another id takes.
	present incarnation.ID
	slow    time.Duration
	// away makes it refuse connections, refusals answer the next holds.
	away     bool
	refusals []host.Refusal
}

func (f *fakeWorker) Start(_ context.Context, _ incarnation.ID, order host.Start) (host.Refusal, error) {
	f.mu.Lock()
	f.starts = append(f.starts, order)
	f.mu.Unlock()
	return f.start()
}

func (f *fakeWorker) Stop(_ context.Context, _ incarnation.ID, run host.Run, _ uint64) (host.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, run)
	return host.Accepted, nil
}

func (f *fakeWorker) Pace(context.Context, incarnation.ID, host.Run, int, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

func (f *fakeWorker) LimitConnections(int) {}

func (f *fakeWorker) Renew(ctx context.Context, id incarnation.ID, h host.Renewal) (host.View, host.Refusal, error) {
	f.mu.Lock()
	present, away := f.present, f.away
	f.mu.Unlock()
	if away {
		return host.View{}, host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
	}
	if present.IsZero() {
		present = id
	}
	if !id.IsZero() && !present.SameWorker(id) {
		wait.For(ctx, f.slow)
		return host.View{}, host.RefusedInvalid, fault.New(fault.Stale, "another instance answers")
	}
	f.mu.Lock()
	if f.seen == nil {
		f.seen, f.fences = make(map[incarnation.ID]uint64), make(map[incarnation.ID]uint64)
	}
	if len(f.refusals) > 0 {
		defer f.mu.Unlock()
		refusal := f.refusals[0]
		f.refusals = f.refusals[1:]
		return host.View{}, refusal, nil
	}
	if h.Fence < f.fences[present] {
		f.mu.Unlock()
		return host.View{}, host.RefusedFence, nil
	}
	f.fences[present] = h.Fence
	f.seen[present] = max(f.seen[present], h.Acknowledged)
	f.mu.Unlock()
	wait.For(ctx, h.Wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	view := f.view
	view.Incarnation = present
	return view, host.Accepted, nil
}

// show sets what the worker lists.
func (f *fakeWorker) show(view host.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
}

// acknowledged returns up to which number the ends of an incarnation were let go.
func (f *fakeWorker) acknowledged(id incarnation.ID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen[id]
}

// fenced returns the highest fence that an incarnation was shown.
func (f *fakeWorker) fenced(id incarnation.ID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fences[id]
}

// setAway makes the worker refuse connections, or accept them again.
func (f *fakeWorker) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// restart gives the worker another incarnation.
func (f *fakeWorker) restart(id incarnation.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.present = id
}

// started returns the starts so far, and stopped the stops.
func (f *fakeWorker) started() []host.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.starts)
}

func (f *fakeWorker) stopped() []host.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stops)
}
