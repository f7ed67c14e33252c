// Package intake is the part of an entry that serves callers: it takes jobs and cancellations into the store and tells
// how far jobs are.
package intake
