// Package scheduling plans the next change of a cell's document: the number of replicas, the workers of waiting tasks,
// and evictions. It has no side effects.
package scheduling
