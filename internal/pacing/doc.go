// Package pacing decides the pace of best-effort tasks beside serving tasks on a worker. It performs no I/O and reads
// no clock.
package pacing
