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
	spread      = 0.3
	halfLife    = 30 * time.Minute
	maxPairs    = 4096

	// baseRise is how fast a base that is no longer seen is given up, a second.
	baseRise     = 0.0005
	runSmoothing = 0.3
	fewSamples   = 20

	// mostSlowdown bounds a sample: what is slower than that was paused or lost, and no neighbor did it.
	mostSlowdown = 2
)

// Band is a band of a service's load, from 0 for idle to Bands-1 for its peak.
type Band int

// BandOf returns the band of a load, 0 to 1 of what the replica can run at once.
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

// belief is what is believed of a pair: the slowdown by a task that takes all processors, and its weight in samples.
type belief struct {
	mean   float64
	weight float64
	seen   time.Time
}

// base is how long requests of a service run in a band beside no batch task, in seconds.
type base struct {
	least  float64
	recent float64
	seen   time.Time
}

type baseKey struct {
	service string
	band    Band
}

// Model holds what was learned of all pairs; the zero value is not ready, use New.
type Model struct {
	beliefs map[Key]belief
	bases   map[baseKey]base
}

// New returns a model that knows nothing but a cautious prior.
func New() *Model {
	return &Model{beliefs: make(map[Key]belief), bases: make(map[baseKey]base)}
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

// Observe takes note of how long requests of a service ran on average beside some neighbors in a band, and returns
// the slowdown, 0 for none, that is more than the service's own course.
//
// What the present beliefs do not explain is divided among the neighbors by their share and their uncertainty.
func (m *Model) Observe(service string, band Band, neighbors []Neighbor, run time.Duration, samples int64, now time.Time) float64 {
	if samples <= 0 {
		return 0
	}
	slowdown := m.slowdown(service, band, run.Seconds(), samples, now)
	expected, blame := 0.0, 0.0
	for _, n := range neighbors {
		b := m.at(NewKey(service, n.workload, band), now)
		expected += b.mean * n.share
		blame += n.share * n.share / b.weight
	}
	if blame == 0 {
		return slowdown
	}
	surprise := slowdown - expected
	weight := float64(samples) / float64(samples+fewSamples)
	for _, n := range neighbors {
		key := NewKey(service, n.workload, band)
		b := m.at(key, now)
		gain := n.share / b.weight / (blame + spread)
		m.learn(key, b, surprise*gain*weight, n.share*weight, now)
	}
	return slowdown
}

// slowdown compares a run time with the least that was seen in the band, which is given up slowly.
func (m *Model) slowdown(service string, band Band, run float64, samples int64, now time.Time) float64 {
	key := baseKey{service, band}
	b, ok := m.bases[key]
	if !ok {
		b = m.nearestBase(service, band, run)
		b.seen = now
	}
	run = min(run, b.least*(1+mostSlowdown))
	b.recent += runSmoothing * (run - b.recent)
	b.least *= 1 + baseRise*now.Sub(b.seen).Seconds()
	b.seen = now
	if samples >= fewSamples {
		b.least = min(b.least, b.recent)
	}
	m.bases[key] = b
	return max(b.recent/b.least-1, 0)
}

// nearestBase begins a band with the base of the nearest lower one, since load alone makes nothing faster.
func (m *Model) nearestBase(service string, band Band, run float64) base {
	for lower := band - 1; lower >= 0; lower-- {
		if b, ok := m.bases[baseKey{service, lower}]; ok {
			return base{least: b.least, recent: run}
		}
	}
	return base{least: run, recent: run}
}

func (m *Model) learn(key Key, b belief, change, weight float64, now time.Time) {
	if _, known := m.beliefs[key]; !known && len(m.beliefs) >= maxPairs {
		return
	}
	b.mean = max(0, b.mean+change)
	b.weight += weight
	b.seen = now
	m.beliefs[key] = b
}

// at returns the belief of a pair, faded towards the prior by its age; an unknown band is as the next lower known one,
// or worse.
func (m *Model) at(key Key, now time.Time) belief {
	b, ok := m.beliefs[key]
	if !ok {
		return belief{mean: m.priorOf(key), weight: priorWeight, seen: now}
	}
	kept := math.Exp2(-float64(now.Sub(b.seen)) / float64(halfLife))
	b.weight = priorWeight + (b.weight-priorWeight)*kept
	b.mean = priorMean + (b.mean-priorMean)*kept
	return b
}

func (m *Model) priorOf(key Key) float64 {
	for lower := key.band - 1; lower >= 0; lower-- {
		if b, ok := m.beliefs[Key{key.service, key.batch, lower}]; ok {
			return max(b.mean*1.5, priorMean/2)
		}
	}
	return priorMean
}

// SlowdownBound returns an upper bound of the slowdown that a batch workload with a share of the VM's processors causes; with
// less seen the bound is higher.
func (m *Model) SlowdownBound(service, batch string, band Band, share float64, now time.Time) float64 {
	b := m.at(NewKey(service, batch, band), now)
	return (b.mean + spread/math.Sqrt(b.weight)) * share
}

// MeanSlowdown returns the slowdown believed of a batch workload that takes all processors of the VM.
func (m *Model) MeanSlowdown(service, batch string, band Band, now time.Time) float64 {
	return m.at(NewKey(service, batch, band), now).mean
}
