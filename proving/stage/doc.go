// Package stage runs the system's processes with the platform's stand-ins on
// loopback, and gives scenario scripts the verbs to drive them, make them fail
// and judge them by the books of the workers.
package stage
