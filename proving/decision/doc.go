// Package decision runs the product's own policies against fakes of the
// workers and the callers in fake time, beside simpler ways of deciding, and
// reports what each does to latency, batch work and evictions.
package decision
