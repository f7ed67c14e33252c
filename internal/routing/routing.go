package routing

// Candidate is what is known of one endpoint when a request is routed.
type Candidate struct {
	load   int
	slots  int
	far    bool
	closed bool
}

// NewCandidate returns an endpoint with its requests in flight and the slots that run them; far is another hall.
func NewCandidate(load, slots int, far, closed bool) Candidate {
	return Candidate{load: load, slots: max(slots, 1), far: far, closed: closed}
}

// Closed returns an endpoint that takes no request.
func Closed() Candidate { return Candidate{slots: 1, closed: true} }

// farPenalty is how many requests in flight for each slot another hall is worth.
const farPenalty = 0.25

func (c Candidate) cost() float64 {
	cost := float64(c.load+1) / float64(c.slots)
	if c.far {
		cost += farPenalty
	}
	return cost
}

// Choose returns the place of the better of two candidates picked by a random number, or -1 if all are closed.
//
// The number is any 64 random bits. When both are closed the rest are walked in a ring. It allocates nothing.
func Choose[T any](items []T, view func(*T) Candidate, random uint64) int {
	n := uint64(len(items))
	if n == 0 {
		return -1
	}
	first := int(random >> 32 % n)
	second := first
	if n > 1 {
		second = (first + 1 + int(random&0xffffffff%(n-1))) % int(n)
	}
	a, b := view(&items[first]), view(&items[second])
	switch {
	case a.closed && b.closed:
		return walk(items, view, second)
	case a.closed:
		return second
	case b.closed || a.cost() <= b.cost():
		return first
	default:
		return second
	}
}

func walk[T any](items []T, view func(*T) Candidate, from int) int {
	for step := 1; step < len(items); step++ {
		i := (from + step) % len(items)
		if !view(&items[i]).closed {
			return i
		}
	}
	return -1
}
