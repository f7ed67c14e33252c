// Package remedy decides on actions for a service that nears its latency target: first throttle batch tasks, then
// block new ones, then checkpoint and evict.
package remedy
