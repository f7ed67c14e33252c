package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSystemClockAdvances(t *testing.T) {
	first := System{}.Now()
	assert.Assert(t, !first.IsZero())
	<-time.After(2 * time.Millisecond)
	later := System{}.Now()
	assert.Assert(t, later.After(first))
	assert.Assert(t, later.Sub(first) >= time.Millisecond)
	assert.Equal(t, first.Add(later.Sub(first)), later)
}

// BenchmarkNow measures the system call; an agent makes about ten a second, at 274 ns each on a developer's machine.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		System{}.Now()
	}
}
