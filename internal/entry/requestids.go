package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
)

// requestIDs generates request IDs that are unique across processes and their restarts.
type requestIDs struct {
	prefix string
	last   *atomic.Uint64
}

func newRequestIDs(entry string) requestIDs {
	return requestIDs{prefix: entry + "-" + ulid.Make().String() + "-", last: &atomic.Uint64{}}
}

func (n requestIDs) next() string {
	return n.prefix + strconv.FormatUint(n.last.Add(1), 36)
}
