package dispatch

import (
	"context"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
	"github.com/saffronpulley/saffronpulley/internal/link"
	"github.com/saffronpulley/saffronpulley/internal/record"
	"github.com/saffronpulley/saffronpulley/internal/wait"
)

const (
	// suspicionDuration is how long an entry may campaign against a suspected leader: a store that answers takes a few milliseconds.
	suspicionDuration = time.Second
	// answerAgeMargin is how much newer an entry's last answer from the store must be than the leader's first failed call to show that the
	// store works: message delays and slow processes make the answer look newer than it is.
	answerAgeMargin = 20 * time.Millisecond
	// stepDownFailures is the number of consecutive unanswered calls to the store after which a leader steps down while the store answers other
	// entries: if a third of all answers is lost, that happens about once in several hundred commits.
	stepDownFailures = 5
	// readmissionTTL is how long the report of an entry that the store answers again after rate limiting it shows that the rate limit applies to all
	// processes: entries ping twice a second.
	readmissionTTL = time.Second
	// probeTimeout bounds the call by which a rate-limited leader checks whether the store still rejects it. An entry without the store waits 200 ms
	// for the answer to its ping, which that call delays.
	probeTimeout = 100 * time.Millisecond
	// successorWait is how long a leader without the store waits for the ping of a successor at least as strong as itself: a weaker one plans
	// more slowly for its whole term, and entries ping twice a second.
	successorWait = 900 * time.Millisecond
	// outrankFactor is how many times stronger an entry must be for a healthy leader to step down for it: with 160 workers a leader uses up to
	// 0.37 of a core, which the weaker entries of the users' large site do not have.
	outrankFactor = 2.0
	// outrankTermAge is the least age of the term for that, outrankAnswerAge the greatest age of the entry's last answer from the store.
	outrankTermAge   = time.Second
	outrankAnswerAge = time.Second
	// stepDownCooldown is how long a leader that stepped down is no candidate.
	stepDownCooldown = time.Second
)

// suspectedLeader is a leader that this entry may replace before its lease expires.
type suspectedLeader struct {
	epoch uint64
	until time.Time
	// requested reports whether the leader itself asked this entry to take over; leases is what it then stated about its leases.
	requested bool
	leases    handedOver
}

// SuspectLeader lets this entry campaign against the leader of an epoch, which seems to have failed. A wrong suspicion is harmless: each commit
// depends on the previous one, so a replaced leader cannot commit.
func (d *Dispatcher) SuspectLeader(epoch uint64, reason string) {
	d.logger.Warn("the leader is suspected; epoch=%d reason=%s", epoch, reason)
	d.suspectedLeader.Store(&suspectedLeader{epoch: epoch, until: time.Now().Add(suspicionDuration)})
	wait.Notify(d.suspicionChanged)
}

// TakeOver lets this entry campaign at once to replace the leader of an epoch, which asks for it. leases is how long leases granted by that leader
// and by those before it may still last, 0 if it is of the previous release and does not say.
func (d *Dispatcher) TakeOver(epoch uint64, leases time.Duration) {
	d.logger.Info("the leader asks this entry to take over; epoch=%d leases_ms=%d", epoch, leases.Milliseconds())
	s := &suspectedLeader{epoch: epoch, until: time.Now().Add(suspicionDuration), requested: true}
	if leases > 0 {
		s.leases = handedOver{epoch: epoch, until: time.Now().Add(leases)}
	}
	d.suspectedLeader.Store(s)
	wait.Notify(d.suspicionChanged)
}

// takeOverRequested reports whether the leader has asked this entry to take over within suspicionDuration.
func (d *Dispatcher) takeOverRequested() bool {
	s := d.suspectedLeader.Load()
	return s != nil && s.requested && time.Now().Before(s.until)
}

// mayReplace reports whether this entry may campaign against the leader of an epoch.
func (d *Dispatcher) mayReplace(epoch uint64) bool {
	s := d.suspectedLeader.Load()
	return s != nil && s.epoch == epoch && time.Now().Before(s.until)
}

// storeReach is which processes the store answers.
type storeReach int

const (
	// storeReachable: the store answers the leader, or the leader goes on retrying.
	storeReachable storeReach = iota
	// storeUnavailable: the store answers no known process.
	storeUnavailable
	// storeReachableByOthers: the store answers an entry but not the leader, which must step down.
	storeReachableByOthers
)

