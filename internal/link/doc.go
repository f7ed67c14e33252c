// Package link holds the messages that the processes send each other over JSON-RPC.
package link
