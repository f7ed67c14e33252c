// Package kv is the port to the platform's key-value store: keys with revisions, conditional transactions, leases and watches.
package kv
