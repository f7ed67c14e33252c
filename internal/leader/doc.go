// Package leader implements the leader of a cell, the agent that holds the
// cell's lease: it receives the heartbeats of the cell's agents, schedules
// tasks, commits the cell's document and sends each agent its desired runs.
//
// Locks are taken in this order: Leader.mu, then the document's own locks. No
// remote call is made while Leader.mu is held.
package leader
