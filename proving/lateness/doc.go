// Package lateness reads the logs of a lead and tells how the time of its jobs was spent: waiting for a worker, running, or
// running again.
package lateness
