// Package link defines the messages that the processes exchange over JSON-RPC.
package link
