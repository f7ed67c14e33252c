package pressure

import (
	"math"
	"time"
)

// swing learns how fast the loads of serving tasks swing, from how alike the headrooms of a load are some time apart.
type swing struct {
	// product and square sum up the products and the squares of how far headrooms are off the mean of their image.
	product, square float64
	means           map[string]*mean
}

// past are the last headrooms of a load.
type past struct {
	at   [pastKept]time.Time
	off  [pastKept]float64
	next int
}

// mean is the mean headroom of a serving image, of a number of figures.
type mean struct {
	sum   float64
	count float64
}

const (
	// usualSwing is the speed in radians a second that is taken before anything is learned: once in ten seconds.
	usualSwing = 0.6
	// leastSwing and mostSwing bound what is learned: once in a minute, and once in three seconds, beyond which half-second
	// figures tell nothing.
	leastSwing = 0.1
	mostSwing  = 2.0
	// apart is how far apart two headrooms are compared, near a quarter of a swing, where noise biases the result least.
	apart = 2 * time.Second
	// apartSlack is by how much the distance may differ.
	apartSlack = 300 * time.Millisecond
	// pastKept covers the distance at two figures a second.
	pastKept = 8
	// enoughSquares is the sum of squares from which on the comparison is believed: some hundred pairs.
	enoughSquares = 40.0
	// enoughOfImage is how many headrooms of an image make a mean.
	enoughOfImage = 30
)

func newMean() *mean { return &mean{} }

func newSwing() *swing {
	return &swing{means: make(map[string]*mean)}
}

// observe takes a headroom of tasks that nothing fills beside.
func (s *swing) observe(serving string, p *past, now time.Time, headroom float64) {
	m := entryOf(s.means, serving, newMean)
	m.sum += headroom
	m.count++
	if m.count < enoughOfImage {
		return
	}
	off := headroom - m.sum/m.count
	for i, at := range p.at {
		if gap := now.Sub(at) - apart; gap.Abs() <= apartSlack {
			s.product += off * p.off[i]
			s.square += (off*off + p.off[i]*p.off[i]) / 2
			break
		}
	}
	p.at[p.next], p.off[p.next] = now, off
	p.next = (p.next + 1) % pastKept
}

// speed returns the angular speed in radians a second.
func (s *swing) speed() float64 {
	if s.square < enoughSquares {
		return usualSwing
	}
	alike := min(max(s.product/s.square, -1), 1)
	return min(max(math.Acos(alike)/apart.Seconds(), leastSwing), mostSwing)
}
