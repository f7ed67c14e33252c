package pressure

import "math"

const (
	// heavy bounds the weights that are compared: what is heavier is kept away all the same.
	heavy = 6.0
	// knownVariance is the variance up to which a weight counts as known.
	knownVariance = 4.0
	// enoughKnown is how many filling images must be known for both, for two serving images to be compared.
	enoughKnown = 4
	// unknownClash is taken of two images of which too little is known.
	unknownClash = 0.5
)

// Conflict returns how differently two serving images suffer from what fills: 0 where the same images slow both, 1 where what
// slows one spares the other. Images that clash leave no filling image that spares a worker of both.
func (m *Model) Conflict(a, b string) float64 {
	if a == b {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f, g := m.filter(a), m.filter(b)
	differ, whole, known := 0.0, 0.0, 0
	for column := range len(m.columns) {
		first, firstVariance := f.weight(column)
		second, secondVariance := g.weight(column)
		if firstVariance > knownVariance || secondVariance > knownVariance {
			continue
		}
		known++
		first, second = min(first, heavy), min(second, heavy)
		differ += math.Abs(first - second)
		whole += max(first, second)
	}
	if known < enoughKnown || whole == 0 {
		return unknownClash
	}
	return differ / whole
}
