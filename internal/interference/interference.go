package interference

import (
	"math"
	"time"
)

const (
	// Bands is the number of bands of a service's load.
	Bands = 4

	priorMean   = 0.25
	priorWeight = 1
	uncertainty = 0.3
	halfLife    = 30 * time.Minute
	maxPairs    = 4096

	// baselineGrowth is the relative growth of an unconfirmed baseline, a second.
	baselineGrowth   = 0.0005
	runtimeSmoothing = 0.3
	minSamples       = 20

	// maxSlowdown bounds a sample: a slower one was paused or lost, which no neighbor causes.
	maxSlowdown = 2
)

// Band is a band of a service's load, from 0 for idle to Bands-1 for its peak.
type Band int

// BandOf returns the band of a load, from 0 to 1 of the requests that the replica can run at once.
func BandOf(load float64) Band {
	return Band(min(max(int(load*Bands), 0), Bands-1))
}

// Key is a pair of a service and a batch workload in a band.
type Key struct {
	service string
	batch   string
	band    Band
}

// NewKey returns the key of a pair in a band.
func NewKey(service, batch string, band Band) Key { return Key{service, batch, band} }

// estimate is the slowdown by a task that takes all processors, and its weight in samples.
type estimate struct {
	mean      float64
	weight    float64
	updatedAt time.Time
}

// baseline is the run time in seconds of a service's requests in a band without batch tasks.
type baseline struct {
	lowest    float64
	recent    float64
	updatedAt time.Time
}

type baselineKey struct {
	service string
	band    Band
}

// Model holds the estimates of all pairs; create it with New.
type Model struct {
	estimates map[Key]estimate
	baselines map[baselineKey]baseline
}

// New returns a model with only a cautious prior.
func New() *Model {
	return &Model{estimates: make(map[Key]estimate), baselines: make(map[baselineKey]baseline)}
}

// Neighbor is a batch workload beside the service with the share of the VM's processors that it may use, 0 to 1.
type Neighbor struct {
	workload string
	share    float64
}

// NewNeighbor returns a neighbor.
func NewNeighbor(workload string, share float64) Neighbor { return Neighbor{workload, share} }

// Workload returns the batch workload.
func (n Neighbor) Workload() string { return n.workload }

// Share returns the share of the VM's processors that the workload may use, 0 to 1.
func (n Neighbor) Share() float64 { return n.share }

// Observe records the average run time of a service's requests beside neighbors in a band, and returns the slowdown
// relative to the service's baseline, 0 for none.
//
// The part that the current estimates do not explain is divided among the neighbors by their share and uncertainty.
func (m *Model) Observe(service string, band Band, neighbors []Neighbor, runtime time.Duration, samples int64, now time.Time) float64 {
	if samples <= 0 {
		return 0
	}
	slowdown := m.slowdown(service, band, runtime.Seconds(), samples, now)
	expected, totalVariance := 0.0, 0.0
	for _, n := range neighbors {
		e := m.estimateAt(NewKey(service, n.workload, band), now)
		expected += e.mean * n.share
		totalVariance += n.share * n.share / e.weight
	}
	if totalVariance == 0 {
		return slowdown
	}
	unexplained := slowdown - expected
	weight := float64(samples) / float64(samples+minSamples)
	for _, n := range neighbors {
		key := NewKey(service, n.workload, band)
		e := m.estimateAt(key, now)
		gain := n.share / e.weight / (totalVariance + uncertainty)
		m.update(key, e, unexplained*gain*weight, n.share*weight, now)
	}
	return slowdown
}

// slowdown compares a run time with the lowest one in the band, which grows slowly while unconfirmed.
func (m *Model) slowdown(service string, band Band, runtime float64, samples int64, now time.Time) float64 {
	key := baselineKey{service, band}
	b, ok := m.baselines[key]
	if !ok {
		b = m.initialBaseline(service, band, runtime)
		b.updatedAt = now
	}
	runtime = min(runtime, b.lowest*(1+maxSlowdown))
	b.recent += runtimeSmoothing * (runtime - b.recent)
	b.lowest *= 1 + baselineGrowth*now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	if samples >= minSamples {
		b.lowest = min(b.lowest, b.recent)
	}
	m.baselines[key] = b
	return max(b.recent/b.lowest-1, 0)
}

// initialBaseline returns the baseline of the next lower band as that of a new band, since a higher load makes nothing
// faster.
func (m *Model) initialBaseline(service string, band Band, runtime float64) baseline {
	for lower := band - 1; lower >= 0; lower-- {
		if b, ok := m.baselines[baselineKey{service, lower}]; ok {
			return baseline{lowest: b.lowest, recent: runtime}
		}
	}
	return baseline{lowest: runtime, recent: runtime}
}

func (m *Model) update(key Key, e estimate, correction, weight float64, now time.Time) {
	if _, known := m.estimates[key]; !known && len(m.estimates) >= maxPairs {
		return
	}
	e.mean = max(0, e.mean+correction)
	e.weight += weight
	e.updatedAt = now
	m.estimates[key] = e
}

// estimateAt returns the estimate of a pair, decayed towards the prior by its age; that of an unknown band is derived
// from the next lower known band, and is at least as high.
func (m *Model) estimateAt(key Key, now time.Time) estimate {
	e, ok := m.estimates[key]
	if !ok {
		return estimate{mean: m.priorMeanOf(key), weight: priorWeight, updatedAt: now}
	}
	decay := math.Exp2(-float64(now.Sub(e.updatedAt)) / float64(halfLife))
	e.weight = priorWeight + (e.weight-priorWeight)*decay
	e.mean = priorMean + (e.mean-priorMean)*decay
	return e
}

func (m *Model) priorMeanOf(key Key) float64 {
	for lower := key.band - 1; lower >= 0; lower-- {
		if e, ok := m.estimates[Key{key.service, key.batch, lower}]; ok {
			return max(e.mean*1.5, priorMean/2)
		}
	}
	return priorMean
}

// SlowdownBound returns an upper bound of the slowdown by a batch workload with a share of the VM's processors; fewer
// samples give a higher bound.
func (m *Model) SlowdownBound(service, batch string, band Band, share float64, now time.Time) float64 {
	e := m.estimateAt(NewKey(service, batch, band), now)
	return (e.mean + uncertainty/math.Sqrt(e.weight)) * share
}

// MeanSlowdown returns the expected slowdown by a batch workload that takes all processors of the VM.
func (m *Model) MeanSlowdown(service, batch string, band Band, now time.Time) float64 {
	return m.estimateAt(NewKey(service, batch, band), now).mean
}
