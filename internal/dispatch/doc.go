// Package dispatch is the leader role of an entry: it campaigns for leadership, tracks all jobs, schedules their tasks,
// commits each placement before the start is sent, and handles the agents' reports.
package dispatch
