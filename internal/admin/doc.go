// Package admin serves the health and the metrics of a process on a listener
// apart from that for callers, and provides the HTTP server of all listeners.
package admin
