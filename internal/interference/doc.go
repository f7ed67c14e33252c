// Package interference learns by how much a batch workload slows a service on the same VM, for each band of the
// service's load, from reports that arrive late.
package interference
