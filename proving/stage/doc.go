// Package stage runs the system's processes with stand-ins for the platform on loopback. It provides the verbs with which
// scenario scripts drive the processes, inject faults and check the histories that the workers recorded.
package stage
