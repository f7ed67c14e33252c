package estimate

import (
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedModel is the stored form of a model, for the next leader, with the queues sorted by name.
type storedModel struct {
	_      struct{} `cbor:",toarray"`
	Queues []storedQueue
}

type storedQueue struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Ends            int
	Weight          float64
	MeanEstimate    float64
	MeanTook        float64
	EstimateSquares float64
	Products        float64
	TookSquares     float64
	WithinWeight    float64
	WithinSquares   float64
}

// Encode returns the stored form of the model.
func (m *Model) Encode() ([]byte, error) {
	var stored storedModel
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		r := m.queues[name]
		stored.Queues = append(stored.Queues, storedQueue{
			Name: name, Ends: r.ends, Weight: r.weight, MeanEstimate: r.meanEstimate, MeanTook: r.meanTook,
			EstimateSquares: r.estimateSquares, Products: r.products, TookSquares: r.tookSquares,
			WithinWeight: r.withinWeight, WithinSquares: r.withinSquares,
		})
	}
	return cbor.Marshal(stored)
}

// Restore replaces the model by a stored one; if that is invalid, the model is unchanged.
func (m *Model) Restore(data []byte) error {
	var stored storedModel
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot decode the stored run times")
	}
	if len(stored.Queues) > maxQueues {
		return fault.New(fault.Internal, "the stored run times have %d queues; at most %d are allowed", len(stored.Queues), maxQueues)
	}
	queues := make(map[string]*regression, len(stored.Queues))
	for _, q := range stored.Queues {
		r := &regression{
			ends: q.Ends, weight: q.Weight, meanEstimate: q.MeanEstimate, meanTook: q.MeanTook,
			estimateSquares: q.EstimateSquares, products: q.Products, tookSquares: q.TookSquares,
			withinWeight: q.WithinWeight, withinSquares: q.WithinSquares,
		}
		if queues[q.Name] != nil || !r.valid() {
			return fault.New(fault.Internal, "the stored run times of queue %q are invalid or repeated", q.Name)
		}
		queues[q.Name] = r
	}
	m.queues = queues
	return nil
}

const (
	// roundingMargin is the relative error of a stored value by rounding over many updates.
	roundingMargin = 1e-6
	// maxEnds bounds the stored number of ends, so that counting further ones cannot overflow.
	maxEnds = 1 << 50
)

// valid reports whether all values are possible results of observations; comparisons with a value that is not a number fail.
func (r *regression) valid() bool {
	least, most := logSeconds(minTime), logSeconds(maxTime)
	maxSquares := memory * (most - least) * (most - least)
	maxProducts := math.Sqrt(max(r.estimateSquares*r.tookSquares, 0))
	return r.ends >= 0 && r.ends <= maxEnds &&
		r.weight >= 0 && inRange(r.weight, 0, memory) && r.withinWeight >= 0 && inRange(r.withinWeight, 0, memory) &&
		inRange(r.meanEstimate, least, most) && inRange(r.meanTook, least, most) &&
		r.estimateSquares >= 0 && inRange(r.estimateSquares, 0, maxSquares) &&
		r.tookSquares >= 0 && inRange(r.tookSquares, 0, maxSquares) && inRange(r.products, -maxProducts, maxProducts) &&
		r.withinSquares >= 0 && inRange(r.withinSquares, 0, maxSquares)
}

// inRange reports whether a value lies between two bounds, apart from rounding.
func inRange(value, from, to float64) bool {
	margin := roundingMargin * max(math.Abs(from), math.Abs(to), 1)
	return value >= from-margin && value <= to+margin
}
