// Package fleet runs the real programs as processes of one machine beside stand-ins that speak the users' platform's
// protocol, with faults from outside, and judges by what callers and workers see.
package fleet
