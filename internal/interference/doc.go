// Package interference learns how much a batch workload slows a service next
// to it, for each band of the service's load, from reports that arrive late.
package interference
