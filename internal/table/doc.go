// Package table holds the operators' table: one row a workload or a team, one
// column a parameter, with the validation, merging and history of its edits.
package table
