// Package host is the port to the worker beside an agent: orders, holds and what the worker tells of itself.
package host
