// Package task identifies tasks, which run on one worker at a time, and their runs.
package task
