// Package pressure learns by how much best-effort tasks raise the tail latency of serving tasks on the same worker,
// for each pair of images. It performs no I/O and reads no clock.
package pressure
