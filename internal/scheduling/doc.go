// Package scheduling plans the next change of a cell's document: how many
// replicas run, where waiting tasks go, and which tasks make room. It is pure.
package scheduling
