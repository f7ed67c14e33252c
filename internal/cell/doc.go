// Package cell defines the document of a cell: its jobs, its placed tasks and
// the transitions between their states. It performs no I/O; the leader commits
// a changed document with one swap in the store.
package cell
