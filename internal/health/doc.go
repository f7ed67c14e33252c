// Package health decides which workers may take new tasks, by the failures, stalls and refused starts of all jobs. It uses
// no clock, lock, socket or random source.
package health
