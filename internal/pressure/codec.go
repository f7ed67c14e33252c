package pressure

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/saffronpulley/saffronpulley/internal/fault"
)

// storedModel is the stored form of a model, for the next leader; it omits covariances.
type storedModel struct {
	_       struct{} `cbor:",toarray"`
	Columns map[string]int
	Filters map[string]storedFilter
	// Product and Square are the sums from which the load frequency is estimated.
	Product float64
	Square  float64
}

type storedFilter struct {
	_        struct{} `cbor:",toarray"`
	Mean     []float32
	Variance []float32
}

// Encode returns the stored form of the model.
func (m *Model) Encode() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := storedModel{
		Columns: maps.Clone(m.columns), Filters: make(map[string]storedFilter, len(m.filters)),
		Product: m.frequency.product, Square: m.frequency.square,
	}
	for image, f := range m.filters {
		var entry storedFilter
		for column := range len(m.columns) {
			weight, variance := f.weight(column)
			entry.Mean = append(entry.Mean, float32(weight))
			entry.Variance = append(entry.Variance, float32(variance))
		}
		stored.Filters[image] = entry
	}
	return cbor.Marshal(stored)
}

// Restore replaces the model by a stored one.
func (m *Model) Restore(data []byte) error {
	var stored storedModel
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot decode the stored interference model")
	}
	filters := make(map[string]*filter, len(stored.Filters))
	for image, entry := range stored.Filters {
		if len(entry.Mean) != len(entry.Variance) {
			return fault.New(fault.Internal, "the stored weights of %s have %d means and %d variances", image, len(entry.Mean), len(entry.Variance))
		}
		f := newFilter()
		for column := range entry.Mean {
			f.weights[column] = f.addSlot(float64(entry.Mean[column]), float64(entry.Variance[column]))
		}
		filters[image] = f
	}
	if columns := slices.Collect(maps.Values(stored.Columns)); len(columns) > 0 && (slices.Min(columns) < 0 || slices.Max(columns) >= maxImages) {
		return fault.New(fault.Internal, "the stored interference model has columns from %d to %d", slices.Min(columns), slices.Max(columns))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.columns, m.filters = make(map[string]int), filters
	m.frequency.product, m.frequency.square = stored.Product, stored.Square
	maps.Copy(m.columns, stored.Columns)
	return nil
}
