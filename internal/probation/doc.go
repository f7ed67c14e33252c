// Package probation keeps work away from what fails: a worker that fails its
// tasks, or an endpoint that fails its requests, gets one trial at a time.
package probation
