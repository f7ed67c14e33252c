// Package relay provides TCP relays that inject connection faults: cuts, dropped bytes in one direction, delays and resets.
package relay
