package wait

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBackoffDoublesItsBoundUpToTheMaximum(t *testing.T) {
	draw := 1.0
	b := NewBackoff(100*time.Millisecond, 400*time.Millisecond, func() float64 { return draw })
	for _, expected := range []time.Duration{100, 200, 400, 400} {
		assert.Equal(t, b.Next(), expected*time.Millisecond)
	}
	draw = 0
	assert.Equal(t, b.Next(), time.Duration(0))
	draw = 0.5
	b.Reset()
	assert.Equal(t, b.Next(), 50*time.Millisecond)
}

// TestBackoffSpreadsProcesses checks that 800 processes that start together and always fail are no longer in step a second later.
func TestBackoffSpreadsProcesses(t *testing.T) {
	const processes, slots = 800, 40
	const slot = 50 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed
	attempts := make([]int, slots)
	for range processes {
		b := NewBackoff(100*time.Millisecond, time.Second, draw.Float64)
		for at := b.Next(); at < slots*slot; at += b.Next() {
			attempts[at/slot]++
		}
	}
	const warmUp = 20
	for at, count := range attempts[warmUp:] {
		assert.Assert(t, count < processes/5, "%d attempts within %v after %v", count, slot, (warmUp+time.Duration(at))*slot)
	}
}
