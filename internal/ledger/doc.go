// Package ledger keeps what a VM is committed to. An agent admits a run only
// through it, so that no lead, however late or wrong, commits the VM beyond
// what it has or runs a task twice.
package ledger
