// Package resource holds the vector of what a VM has and a task takes.
package resource
