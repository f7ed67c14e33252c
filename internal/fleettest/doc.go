// Package fleettest simulates fleets of a thousand real agents and entries over an in-memory network, in fake time.
package fleettest
