package incarnation

import (
	"cmp"
	"strconv"
)

// ID identifies one incarnation of a worker; the zero ID identifies none.
//
// The time of birth is an identity and no order: it is a time of day, which may step back.
type ID struct {
	worker string
	born   int64
}

// New returns the incarnation of a worker that was born at a Unix millisecond, 0 where the worker does not report that.
func New(worker string, born int64) ID { return ID{worker: worker, born: born} }

// Worker returns the id under which the worker is called, which later incarnations may share.
func (i ID) Worker() string { return i.worker }

// StartMillis returns the Unix millisecond of the start, 0 where it is not known.
func (i ID) StartMillis() int64 { return i.born }

// IsZero reports whether this identifies no incarnation.
func (i ID) IsZero() bool { return i == ID{} }

// SameWorker reports whether both are incarnations of one worker, so that a call meant for one may reach the other.
func (i ID) SameWorker(other ID) bool { return i.worker == other.worker }

// MayEqual reports whether both may be one incarnation: processes of the release before leave the time of birth out.
func (i ID) MayEqual(other ID) bool {
	return i.worker == other.worker && (i.born == other.born || i.born == 0 || other.born == 0)
}

// String returns the id of the worker, and behind a slash the time of birth where that is known.
func (i ID) String() string {
	if i.born == 0 {
		return i.worker
	}
	return i.worker + "/" + strconv.FormatInt(i.born, 10)
}

// Compare orders incarnations by worker and birth, for lists that are always in the same order.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.born, b.born))
}
