// Package ledger records the allocations of a VM. An agent admits runs only through it, so that no leader, even an
// outdated or faulty one, can exceed the VM's capacity or run a task twice.
package ledger
