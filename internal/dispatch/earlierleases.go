package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/kv"
	"github.com/saffronpulley/saffronpulley/internal/record"
)

// previousReleaseTimeout is the leaderTimeout of leaders of the previous release, which store no bound of their leases.
const previousReleaseTimeout = 10 * time.Second

// handedOver is what a leader that stepped down has stated: when the last lease that it or a leader before it granted has expired. The epoch is 0
// if it has stated nothing.
type handedOver struct {
	epoch uint64
	until time.Time
}

// earlierLeases returns how long leases granted by the leader of an epoch, and by those before it, may still last once another one takes over: what
// that leader stated when it stepped down, else what the store has about it.
func (d *Dispatcher) earlierLeases(ctx context.Context, epoch uint64) (time.Duration, error) {
	if s := d.suspectedLeader.Load(); s != nil && s.leases.epoch == epoch && epoch > 0 {
		return max(time.Until(s.leases.until), 0), nil
	}
	item, err := d.config.Store.Get(ctx, record.LeasesKey)
	if err != nil {
		return 0, err
	}
	leases, err := record.DecodeLeases(item.Value())
	if err == nil && leases.Epoch == epoch {
		return time.Duration(leases.Millis) * time.Millisecond, nil
	}
	if err != nil {
		d.logger.Error("bound of the agent leases is unreadable; the longest is assumed; reason=%v", err)
	}
	return previousReleaseTimeout, nil
}

// earlierLeasesExpired reports whether all leases granted by earlier leaders have expired.
func (t *term) earlierLeasesExpired(now time.Time) bool {
	return now.Sub(t.startedAt) > t.earlierLeases+agentLeaseMargin
}

// addLeases adds the bound of the leases granted up to this term to a transaction, unless the store has it or it does not hold yet: leases of a
// leader of the previous release may last longer.
func (t *term) addLeases(txn *kv.Txn) error {
	if t.leasesStored || t.earlierLeases > leaderTimeout && !t.earlierLeasesExpired(time.Now()) {
		return nil
	}
	value, err := record.Encode(record.Leases{Epoch: t.epoch, Millis: leaderTimeout.Milliseconds()})
	if err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, kv.Put{Key: record.LeasesKey, Value: value})
	t.leasesStored = true
	return nil
}

// remainingLeases returns how long leases granted by a leader that steps down, and by those before it, may still last; t.mu must be locked.
func (t *term) remainingLeases(now time.Time) time.Duration {
	return max(agentLease, t.earlierLeases-now.Sub(t.startedAt))
}
