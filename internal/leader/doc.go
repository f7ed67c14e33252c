// Package leader is the part of an agent that holds its cell's lease: it hears
// the cell's agents, plans, commits the cell's document and tells each agent
// what it is to run.
//
// Locks are taken in this order: Lead.mu, then the document's own locks. No
// call leaves the process while Lead.mu is held.
package leader
