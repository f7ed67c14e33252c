// Package fault holds the closed list of error kinds and the one table that
// says how each kind is answered over HTTP, over RPC and by exit codes.
package fault
