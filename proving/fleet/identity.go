package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// identity is what a worker has when it starts.
type identity struct {
	instance string
	// startMillis is the time of the start in milliseconds since 1970, 0 where the worker does not report it.
	startMillis int64
	clockStart  time.Duration
}

// IdentityFunc returns the n-th birth of a worker.
type IdentityFunc func(name string, n int) identity

// FreshID gives each incarnation an id of its own.
func FreshID(name string, n int) identity { return identity{instance: fmt.Sprintf("i-%s-%d", name, n)} }

// SameIDClockAhead starts again under the same id, with a clock that is ahead of the one before.
func SameIDClockAhead(name string, n int) identity {
	return identity{instance: "i-" + name, startMillis: time.Now().UnixMilli(), clockStart: time.Duration(n) * time.Hour}
}

// SameIDClockBehind starts again under the same id, with a clock that is behind the one before.
func SameIDClockBehind(name string, n int) identity {
	return identity{instance: "i-" + name, startMillis: time.Now().UnixMilli(), clockStart: time.Duration(100-n) * time.Hour}
}

// randomIdentities returns a rebirth whose choices follow a seed: the same id, one of long ago or a new one, any clock, and times of birth that step
// back now and then.
func randomIdentities(seed uint64) IdentityFunc {
	random := rand.New(rand.NewPCG(seed, 17))
	return func(name string, _ int) identity {
		next := identity{instance: "i-" + name, startMillis: time.Now().UnixMilli(), clockStart: time.Duration(random.IntN(200)) * time.Second}
		switch random.IntN(4) {
		case 0:
			next.instance = fmt.Sprintf("i-%s-%d", name, random.IntN(3))
		case 1:
			next.startMillis -= int64(random.IntN(100_000))
		}
		return next
	}
}
