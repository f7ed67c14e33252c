package wait

import (
	"sync"
	"time"
)

const (
	// patienceFactor times the usual time of an answer is how long the first attempt waits for one.
	patienceFactor = 8
	// usualShare is the divisor by which the newest time goes into the usual one.
	usualShare = 8
)

// Timeout is how long an attempt that is safe to repeat waits for its answer, by how long answers usually take.
type Timeout struct {
	least, most time.Duration

	mu    sync.Mutex
	usual time.Duration
}

// NewTimeout returns a patience between two bounds.
func NewTimeout(least, most time.Duration) *Timeout { return &Timeout{least: least, most: most} }

// First returns how long a first attempt waits.
func (p *Timeout) First() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(patienceFactor*p.usual, p.least), p.most)
}

// Extend returns how long the attempt after one of some patience waits, for what has become slow.
func (p *Timeout) Extend(patience time.Duration) time.Duration { return min(2*patience, p.most) }

// Observe takes note of how long an answer took.
func (p *Timeout) Observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += (took - p.usual) / usualShare
}
