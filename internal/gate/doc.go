// Package gate is the agent's side of the request path: it admits requests
// into the replica's slots, passes each to the local endpoint at most once,
// and can say afterwards what it did not run.
package gate
