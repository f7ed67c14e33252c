// Package decision simulates the product's policies, and simpler ones for comparison, with fake workers and callers in
// simulated time. It reports the effects on latency, batch work and evictions.
package decision
