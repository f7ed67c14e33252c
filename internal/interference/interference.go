package interference

import (
	"math"
	"time"
)

const (
	// Bands is the number of bands of a service's load.
	Bands = 4

	priorMean   = 0.10
	priorWeight = 2
	spread      = 0.15
	cautious    = 1.0
	halfLife    = 6 * time.Hour
	maxPairs    = 4096
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

// belief is what is believed of a pair: the slowdown as a share of the target for each task, and its weight in samples.
type belief struct {
	mean   float64
	weight float64
	seen   time.Time
}

// Model holds what was learned of all pairs of a cell; the zero value is not ready, use New.
type Model struct {
	beliefs map[Key]belief
}

// New returns a model that knows nothing but a cautious prior.
func New() *Model { return &Model{beliefs: make(map[Key]belief)} }

// Neighbor is a batch workload beside the service with its share of the VM's processors, 0 to 1.
type Neighbor struct {
	workload string
	share    float64
}

// NewNeighbor returns a neighbor.
func NewNeighbor(workload string, share float64) Neighbor { return Neighbor{workload, share} }

// Workload returns the batch workload.
func (n Neighbor) Workload() string { return n.workload }

// Observe takes note of a service's slowdown, as a share of its target, beside some neighbors in a band.
//
// What the present beliefs do not explain is divided among the neighbors by their share and their uncertainty.
func (m *Model) Observe(service string, band Band, neighbors []Neighbor, slowdown float64, now time.Time) {
	expected, blame := 0.0, 0.0
	for _, n := range neighbors {
		b := m.at(NewKey(service, n.workload, band), now)
		expected += b.mean * n.share
		blame += n.share * n.share / b.weight
	}
	if blame == 0 {
		return
	}
	surprise := slowdown - expected
	for _, n := range neighbors {
		key := NewKey(service, n.workload, band)
		b := m.at(key, now)
		part := n.share * n.share / b.weight / blame
		m.learn(key, b, surprise*part/n.share, n.share, now)
	}
}

func (m *Model) learn(key Key, b belief, error, share float64, now time.Time) {
	weight := min(share*4, 1)
	if _, known := m.beliefs[key]; !known && len(m.beliefs) >= maxPairs {
		return
	}
	b.mean = max(0, b.mean+error*weight/(b.weight+weight))
	b.weight += weight
	b.seen = now
	m.beliefs[key] = b
}

// at returns the belief of a pair, faded towards the prior by its age.
func (m *Model) at(key Key, now time.Time) belief {
	b, ok := m.beliefs[key]
	if !ok {
		return belief{mean: priorMean, weight: priorWeight, seen: now}
	}
	kept := math.Exp2(-float64(now.Sub(b.seen)) / float64(halfLife))
	b.weight = priorWeight + (b.weight-priorWeight)*kept
	b.mean = priorMean + (b.mean-priorMean)*kept
	return b
}

// Harm returns an upper bound of the slowdown, as a share of the target, that a batch task with a share of the
// VM's processors causes; with less seen the bound is higher.
func (m *Model) Harm(service, batch string, band Band, share float64, now time.Time) float64 {
	b := m.at(NewKey(service, batch, band), now)
	return (b.mean + cautious*spread/math.Sqrt(b.weight)) * share
}

// Mean returns the slowdown believed of a pair, as a share of the target.
func (m *Model) Mean(service, batch string, band Band, now time.Time) float64 {
	return m.at(NewKey(service, batch, band), now).mean
}
