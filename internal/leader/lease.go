package leader

import (
	"context"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// prolonged takes note of a lease that was asked for at a time; it is counted from then.
func (l *Leader) prolonged(asked time.Time, lease store.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseEnd = asked.Add(min(lease.Remaining(), l.Timing.Lease))
}

// holds reports whether the lease has not lapsed; l.mu is held.
func (l *Leader) holds(now time.Time) bool { return now.Before(l.leaseEnd) }

// keepLease prolongs the lease until another holds it.
func (l *Leader) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		store.Pause(ctx, jitter(l.Timing.Lease/4))
		if err := l.Renew(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Renew prolongs the lease; an error says that another holds it or has led in between.
func (l *Leader) Renew(ctx context.Context) error {
	asked := time.Now()
	lease, err := l.Store.Acquire(ctx, LeaseName(l.Cell), l.Address, l.Timing.Lease)
	l.noteStore(err)
	switch {
	case err == nil:
		l.prolonged(asked, lease)
		return l.checkEpoch(ctx)
	case fault.Is(err, fault.Conflict):
		return fault.Wrap(err, fault.Stale, "the lease of "+l.Cell+" is "+lease.Holder()+"'s")
	default:
		return nil
	}
}

// checkEpoch reads the document again after a lapse, since another may have led in between.
func (l *Leader) checkEpoch(ctx context.Context) error {
	l.mu.Lock()
	lapsed := !l.storeUp
	epoch := l.epoch
	l.mu.Unlock()
	if !lapsed {
		return nil
	}
	if err := l.document.Load(ctx); err != nil {
		return nil //nolint:nilerr // the store is still away; the next round tries again
	}
	current, _, _ := l.document.Current()
	if current.Epoch() != epoch {
		return fault.New(fault.Stale, "another lead took over %s as epoch %d", l.Cell, current.Epoch())
	}
	l.mu.Lock()
	l.storeUp = true
	l.mu.Unlock()
	l.Recorder.Record(timeline.StoreBack, timeline.Subject{}, "the store answers again")
	l.signal()
	return nil
}

// noteStore takes note of whether the store answered a call.
func (l *Leader) noteStore(err error) {
	kind := fault.KindOf(err)
	down := err != nil && (kind == fault.Unavailable || kind == fault.OutcomeUnknown || kind == fault.DeadlineExceeded)
	if !down {
		return
	}
	l.mu.Lock()
	was := l.storeUp
	l.storeUp = false
	l.mu.Unlock()
	if was {
		l.Logger.Warn("the store does not answer: %v", err)
		l.Recorder.Record(timeline.StoreLost, timeline.Subject{}, "the store does not answer")
	}
}

// CheckSuperseded returns an error of kind Stale where the store says that a lead at an address, whose lease has lapsed, no
// longer holds the lease of its cell; a store that does not answer says nothing.
func CheckSuperseded(ctx context.Context, s store.Store, cellName, address string) error {
	held, err := s.Holder(ctx, LeaseName(cellName))
	if err != nil || held.Holder() == address {
		return nil //nolint:nilerr // without the store's answer the lead stays the best that is known
	}
	return fault.New(fault.Stale, "the lease of %s is no longer %s's", cellName, address)
}

func versionText(version uint64) string { return "table version " + strconv.FormatUint(version, 10) }
