package fault

import "net/http"

//go:generate stringer -type=Kind -linecomment -output=kind_string.go

// Kind classifies an error; it determines the answer to the caller.
type Kind int

// The error kinds, in the order of the answers table.
const (
	Internal         Kind = iota // internal
	BadInput                     // bad_input
	NotFound                     // not_found
	Conflict                     // conflict
	Overloaded                   // overloaded
	Unavailable                  // unavailable
	OutcomeUnknown               // outcome_unknown
	DeadlineExceeded             // deadline_exceeded
	Leaving                      // leaving
	Stale                        // stale
	DoesNotFit                   // does_not_fit
	Impossible                   // impossible
	TooLarge                     // too_large
	Unauthorized                 // unauthorized
	Gone                         // gone
	kindCount
)

// Answer is the way an error kind is presented to a caller.
type Answer struct {
	status        int
	exitCode      int
	ran           Ran
	hasRetryAfter bool
}

// Ran is what a caller can conclude about whether the failed work ran.
type Ran string

// The values of Ran: the work did not run, or it may have run.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

var answers = [kindCount]Answer{
	Internal:         {http.StatusInternalServerError, 1, RanUnknown, false},
	BadInput:         {http.StatusBadRequest, 2, RanNo, false},
	NotFound:         {http.StatusNotFound, 3, RanNo, false},
	Conflict:         {http.StatusConflict, 4, RanNo, false},
	Overloaded:       {http.StatusTooManyRequests, 5, RanNo, true},
	Unavailable:      {http.StatusServiceUnavailable, 6, RanNo, true},
	OutcomeUnknown:   {http.StatusBadGateway, 7, RanUnknown, true},
	DeadlineExceeded: {http.StatusGatewayTimeout, 8, RanNo, true},
	Leaving:          {http.StatusServiceUnavailable, 6, RanNo, true},
	Stale:            {http.StatusServiceUnavailable, 6, RanNo, true},
	DoesNotFit:       {http.StatusServiceUnavailable, 6, RanNo, true},
	Impossible:       {http.StatusUnprocessableEntity, 9, RanNo, false},
	TooLarge:         {http.StatusRequestEntityTooLarge, 2, RanNo, false},
	Unauthorized:     {http.StatusUnauthorized, 10, RanNo, false},
	Gone:             {http.StatusGone, 3, RanNo, false},
}

// Answer returns the answer for the kind; an undeclared kind is answered as Internal.
func (k Kind) Answer() Answer {
	if k < 0 || k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// Status returns the HTTP status code of the answer.
func (a Answer) Status() int { return a.status }

// ExitCode returns the exit code of a command that fails with the kind.
func (a Answer) ExitCode() int { return a.exitCode }

// Ran returns RanNo if the work is known not to have run, RanUnknown otherwise.
func (a Answer) Ran() Ran { return a.ran }

// HasRetryAfter reports whether the caller should retry, so that the answer has a Retry-After header.
func (a Answer) HasRetryAfter() bool { return a.hasRetryAfter }

// ParseKind returns the kind with the given name, or Internal for an unknown name.
func ParseKind(name string) Kind {
	for k := Internal; k < kindCount; k++ {
		if k.String() == name {
			return k
		}
	}
	return Internal
}
