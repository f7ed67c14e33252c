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

// fakeWorker records orders and gives configured answers.
type fakeWorker struct {
	mu          sync.Mutex
	startOrders []host.Start
	stoppedRuns []host.Run
	// acknowledgedEnds is the sequence up to which the ended runs of each incarnation were acknowledged.
	acknowledgedEnds map[incarnation.ID]uint64
	// highestFences are the highest fences that renewals have sent to each incarnation.
	highestFences map[incarnation.ID]uint64
	view          host.View
	answerStart   func() (host.Refusal, error)
	// current is the incarnation that answers, zero for any; refusalDelay is how long a refusal under another id takes.
	current      incarnation.ID
	refusalDelay time.Duration
	// unavailable makes the worker refuse connections, refusals answer the next renewals.
	unavailable bool
	refusals    []host.Refusal
}

func (f *fakeWorker) Start(_ context.Context, _ incarnation.ID, order host.Start) (host.Refusal, error) {
	f.mu.Lock()
	f.startOrders = append(f.startOrders, order)
	f.mu.Unlock()
	return f.answerStart()
}

func (f *fakeWorker) Stop(_ context.Context, _ incarnation.ID, run host.Run, _ uint64) (host.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stoppedRuns = append(f.stoppedRuns, run)
	return host.Accepted, nil
}

func (f *fakeWorker) Pace(context.Context, incarnation.ID, host.Run, int, uint64) (host.Refusal, error) {
	return host.Accepted, nil
}

func (f *fakeWorker) LimitConnections(int) {}

func (f *fakeWorker) Renew(ctx context.Context, id incarnation.ID, h host.Renewal) (host.View, host.Refusal, error) {
	f.mu.Lock()
	current, unavailable := f.current, f.unavailable
	f.mu.Unlock()
	if unavailable {
		return host.View{}, host.RefusedInvalid, fault.New(fault.Unavailable, "connection refused")
	}
	if current.IsZero() {
		current = id
	}
	if !id.IsZero() && !current.SameWorker(id) {
		wait.For(ctx, f.refusalDelay)
		return host.View{}, host.RefusedInvalid, fault.New(fault.Stale, "another instance answers")
	}
	f.mu.Lock()
	if f.acknowledgedEnds == nil {
		f.acknowledgedEnds, f.highestFences = make(map[incarnation.ID]uint64), make(map[incarnation.ID]uint64)
	}
	if len(f.refusals) > 0 {
		defer f.mu.Unlock()
		refusal := f.refusals[0]
		f.refusals = f.refusals[1:]
		return host.View{}, refusal, nil
	}
	if h.Fence < f.highestFences[current] {
		f.mu.Unlock()
		return host.View{}, host.RefusedFence, nil
	}
	f.highestFences[current] = h.Fence
	f.acknowledgedEnds[current] = max(f.acknowledgedEnds[current], h.Acknowledged)
	f.mu.Unlock()
	wait.For(ctx, h.Wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return host.View{}, host.RefusedInvalid, fault.New(fault.OutcomeUnknown, "connection reset")
	}
	view := f.view
	view.Incarnation = current
	return view, host.Accepted, nil
}

// setView sets the view that renewals return.
func (f *fakeWorker) setView(view host.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = view
}

// acknowledged returns the sequence up to which the ended runs of an incarnation were acknowledged.
func (f *fakeWorker) acknowledged(id incarnation.ID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acknowledgedEnds[id]
}

// highestFence returns the highest fence that an incarnation has received.
func (f *fakeWorker) highestFence(id incarnation.ID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highestFences[id]
}

// setUnavailable makes the worker refuse connections, or accept them again.
func (f *fakeWorker) setUnavailable(refuses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = refuses
}

// restart replaces the current incarnation.
func (f *fakeWorker) restart(id incarnation.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = id
}

// started returns the starts received so far, stopped the stops.
func (f *fakeWorker) started() []host.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.startOrders)
}

func (f *fakeWorker) stopped() []host.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.stoppedRuns)
}
