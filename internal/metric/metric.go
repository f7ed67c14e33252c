package metric

import (
	"io"
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"
)

const sampleSize = 1028

// Registry holds the metrics of a process.
type Registry struct {
	registry metrics.Registry
	started  time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{registry: metrics.NewRegistry(), started: time.Now()}
}

// Counter returns the counter of a name.
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.registry)
}

// Histogram returns the histogram of a name over an exponentially decaying sample.
func (r *Registry) Histogram(name string) metrics.Histogram {
	newHistogram := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, 0.015)) }
	histogram, ok := r.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return histogram
}

// Gauge registers a gauge that is read when the metrics are written.
func (r *Registry) Gauge(name string, read func() int64) {
	_ = r.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// RegisterProcess registers the gauges of goroutines, uptime and heap that each process has.
func (r *Registry) RegisterProcess() {
	r.Gauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	r.Gauge("process.uptime_ms", func() int64 { return time.Since(r.started).Milliseconds() })
	r.Gauge("process.heap_bytes", func() int64 {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc) //nolint:gosec // a heap does not reach 8 EiB
	})
}

// Write writes all metrics as one JSON object, histograms with their percentiles.
func (r *Registry) Write(w io.Writer) {
	metrics.WriteJSONOnce(r.registry, w)
}
