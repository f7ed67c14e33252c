package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// birth is what a worker has when it starts.
type birth struct {
	instance string
	// born is the time of the start in milliseconds since 1970, 0 where the worker does not report it.
	born       int64
	clockStart time.Duration
}

// Rebirth returns the n-th birth of a worker.
type Rebirth func(name string, n int) birth

// Renamed gives each incarnation an id of its own.
func Renamed(name string, n int) birth { return birth{instance: fmt.Sprintf("i-%s-%d", name, n)} }

// SameIDClockAhead starts again under the same id, with a clock that is ahead of the one before.
func SameIDClockAhead(name string, n int) birth {
	return birth{instance: "i-" + name, born: time.Now().UnixMilli(), clockStart: time.Duration(n) * time.Hour}
}

// SameIDClockBehind starts again under the same id, with a clock that is behind the one before.
func SameIDClockBehind(name string, n int) birth {
	return birth{instance: "i-" + name, born: time.Now().UnixMilli(), clockStart: time.Duration(100-n) * time.Hour}
}

// anyRebirth returns a rebirth whose choices follow a seed: the same id, one of long ago or a new one, any clock, and times of birth that step
// back now and then.
func anyRebirth(seed uint64) Rebirth {
	random := rand.New(rand.NewPCG(seed, 17))
	return func(name string, _ int) birth {
		b := birth{instance: "i-" + name, born: time.Now().UnixMilli(), clockStart: time.Duration(random.IntN(200)) * time.Second}
		switch random.IntN(4) {
		case 0:
			b.instance = fmt.Sprintf("i-%s-%d", name, random.IntN(3))
		case 1:
			b.born -= int64(random.IntN(100_000))
		}
		return b
	}
}
