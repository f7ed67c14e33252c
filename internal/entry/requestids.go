package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/oklog/ulid/v2"
)

// requestNumbers gives requests identifiers that no other process and no other start of this one gives.
type requestNumbers struct {
	prefix string
	last   *atomic.Uint64
}

func newRequestNumbers(entry string) requestNumbers {
	return requestNumbers{prefix: entry + "-" + ulid.Make().String() + "-", last: &atomic.Uint64{}}
}

func (n requestNumbers) next() string {
	return n.prefix + strconv.FormatUint(n.last.Add(1), 36)
}
