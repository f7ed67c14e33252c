// Package node runs one process on the platform: an entry, which may become the leader, or the agent beside a worker.
package node
