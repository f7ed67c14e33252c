package fault

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// DefaultRetryAfter is when a caller is told to come back if the refusing part knows no better, in time.
const DefaultRetryAfter = time.Second

// Error is an error with a kind and the time after which it makes sense to return.
type Error struct {
	kind       Kind
	retryAfter time.Duration
	cause      error
}

// New returns an error of the given kind with a formatted sentence.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, cause: errors.Newf(format, args...)}
}

// Wrap returns err as an error of the given kind with a sentence before it.
func Wrap(err error, kind Kind, message string) *Error {
	return &Error{kind: kind, cause: errors.WithMessage(err, message)}
}

// WithRetryAfter returns a copy of the error that tells the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Error returns the sentence of the error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause of the error.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// KindOf returns the kind of err; a context that ended is DeadlineExceeded, anything else Internal.
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

// RetryAfter returns when to come back after err, or DefaultRetryAfter where the error does not say.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) && e.retryAfter > 0 {
		return e.retryAfter
	}
	return DefaultRetryAfter
}
