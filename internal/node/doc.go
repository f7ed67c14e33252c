// Package node runs one process on the platform: an entry, which may lead, or the agent beside a worker.
package node
