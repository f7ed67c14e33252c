// Package metric collects the metrics of a process and writes them as JSON.
package metric
