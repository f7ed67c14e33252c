// Package cell holds the document of a cell: its jobs, the tasks that were
// placed, and the transitions between their states. All of it is pure; the
// lead commits a changed document by one swap in the store.
package cell
