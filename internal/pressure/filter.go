package pressure

import (
	"math"
	"slices"
	"time"
)

// filter is a Kalman filter for one serving image. Its state holds the weights of the filling images on it and the loads that
// its tasks bear, so that what a figure tells is divided between both by how little each is known.
type filter struct {
	mean     []float64
	variance [][]float64
	// weights are the slots of the weights by the column of the filling image, loads the loads by name.
	weights map[int]int
	loads   map[string]*load
}

// factor is what a slot counts in a figure.
type factor struct {
	slot  int
	times float64
}

func newFilter() *filter { return &filter{weights: make(map[int]int), loads: make(map[string]*load)} }

// grow adds a slot that nothing is known to go together with.
func (f *filter) grow(mean, variance float64) int {
	n := len(f.mean)
	for i := range f.variance {
		f.variance[i] = append(f.variance[i], 0)
	}
	f.mean = append(f.mean, mean)
	f.variance = append(f.variance, make([]float64, n+1))
	f.variance[n][n] = variance
	return n
}

// drop removes a number of slots in a row.
func (f *filter) drop(from, slots int) {
	f.mean = slices.Delete(f.mean, from, from+slots)
	f.variance = slices.Delete(f.variance, from, from+slots)
	for i := range f.variance {
		f.variance[i] = slices.Delete(f.variance[i], from, from+slots)
	}
	for column, slot := range f.weights {
		if slot > from {
			f.weights[column] = slot - slots
		}
	}
	for _, l := range f.loads {
		if l.slot > from {
			l.slot -= slots
		}
	}
}

// weightSlot returns the slot of the weight of a column, a new one for a column that was not beside the image yet.
func (f *filter) weightSlot(column int) int {
	slot, known := f.weights[column]
	if !known {
		slot = f.grow(PriorWeight, priorVariance)
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

// factors returns what the shares of the columns count in a figure.
func (f *filter) factors(shares map[int]float64) []factor {
	var factors []factor
	for column, share := range shares {
		if share == 0 {
			continue
		}
		factors = append(factors, factor{slot: f.weightSlot(column), times: -share})
	}
	slices.SortFunc(factors, func(a, b factor) int { return a.slot - b.slot })
	return factors
}

// pressed returns by how much the weights among the factors lower the headroom.
func (f *filter) pressed(weights []factor) float64 {
	pressed := 0.0
	for _, x := range weights {
		pressed -= x.times * max(f.mean[x.slot], 0)
	}
	return pressed
}

// spread returns the variance of a sum of slots.
func (f *filter) spread(factors []factor) float64 {
	sum := 0.0
	for _, a := range factors {
		for _, b := range factors {
			sum += a.times * b.times * f.variance[a.slot][b.slot]
		}
	}
	return max(sum, 0)
}

// correct takes by how much a sum of slots was off what was predicted, with the whole variance of that difference.
func (f *filter) correct(factors []factor, off, variance float64) {
	gain := make([]float64, len(f.mean))
	for i := range gain {
		for _, x := range factors {
			gain[i] += f.variance[i][x.slot] * x.times
		}
	}
	for i := range gain {
		f.mean[i] += gain[i] / variance * off
		for j := range gain {
			f.variance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	for _, slot := range f.weights {
		f.mean[slot] = max(f.mean[slot], 0)
	}
}

// loosen lets the weights among the factors change by a little.
func (f *filter) loosen(factors []factor) {
	for _, x := range factors {
		f.variance[x.slot][x.slot] += drift
	}
}

// load returns a load, brought to a time; nil where as many are followed as there may be.
func (f *filter) load(name string, now time.Time, swing float64) *load {
	l := f.loads[name]
	if l == nil || l.old(now) {
		f.forgetOld(now)
		if len(f.loads) >= mostLoads {
			return nil
		}
		l = f.newLoad(now)
		f.loads[name] = l
	}
	f.advance(l, now, swing)
	return l
}

// newLoad returns a load of which no figure was seen.
func (f *filter) newLoad(now time.Time) *load {
	l := &load{slot: f.grow(UnknownHeadroom, UnknownDeviation*UnknownDeviation), seen: now}
	f.grow(0, slopeDeviation*slopeDeviation)
	f.grow(UnknownHeadroom, usualDeviation*usualDeviation)
	value, usual := l.slot+valueSlot, l.slot+usualSlot
	f.variance[value][usual], f.variance[usual][value] = usualDeviation*usualDeviation, usualDeviation*usualDeviation
	return l
}

func (f *filter) forget(name string) {
	l := f.loads[name]
	delete(f.loads, name)
	f.drop(l.slot, loadSlots)
}

// forgetOld forgets the loads that showed no figure for long.
func (f *filter) forgetOld(now time.Time) {
	var old []string
	for name, l := range f.loads {
		if l.old(now) {
			old = append(old, name)
		}
	}
	slices.Sort(old)
	for _, name := range old {
		f.forget(name)
	}
}

// advance brings a load to a time.
func (f *filter) advance(l *load, now time.Time, swing float64) {
	gap := now.Sub(l.seen).Seconds()
	if gap <= 0 {
		return
	}
	l.seen = now
	step := motionOf(gap, swing)
	copy(f.mean[l.slot:], step.apply([loadSlots]float64(f.mean[l.slot:l.slot+loadSlots])))
	for i := range f.variance {
		moved := step.apply([loadSlots]float64(f.variance[i][l.slot : l.slot+loadSlots]))
		copy(f.variance[i][l.slot:], moved)
	}
	for j := range f.mean {
		var column [loadSlots]float64
		for k := range column {
			column[k] = f.variance[l.slot+k][j]
		}
		for k, moved := range step.apply(column) {
			f.variance[l.slot+k][j] = moved
		}
	}
	for i, row := range noiseOf(gap) {
		for j, noise := range row {
			f.variance[l.slot+i][l.slot+j] += noise
		}
	}
}

// ahead returns the slots of a load at a time, and the variance of its value.
func (f *filter) ahead(l *load, at time.Time, swing float64) ([]float64, float64) {
	gap := max(at.Sub(l.seen).Seconds(), 0)
	step, noise := motionOf(gap, swing), noiseOf(gap)
	slots := step.apply([loadSlots]float64(f.mean[l.slot : l.slot+loadSlots]))
	variance := noise[valueSlot][valueSlot]
	for i, a := range step[valueSlot] {
		for j, b := range step[valueSlot] {
			variance += a * b * f.variance[l.slot+i][l.slot+j]
		}
	}
	return slots, math.Max(variance, 0)
}
