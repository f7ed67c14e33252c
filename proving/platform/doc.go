// Package platform holds small stand-ins for the platform: the key-value
// service, the list of VMs, and a worker with its service endpoints. Each can
// be told to fail.
package platform
