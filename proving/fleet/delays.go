package fleet

import (
	"math/rand/v2"
	"time"
)

// How long starts take until the run works, and stops until the run has ended, on workers with delays: the minimum and the width of the random range
// above it.
const (
	minStartTime   = 400 * time.Millisecond
	startTimeRange = 300 * time.Millisecond
	minStopTime    = 60 * time.Millisecond
	stopTimeRange  = 120 * time.Millisecond
)

// setDelays makes starts and stops take time, drawn from a generator, and logs the runs.
func (w *Worker) setDelays(random *rand.Rand, logf func(format string, args ...any)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delays, w.logf = random, logf
}

// drawDelay returns a random duration from a minimum on, 0 on a worker without delays; w.mu is held.
func (w *Worker) drawDelay(minimum, width time.Duration) time.Duration {
	if w.delays == nil {
		return 0
	}
	return drawDuration(w.delays, minimum, width)
}

// drawDuration returns a random duration from a minimum on.
func drawDuration(random *rand.Rand, minimum, width time.Duration) time.Duration {
	return minimum + time.Duration(random.Int64N(int64(width)))
}
