package host

import "time"

// LateFor is how long after a call without an answer the worker may still carry it out.
const LateFor = 15 * time.Second

// Late holds calls that the worker may still carry out, with when each was recorded last.
type Late[K comparable] map[K]time.Time

// Add records a call, and forgets those that are over.
func (l Late[K]) Add(call K, now time.Time) {
	l[call] = now
	for c := range l {
		if !l.Has(c, now) {
			delete(l, c)
		}
	}
}

// Has reports whether a call may still be carried out.
func (l Late[K]) Has(call K, now time.Time) bool {
	recorded, known := l[call]
	return known && now.Sub(recorded) <= LateFor
}
