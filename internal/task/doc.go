// Package task names a piece of work that runs on one worker at a time.
package task
