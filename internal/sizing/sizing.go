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
	minFactor    = 0.25
	maxFactor    = 8
	peakDecay    = 0.999
)

// Estimate learns the size of the tasks of one workload from delayed usage reports.
type Estimate struct {
	samples   int
	processor movingStats
	memory    float64
	runtime   movingStats
	runs      int
}

// movingStats is a moving mean, a moving mean deviation and a decaying peak.
type movingStats struct {
	mean      float64
	deviation float64
	peak      float64
}

func (m *movingStats) add(value float64, first bool) {
	if first {
		m.mean, m.peak = value, value
		return
	}
	m.peak = max(m.peak*peakDecay, value)
	difference := value - m.mean
	m.mean += smoothing * difference
	m.deviation += smoothing * (math.Abs(difference) - m.deviation)
}

func (m *movingStats) upper() float64 { return max(m.mean+deviations*m.deviation, m.peak) }

// Observe records a measured use.
func (e *Estimate) Observe(used resource.Vector) {
	e.processor.add(float64(used.Processors()), e.samples == 0)
	e.memory = max(e.memory*peakDecay, float64(used.Memory()))
	e.samples++
}

// ObserveRuntime records the run time of a task that has ended.
func (e *Estimate) ObserveRuntime(d time.Duration) {
	e.runtime.add(d.Seconds(), e.runs == 0)
	e.runs++
}

// Size returns the declared size corrected by an upper bound of the measured use.
//
// Accelerators are never corrected, and with few samples the declared size is only raised.
func (e *Estimate) Size(declared resource.Vector) resource.Vector {
	if e.samples == 0 {
		return declared
	}
	processors := clamp(e.processor.upper(), declared.Processors())
	memory := clamp(e.memory*memoryMargin, declared.Memory())
	corrected := resource.New(processors, memory, declared.Accelerators())
	if e.samples < minSamples {
		return corrected.Max(declared)
	}
	return corrected
}

func clamp(value float64, declared int64) int64 {
	low, high := minFactor*float64(declared), maxFactor*float64(declared)
	return int64(math.Ceil(min(max(value, low), high)))
}

// Runtime returns the declared run time, or the mean measured one if a task has ended.
func (e *Estimate) Runtime(declared time.Duration) time.Duration {
	if e.runs == 0 {
		return declared
	}
	return time.Duration(e.runtime.mean * float64(time.Second))
}
