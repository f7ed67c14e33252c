package runner

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/host"
	"github.com/saffronpulley/saffronpulley/internal/incarnation"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// contactInterval lies between two calls to a worker that does not answer while starts may still be carried out there.
	contactInterval = 10 * time.Millisecond
	// contactTimeout bounds a call that only shows the fence; a worker on the same VM answers at once.
	contactTimeout = 100 * time.Millisecond
)

// fences are the numbers under which the agent calls its worker, which does nothing under a lower one than it has seen.
//
// A call without an answer may be carried out by a later incarnation. The fence is raised with the first doubt whether the present one still lives,
// so that one call to the next one makes that refuse all that was sent before, also what no process remembers.
type fences struct {
	// epoch is that of the leader that granted the numbers up to last, first the lowest of them that this process has had; usedUp asks for more.
	epoch                uint64
	first, current, last uint64
	exhausted            bool
	// highestUsed is the highest number of a call that a later incarnation must not carry out: an order, or an acknowledgement.
	highestUsed uint64
	// confirmed says that the worker has answered under the present number since a call failed last, missing since when it has not.
	confirmed        bool
	unconfirmedSince time.Time
}

// grant takes the numbers of a leader, unless it has granted some before; 0 stands for a leader of the release before, which grants only its epoch.
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

// covers reports whether an incarnation that has answered under a number refuses all that earlier leaders and agents sent. One that crashed before the
// fence was raised has answered under a lower one than the present.
func (f *fences) covers(number, epoch uint64) bool { return f.epoch == epoch && number >= f.first }

// raise records that the worker may have another incarnation, and reports whether the numbers are used up.
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

// use returns the present number, for a call that a later incarnation must not carry out.
func (f *fences) use() uint64 {
	f.highestUsed = f.current
	return f.current
}

// recordAnswer records a call under a number that the worker recordAnswer.
func (f *fences) recordAnswer(number uint64) { f.confirmed = f.confirmed || number >= f.current }

// raiseFence raises the fence above all that was sent. An agent that has used its numbers up connects anew for others.
func (r *Runner) raiseFence() {
	if usedUp := r.fences.raise(); usedUp && !r.fences.exhausted && r.fences.current < r.epoch && r.session != nil {
		r.logger.Info("fences are used up, the agent connects anew; fence=%d", r.fences.current)
		r.fences.exhausted = true
		r.session.Close()
	}
}

// adoptEpochAsFence takes the epoch as the fence where the worker refuses the present number: an agent of the release before, which did so, was replaced.
func (r *Runner) adoptEpochAsFence(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence == r.fences.current && fence < r.epoch {
		r.logger.Warn("the worker has seen a higher fence; fence=%d epoch=%d", fence, r.epoch)
		r.fences.current, r.fences.last = r.epoch, r.epoch
	}
}

// contactWorker shows the fence to whichever incarnation answers, also under an id that the agent does not know yet.
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
		r.logger.Debug("fence not shown; fence=%d refusal=%s reason=%v", fence, refusal, err)
		return
	}
	r.logger.Debug("fence shown to the worker; fence=%d", fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fences.recordAnswer(fence)
}

// awaitRetry waits a while before the next call to a worker that did not answer.
func (r *Runner) awaitRetry(ctx context.Context) { wait.For(ctx, r.retryDelay()) }

// retryDelay is short while earlier calls may still be carried out by an incarnation that has not seen the fence.
func (r *Runner) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fences.confirmed && time.Since(r.fences.unconfirmedSince) < host.MaxCallDelay {
		return contactInterval
	}
	return renewalRetryDelay
}
