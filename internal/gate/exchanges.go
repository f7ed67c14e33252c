package gate

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Retention is how long an agent remembers the requests that may not be repeated, in time.
const Retention = 10 * time.Minute

const maxExchanges = 32768

// exchange is what is remembered of a request that may not be repeated.
type exchange struct {
	barred bool
	key    string
	slot   int
	at     time.Time
}

// exchanges remembers which requests were let in and which never will be.
type exchanges struct {
	mu     sync.Mutex
	known  map[string]exchange
	order  []string
	epochs map[int]uint64
}

func newExchanges() *exchanges {
	return &exchanges{known: make(map[string]exchange), epochs: make(map[int]uint64)}
}

// letIn takes note of a request that is about to run; a barred or known one, or one of an old owner, is refused.
func (x *exchanges) letIn(id, key string, slot int, epoch uint64, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.known[id]; ok {
		if known.barred {
			return fault.New(fault.Stale, "the request was given up before it came")
		}
		return fault.New(fault.OutcomeUnknown, "the request was let in before")
	}
	if key != "" && epoch < x.epochs[slot] {
		return fault.New(fault.Stale, "the key's owner has changed")
	}
	x.forget(now)
	if len(x.known) >= maxExchanges {
		return fault.New(fault.Overloaded, "too many requests that may not be repeated are remembered")
	}
	x.add(id, exchange{key: key, slot: slot, at: now})
	return nil
}

func (x *exchanges) add(id string, e exchange) {
	x.known[id] = e
	x.order = append(x.order, id)
}

// forget drops what is older than Remember.
func (x *exchanges) forget(now time.Time) {
	for len(x.order) > 0 {
		oldest, ok := x.known[x.order[0]]
		if ok && now.Sub(oldest.at) < Retention {
			return
		}
		delete(x.known, x.order[0])
		x.order = x.order[1:]
	}
}

// withdraw takes back a request that was let in but did not run, so that it never will.
func (x *exchanges) withdraw(id string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.known[id]; ok {
		x.known[id] = exchange{barred: true, at: now}
	}
}

// settle reports whether a request has surely not run, and bars it from running later.
func (x *exchanges) settle(id string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.known[id]; ok {
		return known.barred
	}
	x.forget(now)
	x.add(id, exchange{barred: true, at: now})
	return true
}

// seal refuses older epochs of a slot from now on and returns the keys of it that were let in.
func (x *exchanges) seal(slot int, epoch uint64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.epochs[slot] = max(x.epochs[slot], epoch)
	var keys []string
	for _, e := range x.known {
		if !e.barred && e.key != "" && e.slot == slot {
			keys = append(keys, e.key)
		}
	}
	return keys
}
