// Package entry implements the process on an entry VM: it accepts callers' requests
// and jobs over HTTP, routes them, and accepts the operators' edits of the table.
package entry
