// Package runner is the agent of one worker: it renews the leases of the worker's runs while the leader renews the agent's lease, carries out
// the leader's orders, reports running and ended runs, and sets the pace of best-effort tasks beside serving tasks.
package runner
