package pressure

import (
	"math"
	"slices"
	"time"
)

// filter is a Kalman filter for one serving image. Its state holds the interference weights of the best-effort images
// and the loads of the image's tasks, so that a measurement is divided between both by their uncertainty.
type filter struct {
	mean     []float64
	variance [][]float64
	// weights maps the column of a best-effort image to the slot of its weight, loads contains the loads by name.
	weights map[int]int
	loads   map[string]*load
}

// coefficient is the factor of a slot in a measurement.
type coefficient struct {
	slot   int
	factor float64
}

func newFilter() *filter { return &filter{weights: make(map[int]int), loads: make(map[string]*load)} }

// addSlot adds a slot without covariance with others and returns its index.
func (f *filter) addSlot(mean, variance float64) int {
	n := len(f.mean)
	for i := range f.variance {
		f.variance[i] = append(f.variance[i], 0)
	}
	f.mean = append(f.mean, mean)
	f.variance = append(f.variance, make([]float64, n+1))
	f.variance[n][n] = variance
	return n
}

// removeSlots removes count consecutive slots.
func (f *filter) removeSlots(from, count int) {
	f.mean = slices.Delete(f.mean, from, from+count)
	f.variance = slices.Delete(f.variance, from, from+count)
	for i := range f.variance {
		f.variance[i] = slices.Delete(f.variance[i], from, from+count)
	}
	for column, slot := range f.weights {
		if slot > from {
			f.weights[column] = slot - count
		}
	}
	for _, l := range f.loads {
		if l.slot > from {
			l.slot -= count
		}
	}
}

// weightSlot returns the slot of the weight of a column, and adds one for a new column.
func (f *filter) weightSlot(column int) int {
	slot, known := f.weights[column]
	if !known {
		slot = f.addSlot(PriorWeight, priorVariance)
		f.weights[column] = slot
	}
	return slot
}

// weight returns the weight of a column and its variance.
func (f *filter) weight(column int) (float64, float64) {
	slot, known := f.weights[column]
	if !known {
		return PriorWeight, priorVariance
	}
	return max(f.mean[slot], 0), max(f.variance[slot][slot], 0)
}

// coefficients returns the coefficients of the weights in a measurement, for the shares of the columns.
func (f *filter) coefficients(shares map[int]float64) []coefficient {
	var coefficients []coefficient
	for column, share := range shares {
		if share == 0 {
			continue
		}
		coefficients = append(coefficients, coefficient{slot: f.weightSlot(column), factor: -share})
	}
	slices.SortFunc(coefficients, func(a, b coefficient) int { return a.slot - b.slot })
	return coefficients
}

// loss returns the loss of headroom by the weights among the coefficients.
func (f *filter) loss(weights []coefficient) float64 {
	loss := 0.0
	for _, x := range weights {
		loss -= x.factor * max(f.mean[x.slot], 0)
	}
	return loss
}

// sumVariance returns the variance of a sum of slots.
func (f *filter) sumVariance(coefficients []coefficient) float64 {
	sum := 0.0
	for _, a := range coefficients {
		for _, b := range coefficients {
			sum += a.factor * b.factor * f.variance[a.slot][b.slot]
		}
	}
	return max(sum, 0)
}

// correct updates the state by the innovation of a measurement, whose total variance is variance.
func (f *filter) correct(coefficients []coefficient, innovation, variance float64) {
	gain := make([]float64, len(f.mean))
	for i := range gain {
		for _, x := range coefficients {
			gain[i] += f.variance[i][x.slot] * x.factor
		}
	}
	for i := range gain {
		f.mean[i] += gain[i] / variance * innovation
		for j := range gain {
			f.variance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	for _, slot := range f.weights {
		f.mean[slot] = max(f.mean[slot], 0)
	}
}

// addDrift adds the drift of a sample to the variance of the weights.
func (f *filter) addDrift(coefficients []coefficient) {
	for _, x := range coefficients {
		f.variance[x.slot][x.slot] += weightDrift
	}
}

// load returns a load, advanced to now, or nil if maxLoads are tracked already.
func (f *filter) load(name string, now time.Time, frequency float64) *load {
	l := f.loads[name]
	if l == nil || l.expired(now) {
		f.removeExpired(now)
		if len(f.loads) >= maxLoads {
			return nil
		}
		l = f.newLoad(now)
		f.loads[name] = l
	}
	f.advance(l, now, frequency)
	return l
}

// newLoad returns a load without measurements.
func (f *filter) newLoad(now time.Time) *load {
	l := &load{slot: f.addSlot(UnknownHeadroom, UnknownDeviation*UnknownDeviation), updatedAt: now}
	f.addSlot(0, slopeDeviation*slopeDeviation)
	f.addSlot(UnknownHeadroom, loadMeanDeviation*loadMeanDeviation)
	headroom, mean := l.slot+headroomSlot, l.slot+meanSlot
	f.variance[headroom][mean], f.variance[mean][headroom] = loadMeanDeviation*loadMeanDeviation, loadMeanDeviation*loadMeanDeviation
	return l
}

func (f *filter) removeLoad(name string) {
	l := f.loads[name]
	delete(f.loads, name)
	f.removeSlots(l.slot, loadSlots)
}

// removeExpired removes the loads without a recent measurement.
func (f *filter) removeExpired(now time.Time) {
	var expired []string
	for name, l := range f.loads {
		if l.expired(now) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		f.removeLoad(name)
	}
}

// advance advances a load to now.
func (f *filter) advance(l *load, now time.Time, frequency float64) {
	gap := now.Sub(l.updatedAt).Seconds()
	if gap <= 0 {
		return
	}
	l.updatedAt = now
	transition := transitionOver(gap, frequency)
	copy(f.mean[l.slot:], transition.apply([loadSlots]float64(f.mean[l.slot:l.slot+loadSlots])))
	for i := range f.variance {
		result := transition.apply([loadSlots]float64(f.variance[i][l.slot : l.slot+loadSlots]))
		copy(f.variance[i][l.slot:], result)
	}
	for j := range f.mean {
		var column [loadSlots]float64
		for k := range column {
			column[k] = f.variance[l.slot+k][j]
		}
		for k, result := range transition.apply(column) {
			f.variance[l.slot+k][j] = result
		}
	}
	for i, row := range processNoise(gap) {
		for j, noise := range row {
			f.variance[l.slot+i][l.slot+j] += noise
		}
	}
}

// predict returns the slots of a load at a time, and the variance of its headroom.
func (f *filter) predict(l *load, at time.Time, frequency float64) ([]float64, float64) {
	gap := max(at.Sub(l.updatedAt).Seconds(), 0)
	transition, noise := transitionOver(gap, frequency), processNoise(gap)
	slots := transition.apply([loadSlots]float64(f.mean[l.slot : l.slot+loadSlots]))
	variance := noise[headroomSlot][headroomSlot]
	for i, a := range transition[headroomSlot] {
		for j, b := range transition[headroomSlot] {
			variance += a * b * f.variance[l.slot+i][l.slot+j]
		}
	}
	return slots, math.Max(variance, 0)
}
