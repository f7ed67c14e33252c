package pressure

// filter holds the weights of all filling images on one serving image.
type filter struct {
	mean     []float64
	variance [][]float64
}

// grow adds columns up to a number.
func (f *filter) grow(columns int) {
	for len(f.mean) < columns {
		n := len(f.mean)
		for i := range f.variance {
			f.variance[i] = append(f.variance[i], 0)
		}
		f.mean = append(f.mean, PriorWeight)
		f.variance = append(f.variance, make([]float64, n+1))
		f.variance[n][n] = priorVariance
	}
}

// pressed returns by how much the shares of the columns lower the headroom, and the variance of that.
func (f *filter) pressed(x []float64) (float64, float64) {
	sum, variance := 0.0, 0.0
	for i, v := range x {
		if v == 0 {
			continue
		}
		sum += v * max(f.mean[i], 0)
		for j, w := range x {
			variance += v * w * f.variance[i][j]
		}
	}
	return sum, max(variance, 0)
}

// correct takes by how much the headroom was off what was predicted, with the whole variance of that difference.
func (f *filter) correct(x []float64, off, variance float64) {
	n := len(f.mean)
	gain := make([]float64, n)
	for i := range n {
		for j, v := range x {
			gain[i] += f.variance[i][j] * v
		}
	}
	for i := range n {
		// Less headroom than predicted means more weight.
		f.mean[i] = max(f.mean[i]-gain[i]/variance*off, 0)
		for j := range n {
			f.variance[i][j] -= gain[i] * gain[j] / variance
		}
	}
	for i, v := range x {
		if v > 0 {
			f.variance[i][i] += drift
		}
	}
}
