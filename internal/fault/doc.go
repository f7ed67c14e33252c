// Package fault defines the closed set of error kinds and the table that
// maps each kind to its HTTP status, its RPC answer and its exit code.
package fault
