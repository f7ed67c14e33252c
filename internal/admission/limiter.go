package admission

import (
	"math"
	"time"
)

const (
	smoothing      = 0.05
	decreaseFactor = 0.9
	tolerance      = 2.0
	adaptInterval  = 16
)

// Limiter limits the concurrent requests of one replica. It is not safe for concurrent use.
type Limiter struct {
	slots             int
	queue             int
	target            time.Duration
	limit             float64
	running           int
	waiting           int
	serviceTime       float64
	lowestServiceTime float64
	sinceAdapt        int
}

// NewLimiter returns a limiter for a replica that runs slots requests at once and queues up to queue requests.
func NewLimiter(slots, queue int, target time.Duration) *Limiter {
	l := &Limiter{}
	l.Configure(slots, queue, target)
	return l
}

// Configure changes the limits; running and waiting requests are kept.
func (l *Limiter) Configure(slots, queue int, target time.Duration) {
	if slots != l.slots {
		l.limit = float64(max(slots, 1))
	}
	l.slots, l.queue, l.target = max(slots, 1), max(queue, 0), target
}

// Running returns the number of running requests.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the number of waiting requests.
func (l *Limiter) Waiting() int { return l.waiting }

// Load returns the share, 0 to 1, of the slots that are in use.
func (l *Limiter) Load() float64 { return min(float64(l.running)/float64(l.slots), 1) }

// Decision is the decision on a request.
type Decision int

// The decisions on a request.
const (
	Run Decision = iota
	Wait
	Refuse
)

// Offer decides on a request with the time remaining until its deadline; Run and Wait count it at once.
func (l *Limiter) Offer(remaining time.Duration) Decision {
	if l.running < l.capacity() && l.waiting == 0 {
		l.running++
		return Run
	}
	if l.waiting >= l.queue || l.startDelay(l.waiting+1)+l.expected() > remaining {
		return Refuse
	}
	l.waiting++
	return Wait
}

func (l *Limiter) capacity() int { return max(int(l.limit), 1) }

// Promote moves a waiting request to the running ones if there is capacity.
func (l *Limiter) Promote() bool {
	if l.waiting == 0 || l.running >= l.capacity() {
		return false
	}
	l.waiting--
	l.running++
	return true
}

// Abandon removes a waiting request from the count.
func (l *Limiter) Abandon() { l.waiting-- }

// Release removes a request that was not run from the count of running ones.
func (l *Limiter) Release() { l.running-- }

// Finish records the end of a request and how long it ran.
func (l *Limiter) Finish(took time.Duration) {
	l.running--
	seconds := took.Seconds()
	if l.serviceTime == 0 {
		l.serviceTime, l.lowestServiceTime = seconds, seconds
	}
	l.serviceTime += smoothing * (seconds - l.serviceTime)
	l.lowestServiceTime = min(l.lowestServiceTime*1.001, l.serviceTime)
	l.adapt()
}

// adapt lowers the limit while requests run much slower than at their best, and otherwise raises it slowly.
func (l *Limiter) adapt() {
	l.sinceAdapt++
	if l.sinceAdapt < adaptInterval {
		return
	}
	l.sinceAdapt = 0
	overloaded := l.serviceTime > tolerance*l.lowestServiceTime && l.target > 0 && l.serviceTime > l.target.Seconds()/2
	if overloaded {
		l.limit = max(l.limit*decreaseFactor, float64(l.slots)/2, 1)
		return
	}
	l.limit = min(l.limit+0.5, float64(l.slots))
}

// expected returns the expected run time of a request.
func (l *Limiter) expected() time.Duration {
	return time.Duration(l.serviceTime * float64(time.Second))
}

// startDelay returns the time until the waiting request at a position, from 1, starts.
func (l *Limiter) startDelay(position int) time.Duration {
	rounds := math.Ceil(float64(position) / float64(l.capacity()))
	return time.Duration(rounds * l.serviceTime * float64(time.Second))
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// RetryAfter returns the retry delay of a refused request: the time until the queue has drained, spread by a random
// number from 0 to 1.
func (l *Limiter) RetryAfter(random float64) time.Duration {
	drained := l.startDelay(l.waiting+1) + l.expected()
	return min(max(time.Duration(float64(drained)*(1+random)), minRetryAfter), maxRetryAfter)
}
