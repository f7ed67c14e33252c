package admission

import (
	"math"
	"time"
)

const (
	smoothing = 0.05
	backoff   = 0.9
	tolerance = 2.0
	adaptEach = 16
)

// Limiter decides for one replica; it is not safe for use by several goroutines at once.
type Limiter struct {
	slots    int
	queue    int
	target   time.Duration
	limit    float64
	running  int
	waiting  int
	service  float64
	lowest   float64
	sinceCut int
}

// NewLimiter returns a limiter for a replica that runs slots requests at once and lets queue requests wait.
func NewLimiter(slots, queue int, target time.Duration) *Limiter {
	l := &Limiter{}
	l.Configure(slots, queue, target)
	return l
}

// Configure changes the limits; requests that run or wait stay.
func (l *Limiter) Configure(slots, queue int, target time.Duration) {
	if slots != l.slots {
		l.limit = float64(max(slots, 1))
	}
	l.slots, l.queue, l.target = max(slots, 1), max(queue, 0), target
}

// Running returns the requests that run.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the requests that wait.
func (l *Limiter) Waiting() int { return l.waiting }

// Load returns the share, 0 to 1, of the slots that are in use.
func (l *Limiter) Load() float64 { return min(float64(l.running)/float64(l.slots), 1) }

// Decision is what happens to a request.
type Decision int

// The decisions on a request.
const (
	Run Decision = iota
	Wait
	Refuse
)

// Offer decides on a request that has left left until its deadline; Run and Wait count it at once.
func (l *Limiter) Offer(left time.Duration) Decision {
	if l.running < l.capacity() && l.waiting == 0 {
		l.running++
		return Run
	}
	if l.waiting >= l.queue || l.delay(l.waiting+1)+l.expected() > left {
		return Refuse
	}
	l.waiting++
	return Wait
}

func (l *Limiter) capacity() int { return max(int(l.limit), 1) }

// Promote moves a waiting request to those that run, if there is room.
func (l *Limiter) Promote() bool {
	if l.waiting == 0 || l.running >= l.capacity() {
		return false
	}
	l.waiting--
	l.running++
	return true
}

// Abandon takes a waiting request off the count.
func (l *Limiter) Abandon() { l.waiting-- }

// Release takes a request that did not run after all off those that run.
func (l *Limiter) Release() { l.running-- }

// Finish takes note of a request that has ended and how long it ran.
func (l *Limiter) Finish(took time.Duration) {
	l.running--
	seconds := took.Seconds()
	if l.service == 0 {
		l.service, l.lowest = seconds, seconds
	}
	l.service += smoothing * (seconds - l.service)
	l.lowest = min(l.lowest*1.001, l.service)
	l.adapt()
}

// adapt lessens the limit while requests run much slower than at their best, and raises it slowly otherwise.
func (l *Limiter) adapt() {
	l.sinceCut++
	if l.sinceCut < adaptEach {
		return
	}
	l.sinceCut = 0
	slow := l.service > tolerance*l.lowest && l.target > 0 && l.service > l.target.Seconds()/2
	if slow {
		l.limit = max(l.limit*backoff, float64(l.slots)/2, 1)
		return
	}
	l.limit = min(l.limit+0.5, float64(l.slots))
}

// expected is how long a request is expected to run.
func (l *Limiter) expected() time.Duration {
	return time.Duration(l.service * float64(time.Second))
}

// delay is how long until the waiting request at a place, from 1, starts.
func (l *Limiter) delay(place int) time.Duration {
	rounds := math.Ceil(float64(place) / float64(l.capacity()))
	return time.Duration(rounds * l.service * float64(time.Second))
}

const (
	soonest = 50 * time.Millisecond
	latest  = 30 * time.Second
)

// RetryAfter returns when a refused request should return: when the queue has drained, spread by a random number 0 to 1.
func (l *Limiter) RetryAfter(random float64) time.Duration {
	drained := l.delay(l.waiting+1) + l.expected()
	return min(max(time.Duration(float64(drained)*(1+random)), soonest), latest)
}
