// Package vmlist is the port to the platform's lagging list of VMs.
package vmlist
