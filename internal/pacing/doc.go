// Package pacing decides at which pace the tasks that fill a worker run beside those that serve; it is pure.
package pacing
