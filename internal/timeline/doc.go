// Package timeline records the events of a process and orders those of all
// processes by a hybrid logical clock.
package timeline
