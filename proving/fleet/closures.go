package fleet

import (
	"math/rand/v2"
	"time"
)

// closureGrace is how long after the closure of a hall tasks may still start there: the platform allows 5 s to a process
// without faults, and the soak injects faults into all.
const closureGrace = 12 * time.Second

// The time in milliseconds that a hall stays open, and then closed: the minimum and the width of the random range above it.
const (
	minOpenMillis     = 500
	openRangeMillis   = 5000
	minClosedMillis   = 500
	closedRangeMillis = 18000
)

// closeHalls closes and opens a random hall repeatedly until stop is closed; then all are open.
func (f *Fleet) closeHalls(s Soak, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.Seed, 13))
	for {
		hall := halls[random.IntN(len(halls))]
		if !sleep(stop, time.Duration(minOpenMillis+random.IntN(openRangeMillis))*time.Millisecond) {
			return
		}
		s.Logf("hall %s is closed", hall)
		f.setClosed(hall, true)
		elapsed := sleep(stop, time.Duration(minClosedMillis+random.IntN(closedRangeMillis))*time.Millisecond)
		s.Logf("hall %s is open again", hall)
		f.setClosed(hall, false)
		if !elapsed {
			return
		}
	}
}

// sleep waits for d and reports whether it elapsed before stop was closed.
func sleep(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// setClosed closes or opens a hall as an operator.
func (f *Fleet) setClosed(hall string, closed bool) {
	update := func() error { return f.store.Remove(closurePrefix + hall) }
	if closed {
		update = func() error { return f.store.Put(closurePrefix+hall, []byte("{}")) }
	}
	f.checker.RecordClosure(hall, closed, update())
}
