// Package job models a platform job: its steps, tasks and runs, and the transitions between their states.
package job
