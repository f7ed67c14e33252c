// Package metric counts and times what a process does, and writes it as JSON.
package metric
