// Package gate is the agent's side of the request path: it admits requests
// to the replica's slots, forwards each to the local endpoint at most once,
// and reports afterwards which requests it did not run.
package gate
