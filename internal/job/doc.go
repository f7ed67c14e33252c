// Package job models a job on the platform: its steps, tasks and runs, and how they advance.
package job
