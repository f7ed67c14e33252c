// Package agent is the process beside an endpoint. It is the only writer of
// what its VM is committed to: it starts, throttles, checkpoints and stops the
// tasks that its cell's lead wants there, and may itself become the lead.
//
// Locks are taken in this order: Agent.mu, then the ledger's lock. No call
// leaves the process while Agent.mu is held.
package agent
