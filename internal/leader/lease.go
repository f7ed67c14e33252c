package leader

import (
	"context"
	"strconv"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/store"
	"github.com/saffronpulley/saffronpulley/internal/timeline"
)

// setLease records a granted lease, whose duration counts from the time of the request.
func (l *Leader) setLease(requestedAt time.Time, lease store.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseEnd = requestedAt.Add(min(lease.Remaining(), l.Timing.Lease))
}

// holdsLease reports whether the lease has not expired; l.mu is held.
func (l *Leader) holdsLease(now time.Time) bool { return now.Before(l.leaseEnd) }

// renewLease renews the lease periodically until another process holds it.
func (l *Leader) renewLease(ctx context.Context) error {
	for ctx.Err() == nil {
		store.Pause(ctx, jitter(l.Timing.Lease/4))
		if err := l.Renew(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Renew renews the lease once; it returns an error if another process holds the lease or has led since.
func (l *Leader) Renew(ctx context.Context) error {
	requestedAt := time.Now()
	lease, err := l.Store.Acquire(ctx, LeaseName(l.Cell), l.Address, l.Timing.Lease)
	l.recordStoreResult(err)
	switch {
	case err == nil:
		l.setLease(requestedAt, lease)
		return l.checkEpoch(ctx)
	case fault.Is(err, fault.Conflict):
		return fault.Wrap(err, fault.Stale, "the lease of "+l.Cell+" is held by "+lease.Holder()+", not by this process")
	default:
		return nil
	}
}

// checkEpoch reloads the document after an outage of the store, during which another process may have led.
func (l *Leader) checkEpoch(ctx context.Context) error {
	l.mu.Lock()
	storeWasDown := !l.storeUp
	epoch := l.epoch
	l.mu.Unlock()
	if !storeWasDown {
		return nil
	}
	if err := l.document.Load(ctx); err != nil {
		return nil //nolint:nilerr // the store is still away; the next round tries again
	}
	current, _, _ := l.document.Current()
	if current.Epoch() != epoch {
		return fault.New(fault.Stale, "another leader took over %s as epoch %d", l.Cell, current.Epoch())
	}
	l.mu.Lock()
	l.storeUp = true
	l.mu.Unlock()
	l.Recorder.Record(timeline.StoreReachable, timeline.Subject{}, "the store is reachable again")
	l.notify()
	return nil
}

// recordStoreResult marks the store as down if a call to it failed without an answer.
func (l *Leader) recordStoreResult(err error) {
	kind := fault.KindOf(err)
	down := err != nil && (kind == fault.Unavailable || kind == fault.OutcomeUnknown || kind == fault.DeadlineExceeded)
	if !down {
		return
	}
	l.mu.Lock()
	wasUp := l.storeUp
	l.storeUp = false
	l.mu.Unlock()
	if wasUp {
		l.Logger.Warn("the store is unreachable: %v", err)
		l.Recorder.Record(timeline.StoreUnreachable, timeline.Subject{}, "the store is unreachable")
	}
}

// CheckSuperseded returns an error of kind Stale if, according to the store, a leader at an address whose lease has expired no longer
// holds the lease of its cell. It returns nil if the store does not answer.
func CheckSuperseded(ctx context.Context, s store.Store, cellName, address string) error {
	lease, err := s.Holder(ctx, LeaseName(cellName))
	if err != nil || lease.Holder() == address {
		return nil //nolint:nilerr // without the answer of the store the leader counts as valid
	}
	return fault.New(fault.Stale, "the lease of %s is no longer held by %s", cellName, address)
}

func versionText(version uint64) string { return "table version " + strconv.FormatUint(version, 10) }
