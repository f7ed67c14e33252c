// Package routing chooses the endpoint of a request and limits retries.
package routing
