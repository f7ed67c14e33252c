package pressure

import "math"

const (
	// maxComparedWeight bounds the compared weights, since images with heavier ones are kept away in any case.
	maxComparedWeight = 6.0
	// maxKnownVariance is the variance up to which a weight counts as known.
	maxKnownVariance = 4.0
	// minKnownImages is the number of best-effort images that must be known for both serving images to compare them.
	minKnownImages = 4
	// unknownConflict is the conflict of two images with too few known weights.
	unknownConflict = 0.5
)

// Conflict returns how much the interference on two serving images differs: 0 if the same best-effort images slow
// both, 1 if the ones that slow one do not slow the other. A worker with conflicting images suits no best-effort
// image.
func (m *Model) Conflict(a, b string) float64 {
	if a == b {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f, g := m.filter(a), m.filter(b)
	difference, total, known := 0.0, 0.0, 0
	for column := range len(m.columns) {
		first, firstVariance := f.weight(column)
		second, secondVariance := g.weight(column)
		if firstVariance > maxKnownVariance || secondVariance > maxKnownVariance {
			continue
		}
		known++
		first, second = min(first, maxComparedWeight), min(second, maxComparedWeight)
		difference += math.Abs(first - second)
		total += max(first, second)
	}
	if known < minKnownImages || total == 0 {
		return unknownConflict
	}
	return difference / total
}
