package wait

import "time"

// Backoff spreads retries of many processes against a shared resource: each delay is random between 0 and a bound that doubles.
//
// It must be used by a single goroutine.
type Backoff struct {
	minBound, maxBound, bound time.Duration
	random                    func() float64
}

// NewBackoff returns a backoff whose bound grows from minBound to maxBound; random returns numbers in [0, 1).
func NewBackoff(minBound, maxBound time.Duration, random func() float64) *Backoff {
	return &Backoff{minBound: minBound, maxBound: maxBound, bound: minBound, random: random}
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	delay := time.Duration(b.random() * float64(b.bound))
	b.bound = min(2*b.bound, b.maxBound)
	return delay
}

// Reset restores the initial bound after a successful attempt.
func (b *Backoff) Reset() { b.bound = b.minBound }
