// Package worker defines the interface to the worker of a VM, which runs
// tasks under leases, and its HTTP client.
package worker
