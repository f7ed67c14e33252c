package fleet

import (
	"math/rand/v2"
	"time"
)

// closedBound is how long after a hall was closed tasks may still be started there: the platform allows 5 s to a process that
// nothing disturbs, and the soak disturbs all.
const closedBound = 12 * time.Second

// How long a hall is open before it is closed and how long it is closed then, in milliseconds: the least, and below how much more.
const (
	leastOpen   = 500
	moreOpen    = 5000
	leastClosed = 500
	moreClosed  = 18000
)

// closeHalls closes a hall every so often and opens it again, until stop is closed; then all are open.
func (f *Fleet) closeHalls(s Soak, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.Seed, 13))
	for {
		hall := halls[random.IntN(len(halls))]
		if !pause(stop, time.Duration(leastOpen+random.IntN(moreOpen))*time.Millisecond) {
			return
		}
		s.Say("hall %s is closed", hall)
		f.setClosed(hall, true)
		goesOn := pause(stop, time.Duration(leastClosed+random.IntN(moreClosed))*time.Millisecond)
		s.Say("hall %s is open again", hall)
		f.setClosed(hall, false)
		if !goesOn {
			return
		}
	}
}

// pause waits and reports whether the time passed before stop was closed.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// setClosed closes or opens a hall as the operators do.
func (f *Fleet) setClosed(hall string, closed bool) {
	change := func() error { return f.store.Remove(closures + hall) }
	if closed {
		change = func() error { return f.store.Put(closures+hall, []byte("{}")) }
	}
	f.books.Closed(hall, closed, change())
}
