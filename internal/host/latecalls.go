package host

import "time"

// MaxCallDelay is how long after a call without an answer the worker may still carry it out.
const MaxCallDelay = 15 * time.Second

// LateCalls holds calls that the worker may still carry out, with when each was recorded last.
type LateCalls[K comparable] map[K]time.Time

// Add records a call, and forgets those that are over.
func (l LateCalls[K]) Add(call K, now time.Time) {
	l[call] = now
	for c := range l {
		if !l.Has(c, now) {
			delete(l, c)
		}
	}
}

// Has reports whether a call may still be carried out.
func (l LateCalls[K]) Has(call K, now time.Time) bool {
	recorded, known := l[call]
	return known && now.Sub(recorded) <= MaxCallDelay
}
