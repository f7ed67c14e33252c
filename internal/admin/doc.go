// Package admin serves the health and the metrics of a process, apart from
// what callers reach.
package admin
