// Package pressure learns how much the tasks that fill a worker raise the tail latency of those that serve there, by pairs
// of images; it is pure.
package pressure
