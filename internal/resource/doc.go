// Package resource defines the vector of the capacity of a VM and the size of a task.
package resource
