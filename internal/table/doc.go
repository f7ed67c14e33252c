// Package table holds the operators' table: one row a workload or a team, one
// column a knob, with the checks, merges and history of its edits.
package table
