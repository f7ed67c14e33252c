package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// suspectFor is how long an entry stands against a lead that is suspected: a store that answers takes some milliseconds.
	suspectFor = time.Second
	// newerBy is by how much an entry's answer from the store must be newer than the lead's trouble to show that the store
	// works: messages and slow processes make it look newer than it is.
	newerBy = 20 * time.Millisecond
	// yieldAfter is how many calls of a lead in a row are not answered, while the store answers others, until it yields: where
	// a third of all answers is lost that happens once in some hundred commits.
	yieldAfter = 5
	// pickFor is how long a lead waits for an entry as strong as itself: one that is weaker plans more slowly for as long as it
	// leads, and pings come twice a second.
	pickFor = 900 * time.Millisecond
	// outrankBy is how much stronger an entry has to be for a lead that is well to yield to it: at 160 workers a lead takes up to
	// 0.37 of a core, which the weaker entries of the users' large site do not have.
	outrankBy = 2.0
	// outrankAfter is how old a term must be for that, outrankFresh how new the entry's latest answer from the store.
	outrankAfter = time.Second
	outrankFresh = time.Second
	// yieldRest is how long a lead that yielded does not stand again.
	yieldRest = time.Second
)

// suspicion is a lead that may be replaced for a while.
type suspicion struct {
	epoch uint64
	until time.Time
	// asked says that the leader itself asks this entry to lead.
	asked bool
}

// Suspect lets this entry stand against the lead of an epoch, which is gone; the chain of commits keeps a lead
// that is suspected wrongly from doing harm.
func (d *Dispatcher) Suspect(epoch uint64, reason string) {
	d.logger.Warn("the lead is suspected; epoch=%d reason=%s", epoch, reason)
	d.suspected.Store(&suspicion{epoch: epoch, until: time.Now().Add(suspectFor)})
	wait.Wake(d.suspects)
}

// Succeed lets this entry lead at once in place of the leader of an epoch, which asks for it.
func (d *Dispatcher) Succeed(epoch uint64) {
	d.logger.Info("the leader asks this entry to lead; epoch=%d", epoch)
	d.suspected.Store(&suspicion{epoch: epoch, until: time.Now().Add(suspectFor), asked: true})
	wait.Wake(d.suspects)
}

// asked reports whether the leader itself has just asked this entry to lead.
func (d *Dispatcher) asked() bool {
	s := d.suspected.Load()
	return s != nil && s.asked && time.Now().Before(s.until)
}

// mayReplace reports whether this entry may stand against the lead of an epoch.
func (d *Dispatcher) mayReplace(epoch uint64) bool {
	s := d.suspected.Load()
	return s != nil && s.epoch == epoch && time.Now().Before(s.until)
}

// reach tells whom the store answers.
type reach int

const (
	// storeWell: the store answers the lead.
	storeWell reach = iota
	// storeAway: it answers nobody that is known of.
	storeAway
	// storeElsewhere: it answers an entry and not the lead.
	storeElsewhere
)

// judge tells whom the store answers, by the lead's own calls and what an entry tells of its own.
func (t *term) judge(p link.Ping) reach {
	health := t.d.config.Health
	if !health.Down() && health.Failures() < yieldAfter {
		return storeWell
	}
	answered := time.Now().Add(-time.Duration(p.StoreAgeMillis) * time.Millisecond)
	newer := p.StoreAgeMillis >= 0 && answered.After(health.Failing().Add(newerBy))
	switch {
	case !newer && (t.knownToAnswer(health.Failing()) || health.Limited()):
		return storeWell
	case !newer:
		return storeAway
	case health.Failures() >= yieldAfter && (p.Strength >= t.d.config.Strength || time.Since(health.Failing()) > pickFor):
		return storeElsewhere
	}
	t.mu.Lock()
	t.elsewhere = time.Now()
	t.mu.Unlock()
	wait.Wake(t.proven)
	return storeWell
}

// knownToAnswer reports whether the lead has heard since a time that the store answers another entry.
func (t *term) knownToAnswer(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.elsewhere.After(since)
}

// outranks reports whether an entry would lead much better: it is far stronger, and the term has stood long enough for the agents to have
// reported.
func (t *term) outranks(p link.Ping) bool {
	return p.Strength >= outrankBy*t.d.config.Strength && time.Since(t.started) > outrankAfter
}

// storeAnsweredLately reports whether the store has just answered an entry.
func storeAnsweredLately(p link.Ping) bool {
	return p.StoreAgeMillis >= 0 && p.StoreAgeMillis < outrankFresh.Milliseconds()
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
	t.d.rest.Store(time.Now().Add(yieldRest).UnixMilli())
	t.d.term.CompareAndSwap(t, nil)
	t.letGo()
	return fault.New(fault.Unavailable, "another entry takes over")
}
