// Package placement chooses the worker of a task from a snapshot of the workers of a cell, and reports the reason. It
// performs no I/O and reads no clock.
package placement
