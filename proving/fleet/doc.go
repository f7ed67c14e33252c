// Package fleet runs the real programs as processes on one machine with stand-ins that speak the users' platform's protocol,
// injects faults and checks invariants on what callers and workers observe.
package fleet
