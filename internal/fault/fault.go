package fault

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultRetryAfter is the retry delay of errors that set none.
const DefaultRetryAfter = time.Second

// Error is an error with a kind and the delay after which a retry makes sense.
type Error struct {
	kind       Kind
	retryAfter time.Duration
	cause      error
}

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, cause: errors.Newf(format, args...)}
}

// Wrap returns err as an error of the given kind, prefixed with a message.
func Wrap(err error, kind Kind, message string) *Error {
	return &Error{kind: kind, cause: errors.WithMessage(err, message)}
}

// WithRetryAfter returns a copy of the error with a retry delay for the caller.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.retryAfter = delay
	return &copied
}

// Error returns the message of the error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// KindOf returns the kind of err: DeadlineExceeded for a context that ended, Internal for any other error without a kind.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return DeadlineExceeded
	}
	return Internal
}

// Is reports whether err is of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}

// RetryAfter returns the retry delay of err, or DefaultRetryAfter if it sets none.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.retryAfter > 0 {
		return e.retryAfter
	}
	return DefaultRetryAfter
}
