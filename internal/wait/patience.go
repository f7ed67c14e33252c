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

// Patience is how long an attempt that is safe to repeat waits for its answer, by how long answers usually take.
type Patience struct {
	least, most time.Duration

	mu    sync.Mutex
	usual time.Duration
}

// NewPatience returns a patience between two bounds.
func NewPatience(least, most time.Duration) *Patience { return &Patience{least: least, most: most} }

// First returns how long a first attempt waits.
func (p *Patience) First() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(patienceFactor*p.usual, p.least), p.most)
}

// Longer returns how long the attempt after one of some patience waits, for what has become slow.
func (p *Patience) Longer(patience time.Duration) time.Duration { return min(2*patience, p.most) }

// Answered takes note of how long an answer took.
func (p *Patience) Answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += (took - p.usual) / usualShare
}
