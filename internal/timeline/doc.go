// Package timeline records the events of a process, and orders the events of
// all processes by a hybrid logical clock.
package timeline
