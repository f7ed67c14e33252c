package gate

import (
	"sync"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// Retention is how long an agent keeps records of requests that may not be repeated.
const Retention = 10 * time.Minute

const maxExchanges = 32768

// exchange is the record of a request that may not be repeated.
type exchange struct {
	barred     bool
	key        string
	slot       int
	recordedAt time.Time
}

// exchanges records which requests were admitted and which are barred from running.
type exchanges struct {
	mu     sync.Mutex
	byID   map[string]exchange
	order  []string
	epochs map[int]uint64
}

func newExchanges() *exchanges {
	return &exchanges{byID: make(map[string]exchange), epochs: make(map[int]uint64)}
}

// admit records a request that is about to run; it rejects one that is barred or recorded already, or of an earlier
// owner of its key.
func (x *exchanges) admit(id, key string, slot int, epoch uint64, now time.Time) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.byID[id]; ok {
		if known.barred {
			return fault.New(fault.Stale, "the request was given up before it arrived")
		}
		return fault.New(fault.OutcomeUnknown, "the request was admitted before")
	}
	if key != "" && epoch < x.epochs[slot] {
		return fault.New(fault.Stale, "the key's owner has changed")
	}
	x.expire(now)
	if len(x.byID) >= maxExchanges {
		return fault.New(fault.Overloaded, "too many requests that may not be repeated are recorded")
	}
	x.add(id, exchange{key: key, slot: slot, recordedAt: now})
	return nil
}

func (x *exchanges) add(id string, e exchange) {
	x.byID[id] = e
	x.order = append(x.order, id)
}

// expire removes records older than Retention.
func (x *exchanges) expire(now time.Time) {
	for len(x.order) > 0 {
		oldest, ok := x.byID[x.order[0]]
		if ok && now.Sub(oldest.recordedAt) < Retention {
			return
		}
		delete(x.byID, x.order[0])
		x.order = x.order[1:]
	}
}

// withdraw bars a request that was admitted but did not run, so that it never will.
func (x *exchanges) withdraw(id string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.byID[id]; ok {
		x.byID[id] = exchange{barred: true, recordedAt: now}
	}
}

// confirmNotRun reports whether a request has not run, and bars it from running later.
func (x *exchanges) confirmNotRun(id string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if known, ok := x.byID[id]; ok {
		return known.barred
	}
	x.expire(now)
	x.add(id, exchange{barred: true, recordedAt: now})
	return true
}

// seal rejects older epochs of a slot from now on and returns the keys of the slot that were admitted.
func (x *exchanges) seal(slot int, epoch uint64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.epochs[slot] = max(x.epochs[slot], epoch)
	var keys []string
	for _, e := range x.byID {
		if !e.barred && e.key != "" && e.slot == slot {
			keys = append(keys, e.key)
		}
	}
	return keys
}
