package pressure

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedModel is what is believed, for the next lead; what belongs together in the variances is left out.
type storedModel struct {
	_       struct{} `cbor:",toarray"`
	Columns map[string]int
	Filters map[string]storedFilter
	// Product and Square are the sums from which the speed of the swing comes.
	Product float64
	Square  float64
}

type storedFilter struct {
	_        struct{} `cbor:",toarray"`
	Mean     []float32
	Variance []float32
}

// Encode returns the model as it is stored.
func (m *Model) Encode() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := storedModel{
		Columns: maps.Clone(m.columns), Filters: make(map[string]storedFilter, len(m.filters)),
		Product: m.swing.product, Square: m.swing.square,
	}
	for image, f := range m.filters {
		var kept storedFilter
		for column := range len(m.columns) {
			weight, variance := f.weight(column)
			kept.Mean = append(kept.Mean, float32(weight))
			kept.Variance = append(kept.Variance, float32(variance))
		}
		stored.Filters[image] = kept
	}
	return cbor.Marshal(stored)
}

// Restore takes over a stored model, in place of all that was learned.
func (m *Model) Restore(data []byte) error {
	var stored storedModel
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fault.Wrap(err, fault.Internal, "the stored pressures cannot be read")
	}
	filters := make(map[string]*filter, len(stored.Filters))
	for image, kept := range stored.Filters {
		if len(kept.Mean) != len(kept.Variance) {
			return fault.New(fault.Internal, "the stored pressures of %s have %d means and %d variances", image, len(kept.Mean), len(kept.Variance))
		}
		f := newFilter()
		for column := range kept.Mean {
			f.weights[column] = f.grow(float64(kept.Mean[column]), float64(kept.Variance[column]))
		}
		filters[image] = f
	}
	if columns := slices.Collect(maps.Values(stored.Columns)); len(columns) > 0 && (slices.Min(columns) < 0 || slices.Max(columns) >= mostImages) {
		return fault.New(fault.Internal, "the stored pressures name columns from %d to %d", slices.Min(columns), slices.Max(columns))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.columns, m.filters = make(map[string]int), filters
	m.swing.product, m.swing.square = stored.Product, stored.Square
	maps.Copy(m.columns, stored.Columns)
	return nil
}
