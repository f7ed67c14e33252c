package fleet

import (
	"fmt"
	"slices"
	"time"
)

// recordFirstCall records that a call reached an incarnation, which from then on refuses calls with a lower fence.
func (w *Worker) recordFirstCall(inc *incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !inc.firstCall.IsZero() || w.incarnation != inc {
		return
	}
	inc.firstCall = time.Now()
	w.checker.recordFirstCall(inc.firstCall.Sub(inc.start))
}

// recordFirstCall records the time from the start of an incarnation to the first call that reached it.
func (c *Checker) recordFirstCall(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstCalls = append(c.firstCalls, after)
}

// FirstCalls summarizes the times from the starts of incarnations to the first calls that reached them.
func (c *Checker) FirstCalls() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.firstCalls) == 0 {
		return "no incarnation called"
	}
	sorted := slices.Sorted(slices.Values(c.firstCalls))
	percentile := func(percent int) time.Duration { return sorted[(len(sorted)-1)*percent/100].Round(time.Millisecond) }
	return fmt.Sprintf("%d incarnations called first after %v (median), %v (90th percentile), %v (maximum)", len(sorted), percentile(50), percentile(90), percentile(100))
}

const (
	// maxMedianFirstCall bounds the median time to the first call. Until that call an incarnation may execute a start that
	// was sent to the previous one.
	maxMedianFirstCall = 100 * time.Millisecond
	// minFirstCalls is the number of incarnations required for the check of the median.
	minFirstCalls = 10
)

// checkFirstCalls returns an error if the median of the times to the first call is too long.
func (c *Checker) checkFirstCalls() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	sorted := slices.Sorted(slices.Values(c.firstCalls))
	if len(sorted) < minFirstCalls || sorted[len(sorted)/2] <= maxMedianFirstCall {
		return nil
	}
	return fmt.Errorf("half of %d incarnations were called later than %v after their start, median %v", len(sorted), maxMedianFirstCall, sorted[len(sorted)/2])
}

// String describes the age of the incarnation and the time to its first call.
func (inc *incarnation) String() string {
	if inc.firstCall.IsZero() {
		return fmt.Sprintf("%s, %v old, not called yet", inc.key, time.Since(inc.start).Round(time.Millisecond))
	}
	return fmt.Sprintf("%s, %v old, called first after %v", inc.key, time.Since(inc.start).Round(time.Millisecond), inc.firstCall.Sub(inc.start).Round(time.Millisecond))
}
