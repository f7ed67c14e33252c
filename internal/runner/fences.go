package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// contactInterval is the time between two calls to a worker that does not answer while it may still carry out late starts.
	contactInterval = 10 * time.Millisecond
	// contactTimeout bounds a call that only sends the fence; a worker on the same VM answers at once.
	contactTimeout = 100 * time.Millisecond
)

// fences are the numbers (fencing tokens) under which the agent calls its worker, which rejects calls under a lower one than it has received.
//
// A call without an answer may be carried out by a later incarnation. The fence is raised as soon as the current incarnation may have ended, so that
// one call to the next makes it reject all earlier calls, even those that no process remembers.
type fences struct {
	// epoch is that of the leader that granted the fences up to last, first the lowest that it granted to this process; exhausted requests a new grant.
	epoch                uint64
	first, current, last uint64
	exhausted            bool
	// highestUsed is the highest fence of a call that a later incarnation must not carry out: an order or an acknowledgement.
	highestUsed uint64
	// confirmed reports whether the worker has answered under the current fence since the last failed call, unconfirmedSince when that ceased to hold.
	confirmed        bool
	unconfirmedSince time.Time
}

// grant stores the fences of a leader unless it has granted some before; first is 0 from a leader of the previous release, which grants only its epoch.
func (f *fences) grant(epoch, first, last uint64) bool {
	if epoch < f.epoch || epoch == f.epoch && !f.exhausted {
		return false
	}
	if first == 0 {
		first, last = epoch, epoch
	}
	if epoch > f.epoch {
		f.first = first
	}
	f.epoch, f.current, f.last, f.exhausted = epoch, first, last, false
	f.confirmed, f.unconfirmedSince = false, time.Now()
	return true
}

// covers reports whether an incarnation that answered under a fence rejects all calls of earlier leaders and agents. One that crashed before the fence
// was raised has answered under a lower fence than the current one, so first is the bound.
func (f *fences) covers(fence, epoch uint64) bool { return f.epoch == epoch && fence >= f.first }

// raise moves to the next fence if the current one was used, and reports whether the fences are exhausted.
func (f *fences) raise() bool {
	if f.confirmed {
		f.confirmed, f.unconfirmedSince = false, time.Now()
	}
	if f.highestUsed < f.current {
		return false
	}
	if f.current == f.last {
		return true
	}
	f.current++
	return false
}

// use returns the current fence for a call that a later incarnation must not carry out.
func (f *fences) use() uint64 {
	f.highestUsed = f.current
	return f.current
}

// recordAnswer records that the worker answered a call under a fence.
func (f *fences) recordAnswer(fence uint64) { f.confirmed = f.confirmed || fence >= f.current }

// raiseFence raises the fence above all earlier calls, since the worker may have restarted. An agent without fences left reconnects for more.
func (r *Runner) raiseFence() {
	if exhausted := r.fences.raise(); exhausted && !r.fences.exhausted && r.fences.current < r.epoch && r.session != nil {
		r.logger.Info("fences exhausted, reconnecting to the leader; fence=%d", r.fences.current)
		r.fences.exhausted = true
		r.session.Close()
	}
}

// adoptEpochAsFence uses the epoch as the fence if the worker rejects the current one: an agent of the previous release, which uses the epoch, has
// called it.
func (r *Runner) adoptEpochAsFence(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence == r.fences.current && fence < r.epoch {
		r.logger.Warn("worker has received a higher fence; fence=%d epoch=%d", fence, r.epoch)
		r.fences.current, r.fences.last = r.epoch, r.epoch
	}
}

// contactWorker sends the fence to whichever incarnation answers, even under an id that the agent does not know yet.
func (r *Runner) contactWorker(ctx context.Context) {
	r.mu.Lock()
	fence, due := r.fences.current, !r.fences.confirmed && r.fences.current > 0
	r.mu.Unlock()
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	_, refusal, err := r.config.Worker.Renew(bounded, incarnation.ID{}, host.Renewal{Fence: fence})
	if err != nil || refusal != host.Accepted {
		r.logger.Debug("fence not delivered; fence=%d refusal=%s reason=%v", fence, refusal, err)
		return
	}
	r.logger.Debug("fence delivered to the worker; fence=%d", fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fences.recordAnswer(fence)
}

// awaitRetry waits before the next call to a worker that did not answer.
func (r *Runner) awaitRetry(ctx context.Context) { wait.For(ctx, r.retryDelay()) }

// retryDelay is short while an incarnation that has not received the fence may still carry out earlier calls.
func (r *Runner) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fences.confirmed && time.Since(r.fences.unconfirmedSince) < host.MaxCallDelay {
		return contactInterval
	}
	return renewalRetryDelay
}
