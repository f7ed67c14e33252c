// Package placement chooses the VM of a task. It is pure: it sees a snapshot
// of the nodes of a cell and answers with a node and the reason.
package placement
