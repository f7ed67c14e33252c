package sizing

import (
	"math"
	"time"

	"github.com/saffronpulley/saffronpulley/internal/resource"
)

const (
	minSamples   = 8
	smoothing    = 0.1
	deviations   = 2
	memoryMargin = 1.15
	lowest       = 0.25
	highest      = 8
	peakDecay    = 0.999
)

// Estimate learns the size of the tasks of one workload from late usage reports.
type Estimate struct {
	samples   int
	processor moving
	memory    float64
	runtime   moving
	runs      int
}

// moving is a moving mean, a moving mean deviation and a peak that fades.
type moving struct {
	mean      float64
	deviation float64
	peak      float64
}

func (m *moving) add(value float64, first bool) {
	if first {
		m.mean, m.peak = value, value
		return
	}
	m.peak = max(m.peak*peakDecay, value)
	difference := value - m.mean
	m.mean += smoothing * difference
	m.deviation += smoothing * (math.Abs(difference) - m.deviation)
}

func (m *moving) upper() float64 { return max(m.mean+deviations*m.deviation, m.peak) }

// Observe takes note of a measured use.
func (e *Estimate) Observe(used resource.Vector) {
	e.processor.add(float64(used.Processors()), e.samples == 0)
	e.memory = max(e.memory*peakDecay, float64(used.Memory()))
	e.samples++
}

// ObserveRuntime takes note of how long a task ran from start to end.
func (e *Estimate) ObserveRuntime(d time.Duration) {
	e.runtime.add(d.Seconds(), e.runs == 0)
	e.runs++
}

// Size returns the declared size corrected by an upper bound of what was measured.
//
// Accelerators are never corrected, and few samples leave the declared size but raise it to what was seen.
func (e *Estimate) Size(declared resource.Vector) resource.Vector {
	if e.samples == 0 {
		return declared
	}
	processors := bounded(e.processor.upper(), declared.Processors())
	memory := bounded(e.memory*memoryMargin, declared.Memory())
	corrected := resource.New(processors, memory, declared.Accelerators())
	if e.samples < minSamples {
		return corrected.Max(declared)
	}
	return corrected
}

func bounded(value float64, declared int64) int64 {
	low, high := lowest*float64(declared), highest*float64(declared)
	return int64(math.Ceil(min(max(value, low), high)))
}

// Runtime returns the declared run time, corrected once a task has ended.
func (e *Estimate) Runtime(declared time.Duration) time.Duration {
	if e.runs == 0 {
		return declared
	}
	return time.Duration(e.runtime.mean * float64(time.Second))
}
