// Package rpc carries typed JSON-RPC 2.0 calls between the processes of the
// system, in both directions of one connection.
package rpc
