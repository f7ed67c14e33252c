package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// suspicionDuration is how long an entry stands against a lead that is suspected: a store that answers takes some milliseconds.
	suspicionDuration = time.Second
	// answerAgeMargin is by how much an entry's answer from the store must be newer than the lead's trouble to show that the store
	// works: messages and slow processes make it look newer than it is.
	answerAgeMargin = 20 * time.Millisecond
	// yieldFailures is how many calls of a lead in a row are not answered, while the store answers others, until it yields: where
	// a third of all answers is lost that happens once in some hundred commits.
	yieldFailures = 5
	// successorWait is how long a lead waits for an entry as strong as itself: one that is weaker plans more slowly for as long as it
	// leads, and pings come twice a second.
	successorWait = 900 * time.Millisecond
	// outrankFactor is how much stronger an entry has to be for a lead that is well to yield to it: at 160 workers a lead takes up to
	// 0.37 of a core, which the weaker entries of the users' large site do not have.
	outrankFactor = 2.0
	// outrankTermAge is how old a term must be for that, outrankFresh how new the entry's latest answer from the store.
	outrankTermAge   = time.Second
	outrankAnswerAge = time.Second
	// yieldCooldown is how long a lead that yielded does not stand again.
	yieldCooldown = time.Second
)

// suspectedLeader is a lead that may be replaced for a while.
type suspectedLeader struct {
	epoch uint64
	until time.Time
	// requested says that the leader itself asks this entry to lead.
	requested bool
}

// SuspectLeader lets this entry stand against the lead of an epoch, which is gone; the chain of commits keeps a lead
// that is suspected wrongly from doing harm.
func (d *Dispatcher) SuspectLeader(epoch uint64, reason string) {
	d.logger.Warn("the lead is suspected; epoch=%d reason=%s", epoch, reason)
	d.suspectedLeader.Store(&suspectedLeader{epoch: epoch, until: time.Now().Add(suspicionDuration)})
	wait.Notify(d.suspicionChanged)
}

// TakeOver lets this entry lead at once in place of the leader of an epoch, which asks for it.
func (d *Dispatcher) TakeOver(epoch uint64) {
	d.logger.Info("the leader asks this entry to lead; epoch=%d", epoch)
	d.suspectedLeader.Store(&suspectedLeader{epoch: epoch, until: time.Now().Add(suspicionDuration), requested: true})
	wait.Notify(d.suspicionChanged)
}

// takeOverRequested reports whether the leader itself has just takeOverRequested this entry to lead.
func (d *Dispatcher) takeOverRequested() bool {
	s := d.suspectedLeader.Load()
	return s != nil && s.requested && time.Now().Before(s.until)
}

// mayReplace reports whether this entry may stand against the lead of an epoch.
func (d *Dispatcher) mayReplace(epoch uint64) bool {
	s := d.suspectedLeader.Load()
	return s != nil && s.epoch == epoch && time.Now().Before(s.until)
}

// storeReach tells whom the store answers.
type storeReach int

const (
	// storeReachable: the store answers the lead.
	storeReachable storeReach = iota
	// storeUnavailable: it answers nobody that is known of.
	storeUnavailable
	// storeReachableByOthers: it answers an entry and not the lead.
	storeReachableByOthers
)

// assessStore tells whom the store answers, by the lead's own calls and what an entry tells of its own.
func (t *term) assessStore(p link.Ping) storeReach {
	health := t.dispatcher.config.Health
	if !health.Down() && health.Failures() < yieldFailures {
		return storeReachable
	}
	answered := time.Now().Add(-time.Duration(p.StoreAgeMillis) * time.Millisecond)
	newer := p.StoreAgeMillis >= 0 && answered.After(health.Failing().Add(answerAgeMargin))
	switch {
	case !newer && (t.storeAnsweredOther(health.Failing()) || health.Limited()):
		return storeReachable
	case !newer:
		return storeUnavailable
	case health.Failures() >= yieldFailures && (p.Strength >= t.dispatcher.config.Strength || time.Since(health.Failing()) > successorWait):
		return storeReachableByOthers
	}
	t.mu.Lock()
	t.otherAnsweredAt = time.Now()
	t.mu.Unlock()
	wait.Notify(t.storeAnswered)
	return storeReachable
}

// storeAnsweredOther reports whether the lead has heard since a time that the store answers another entry.
func (t *term) storeAnsweredOther(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.otherAnsweredAt.After(since)
}

// outranks reports whether an entry would lead much better: it is far stronger, and the term has stood long enough for the agents to have
// reported.
func (t *term) outranks(p link.Ping) bool {
	return p.Strength >= outrankFactor*t.dispatcher.config.Strength && time.Since(t.startedAt) > outrankTermAge
}

// storeAnsweredRecently reports whether the store has just answered an entry.
func storeAnsweredRecently(p link.Ping) bool {
	return p.StoreAgeMillis >= 0 && p.StoreAgeMillis < outrankAnswerAge.Milliseconds()
}

// yield ends the term, since another entry takes over.
func (t *term) yield(entry, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.yielded:
	default:
		t.logger.Warn("the lead yields; epoch=%d to=%s reason=%s", t.epoch, entry, reason)
		close(t.yielded)
	}
}

// awaitYield ends the term once it has yielded; its agents are let go at once.
func (t *term) awaitYield(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.yielded:
	}
	t.dispatcher.backoffUntil.Store(time.Now().Add(yieldCooldown).UnixMilli())
	t.dispatcher.term.CompareAndSwap(t, nil)
	t.closeSessions()
	return fault.New(fault.Unavailable, "another entry takes over")
}
