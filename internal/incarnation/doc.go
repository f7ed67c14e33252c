// Package incarnation identifies the starts of a worker, which may start again under the id that it had.
package incarnation
