package relay

import (
	"sync"
	"time"
)

// Link is the network link of a process, whose bandwidth all its connections share in each direction.
type Link struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the bytes that have been accepted in a direction will have passed.
	freeAt map[Direction]time.Time
}

// NewLink returns a link with a bandwidth in bytes per second.
func NewLink(bytesPerSecond int) *Link {
	return &Link{bytesPerSecond: float64(bytesPerSecond), freeAt: make(map[Direction]time.Time)}
}

// reserve accepts n bytes in a direction and returns how long they take to pass, behind those accepted before.
func (l *Link) reserve(direction Direction, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	start := now
	if l.freeAt[direction].After(now) {
		start = l.freeAt[direction]
	}
	l.freeAt[direction] = start.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt[direction].Sub(now)
}

// SetLink passes the bytes of all connections through a link, which several relays may share.
func (r *Relay) SetLink(link *Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.link = link
}
