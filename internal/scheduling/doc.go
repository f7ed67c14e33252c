// Package scheduling plans the next change of a cell's document: the number of replicas, the workers of waiting tasks,
// and evictions. It performs no I/O and reads no clock.
package scheduling
