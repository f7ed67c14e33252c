// Package host defines the interface between an agent and the worker on its VM: orders, lease renewals and worker reports.
package host
