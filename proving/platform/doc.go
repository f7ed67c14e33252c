// Package platform provides small stand-ins for the platform: the key-value service, the list of VMs, and a worker with its
// service endpoints. Faults can be injected into each.
package platform
