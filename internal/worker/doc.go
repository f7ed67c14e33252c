// Package worker is the port to the worker of a VM, which runs tasks under
// leases, and the adapter that speaks to it over HTTP.
package worker
