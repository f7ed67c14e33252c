package routing

// Candidate is the state of one endpoint when a request is routed.
type Candidate struct {
	load      int
	slots     int
	otherHall bool
	closed    bool
}

// NewCandidate returns an endpoint with its requests in flight and its slots; otherHall is set if it is in another
// hall.
func NewCandidate(load, slots int, otherHall, closed bool) Candidate {
	return Candidate{load: load, slots: max(slots, 1), otherHall: otherHall, closed: closed}
}

// Closed returns an endpoint that accepts no requests.
func Closed() Candidate { return Candidate{slots: 1, closed: true} }

// otherHallPenalty is the cost of another hall, in requests in flight for each slot.
const otherHallPenalty = 0.25

func (c Candidate) cost() float64 {
	cost := float64(c.load+1) / float64(c.slots)
	if c.otherHall {
		cost += otherHallPenalty
	}
	return cost
}

// Choose returns the index of the better of two randomly picked candidates, or -1 if all are closed.
//
// random is any 64 random bits. If both are closed, the others are tried in ring order. Choose does not allocate.
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
		return nextOpen(items, view, second)
	case a.closed:
		return second
	case b.closed || a.cost() <= b.cost():
		return first
	default:
		return second
	}
}

func nextOpen[T any](items []T, view func(*T) Candidate, start int) int {
	for step := 1; step < len(items); step++ {
		i := (start + step) % len(items)
		if !view(&items[i]).closed {
			return i
		}
	}
	return -1
}
