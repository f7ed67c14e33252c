package incarnation

import (
	"cmp"
	"strconv"
)

// ID identifies one incarnation of a worker; the zero ID identifies none.
//
// The start time only tells incarnations apart; it doesn't order them, since the wall clock may step back.
type ID struct {
	worker      string
	startMillis int64
}

// New returns the incarnation of a worker that started at a Unix millisecond, 0 if the worker does not report its start time.
func New(worker string, startMillis int64) ID { return ID{worker: worker, startMillis: startMillis} }

// Worker returns the identifier used to address the worker; later incarnations may reuse it.
func (i ID) Worker() string { return i.worker }

// StartMillis returns the start time in Unix milliseconds, 0 if it is unknown.
func (i ID) StartMillis() int64 { return i.startMillis }

// IsZero reports whether the ID identifies no incarnation.
func (i ID) IsZero() bool { return i == ID{} }

// SameWorker reports whether both are incarnations of one worker, so that a call addressed to one may reach the other.
func (i ID) SameWorker(other ID) bool { return i.worker == other.worker }

// MayEqual reports whether both may be one incarnation; processes of the previous release omit the start time.
func (i ID) MayEqual(other ID) bool {
	return i.worker == other.worker && (i.startMillis == other.startMillis || i.startMillis == 0 || other.startMillis == 0)
}

// String returns the identifier of the worker, followed by a slash and the start time if that is known.
func (i ID) String() string {
	if i.startMillis == 0 {
		return i.worker
	}
	return i.worker + "/" + strconv.FormatInt(i.startMillis, 10)
}

// Compare orders incarnations by worker and start time, to keep lists in a fixed order.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.startMillis, b.startMillis))
}
