// Package remedy decides what is done about a service that nears its target:
// throttle first, then keep new work away, then checkpoint and evict.
package remedy
