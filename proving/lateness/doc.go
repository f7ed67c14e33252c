// Package lateness reads the logs of a leader and reports how the time of its jobs was spent: waiting for a worker, running,
// or retrying.
package lateness
