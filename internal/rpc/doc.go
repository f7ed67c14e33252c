// Package rpc implements typed JSON-RPC 2.0 calls between processes, in both directions of one connection.
package rpc
