// Package routing chooses the endpoint of a request and bounds retries.
package routing
