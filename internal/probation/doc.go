// Package probation keeps work from failing targets: a worker that fails its tasks, or an endpoint that fails its
// requests, gets one trial at a time.
package probation
