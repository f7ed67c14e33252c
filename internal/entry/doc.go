// Package entry is the process on an entry VM: it takes callers' requests and
// jobs over HTTP, routes and answers them, and takes the operators' edits.
package entry
