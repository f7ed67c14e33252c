// Package intake is the part of an entry that serves callers: it stores submitted jobs and cancellations and returns the state of jobs.
package intake
