package host

import "time"

// MaxCallDelay is how long after a call that got no answer the worker may still carry it out.
const MaxCallDelay = 15 * time.Second

// MaxStartTimeout is the longest time that an agent waits for the answer to a start.
const MaxStartTimeout = 600 * time.Millisecond

// MinClockRate is the lowest rate of a worker's clock relative to that of other processes, by the platform's specification.
const MinClockRate = 0.98

// LateCalls maps calls that the worker may still carry out to the time each was last recorded.
type LateCalls[K comparable] map[K]time.Time

// Add records a call and removes those that the worker can no longer carry out.
func (l LateCalls[K]) Add(call K, now time.Time) {
	l[call] = now
	for other := range l {
		if !l.Has(other, now) {
			delete(l, other)
		}
	}
}

// Has reports whether the worker may still carry out a call.
func (l LateCalls[K]) Has(call K, now time.Time) bool {
	recordedAt, known := l[call]
	return known && now.Sub(recordedAt) <= MaxCallDelay
}
