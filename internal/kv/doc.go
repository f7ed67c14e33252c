// Package kv is the port to the platform's key-value store: keys with revisions, transactions under
// conditions, leases and watches.
package kv