// assessStore returns which processes the store answers, by the leader's own calls and the ping of an entry.
func (t *term) assessStore(ctx context.Context, p link.Ping) storeReach {
	health := t.dispatcher.config.Health
	if p.Readmitted {
		t.recordReadmission()
	}
	if !health.Down() && health.Failures() < stepDownFailures {
		return storeReachable
	}
	answeredAt := time.Now().Add(-time.Duration(p.StoreAgeMillis) * time.Millisecond)
	newer := p.StoreAgeMillis >= 0 && answeredAt.After(health.FailingSince().Add(answerAgeMargin))
	switch {
	case !newer && (t.storeAnsweredOther(health.FailingSince()) || health.Limited()):
		return storeReachable
	case !newer:
		return storeUnavailable
	case t.rejectedCalls() >= stepDownFailures && (p.Strength >= t.dispatcher.config.Strength || time.Since(health.FailingSince()) > successorWait):
		if t.confirmRejection(ctx) {
			return storeReachableByOthers
		}
		return storeReachable
	}
	t.recordOtherAnswer()
	return storeReachable
}

// rejectedCalls returns how many consecutive calls show that the store does not answer this leader, or rejects it. Status 429 shows neither while the
// store rate limits all processes.
func (t *term) rejectedCalls() int {
	if t.rateLimitShared() {
		return t.dispatcher.config.Health.Unanswered()
	}
	return t.dispatcher.config.Health.Failures()
}

// confirmRejection reports whether the store still rejects this leader. If most failures were rejections by the rate limit, another call decides: the
// next rate window may have begun, in which the store has answered another entry first.
func (t *term) confirmRejection(ctx context.Context) bool {
	health := t.dispatcher.config.Health
	if health.Unanswered() >= stepDownFailures {
		return true
	}
	if !t.probing.CompareAndSwap(false, true) {
		return false
	}
	defer t.probing.Store(false)
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := t.store.Get(bounded, record.LastCommitKey)
	t.logger.Warn("a rate-limited leader has called the store again; epoch=%d failures=%d unanswered=%d answered=%t reason=%v",
		t.epoch, health.Failures(), health.Unanswered(), health.Failures() == 0, err)
	return t.rejectedCalls() >= stepDownFailures
}

// rateLimitShared reports whether the store has recently rate limited an entry that it has answered since.
func (t *term) rateLimitShared() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.otherReadmittedAt) < readmissionTTL
}

// recordReadmission records that an entry was answered after the store had rate limited it.
func (t *term) recordReadmission() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.otherReadmittedAt = time.Now()
}

// recordOtherAnswer records that the store answers an entry. A commit that waits to be retried is retried then, unless each retry adds to the
// rate that the store limits.
func (t *term) recordOtherAnswer() {
	t.mu.Lock()
	t.otherAnsweredAt = time.Now()
	t.mu.Unlock()
	if !t.rateLimitShared() {
		wait.Notify(t.storeAnswered)
	}
}

// storeAnsweredOther reports whether an entry has reported an answer from the store since a time.
func (t *term) storeAnsweredOther(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.otherAnsweredAt.After(since)
}

// outranks reports whether an entry should replace this leader because it is much stronger. The term must be old enough for the agents to have
// reported.
func (t *term) outranks(p link.Ping) bool {
	return p.Strength >= outrankFactor*t.dispatcher.config.Strength && time.Since(t.startedAt) > outrankTermAge
}

// storeAnsweredRecently reports whether the store has answered an entry within outrankAnswerAge.
func storeAnsweredRecently(p link.Ping) bool {
	return p.StoreAgeMillis >= 0 && p.StoreAgeMillis < outrankAnswerAge.Milliseconds()
}

// stepDown makes the leader step down for another entry, after which it grants no more leases, and returns how long those that it and the leaders
// before it granted may still last.
func (t *term) stepDown(entry, reason string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasSteppedDown() {
		t.logger.Warn("the leader steps down; epoch=%d to=%s reason=%s", t.epoch, entry, reason)
		close(t.steppedDown)
	}
	return t.remainingLeases(time.Now())
}

// hasSteppedDown reports whether another entry was asked to take over.
func (t *term) hasSteppedDown() bool {
	select {
	case <-t.steppedDown:
		return true
	default:
		return false
	}
}

// awaitStepDown ends the term and closes the sessions of its agents as soon as the leader steps down.
func (t *term) awaitStepDown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.steppedDown:
	}
	t.dispatcher.backoffUntil.Store(time.Now().Add(stepDownCooldown).UnixMilli())
	t.dispatcher.term.CompareAndSwap(t, nil)
	t.closeSessions()
	return fault.New(fault.Unavailable, "another entry takes over")
}
