// Package agent implements the process beside an endpoint. It is the only
// writer of the VM's commitments: it starts, throttles, checkpoints and stops
// the tasks that the leader of its cell assigns to the VM, and may itself
// become the leader.
//
// Lock order: Agent.mu, then the lock of the ledger. No call leaves the
// process while Agent.mu is held.
package agent
