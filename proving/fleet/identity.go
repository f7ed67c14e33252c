package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// identity is how a worker identifies an incarnation.
type identity struct {
	instance string
	// startMillis is the start time in milliseconds since 1970, 0 if the worker does not report it.
	startMillis int64
	clockStart  time.Duration
}

// IdentityFunc returns the identity of a worker's n-th incarnation.
type IdentityFunc func(name string, n int) identity

// FreshID returns an identity with a unique id, without a start time.
func FreshID(name string, n int) identity { return identity{instance: fmt.Sprintf("i-%s-%d", name, n)} }

// SameIDClockAhead returns an identity with the worker's one id and a clock that is ahead of the previous one.
func SameIDClockAhead(name string, n int) identity {
	return identity{instance: "i-" + name, startMillis: time.Now().UnixMilli(), clockStart: time.Duration(n) * time.Hour}
}

// SameIDClockBehind returns an identity with the worker's one id and a clock that is behind the previous one.
func SameIDClockBehind(name string, n int) identity {
	return identity{instance: "i-" + name, startMillis: time.Now().UnixMilli(), clockStart: time.Duration(100-n) * time.Hour}
}

// randomIdentities returns identities drawn from a seed: the same id, an id used before or a new one, any clock, and start
// times that sometimes go back.
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

// One in clockAheadOneIn incarnations of sameIDAnyClock has a clock that is ahead of the previous one.
const clockAheadOneIn = 4

// sameIDAnyClock returns identities with the worker's one id and clocks drawn from a seed: most start over, some are far ahead.
func sameIDAnyClock(seed uint64) IdentityFunc {
	random := rand.New(rand.NewPCG(seed, 19))
	return func(name string, n int) identity {
		next := identity{instance: "i-" + name, startMillis: time.Now().UnixMilli()}
		if random.IntN(clockAheadOneIn) == 0 {
			next.clockStart = time.Duration(n) * time.Hour
		}
		return next
	}
}
