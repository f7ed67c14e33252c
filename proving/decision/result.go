package decision

import (
	"slices"

	"github.com/saffronpulley/saffronpulley/internal/cell"
	"github.com/saffronpulley/saffronpulley/internal/table"
)

// Result is the result of a day under a variant.
type Result struct {
	requests      int
	late          int
	refused       int
	evictions     int
	failures      int
	overcommitted int
	workDone      float64
	workLost      float64
	endedShare    float64
	p50           float64
	p99           float64
	p999          float64
}

func (s *sim) row(workload string) table.Row {
	r, _ := s.rows.Row(workload)
	return r
}

// summarize computes the latencies and the share of the submitted tasks that finished.
func (s *sim) summarize() {
	target := s.day.Service.TargetMs * 1000
	s.result.p50 = float64(s.window.ValueAtQuantile(50)) / target
	s.result.p99 = float64(s.window.ValueAtQuantile(99)) / target
	s.result.p999 = float64(s.window.ValueAtQuantile(99.9)) / target
	due, ended := 0, 0
	for _, j := range append(slices.Clone(s.document.EndedJobs()), s.document.Jobs()...) {
		if j.State() == cell.JobCanceled {
			continue
		}
		due += j.Tasks()
		ended += j.Finished()
	}
	s.result.endedShare = float64(ended) / float64(max(due, 1))
}

// Measure is a metric of a result.
type Measure struct {
	name  string
	value func(Result) float64
}

// Name returns the heading of the metric.
func (m Measure) Name() string { return m.name }

// Measures returns the metrics in the order of the printed table.
func Measures() []Measure {
	return []Measure{
		{"p50/target", func(r Result) float64 { return r.p50 }},
		{"p99/target", func(r Result) float64 { return r.p99 }},
		{"p99.9/target", func(r Result) float64 { return r.p999 }},
		{"late or refused %", func(r Result) float64 { return 100 * float64(r.late+r.refused) / float64(max(r.requests, 1)) }},
		{"tasks ended %", func(r Result) float64 { return 100 * r.endedShare }},
		{"batch work", func(r Result) float64 { return r.workDone / 1000 }},
		{"evictions", func(r Result) float64 { return float64(r.evictions) }},
		{"work lost s", func(r Result) float64 { return r.workLost }},
		{"failed starts", func(r Result) float64 { return float64(r.failures) }},
		{"broken", func(r Result) float64 { return float64(r.overcommitted) }},
	}
}

// Median returns the median of a metric over results, with its minimum and maximum.
func Median(results []Result, m Measure) (median, low, high float64) {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, m.value(r))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}
