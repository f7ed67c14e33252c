package fleet

import (
	"fmt"
	"slices"
	"time"
)

// recordFirstCall records that a call reached an incarnation, which from then on refuses what was sent under a lower fence.
func (w *Worker) recordFirstCall(l *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !l.firstCall.IsZero() || w.incarnation != l {
		return
	}
	l.firstCall = time.Now()
	w.checker.recordFirstCall(l.firstCall.Sub(l.start))
}

// recordFirstCall records the time from the start of an incarnation to the first call that reached it.
func (b *Checker) recordFirstCall(after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstCalls = append(b.firstCalls, after)
}

// FirstCalls describes the times from the starts of incarnations to the first calls that reached them.
func (b *Checker) FirstCalls() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.firstCalls) == 0 {
		return "no incarnation called"
	}
	sorted := slices.Sorted(slices.Values(b.firstCalls))
	percentile := func(percent int) time.Duration { return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond) }
	return fmt.Sprintf("%d incarnations called first after %v (median), %v (nine in ten), %v (longest)", len(sorted), percentile(50), percentile(90), percentile(100))
}

const (
	// maxMedianFirstCall is the time within which half of the incarnations are to be called: a start that was sent to an earlier one may run there before that.
	maxMedianFirstCall = 100 * time.Millisecond
	// minFirstCalls is how many incarnations there must be for that to be judged.
	minFirstCalls = 10
)

// checkFirstCalls returns an error where incarnations were called late.
func (b *Checker) checkFirstCalls() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	sorted := slices.Sorted(slices.Values(b.firstCalls))
	if len(sorted) < minFirstCalls || sorted[len(sorted)/2] <= maxMedianFirstCall {
		return nil
	}
	return fmt.Errorf("half of %d incarnations were called later than %v after their start, %v in the middle", len(sorted), maxMedianFirstCall, sorted[len(sorted)/2])
}

// String describes how old the incarnation is, and when a call reached it first.
func (l *incarnation) String() string {
	if l.firstCall.IsZero() {
		return fmt.Sprintf("%s, %v old, not called yet", l.key, time.Since(l.start).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, %v old, called first after %v", l.key, time.Since(l.start).Round(time.Millisecond), l.firstCall.Sub(l.start).Round(time.Millisecond))
}
