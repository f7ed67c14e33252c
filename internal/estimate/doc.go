// Package estimate learns how long tasks run, from the estimates of their jobs and the ends of earlier tasks. It performs no I/O and
// reads no clock.
package estimate
