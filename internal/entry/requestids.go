package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
)

// requestIDGenerator generates request IDs that are unique across processes and their restarts.
type requestIDGenerator struct {
	prefix string
	last   *atomic.Uint64
}

func newRequestIDGenerator(entry string) requestIDGenerator {
	return requestIDGenerator{prefix: entry + "-" + ulid.Make().String() + "-", last: &atomic.Uint64{}}
}

func (g requestIDGenerator) next() string {
	return g.prefix + strconv.FormatUint(g.last.Add(1), 36)
}
