package wait

import (
	"sync"
	"time"
)

const (
	// timeoutFactor times the mean response time is the timeout of a first attempt.
	timeoutFactor = 8
	// smoothing is the divisor of the moving average of response times.
	smoothing = 8
)

// Timeout computes the timeout of attempts that are safe to repeat from the mean response time.
type Timeout struct {
	floor, ceil time.Duration

	mu   sync.Mutex
	mean time.Duration
}

// NewTimeout returns a timeout between two bounds.
func NewTimeout(floor, ceil time.Duration) *Timeout { return &Timeout{floor: floor, ceil: ceil} }

// First returns the timeout of a first attempt.
func (t *Timeout) First() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(timeoutFactor*t.mean, t.floor), t.ceil)
}

// Extend returns the timeout of the attempt that follows one with the given timeout, in case the peer has become slow.
func (t *Timeout) Extend(timeout time.Duration) time.Duration { return min(2*timeout, t.ceil) }

// Observe records the response time of an answer.
func (t *Timeout) Observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean += (took - t.mean) / smoothing
}
