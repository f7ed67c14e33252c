// Package dispatch is the part of an entry that may lead: it wins the lead, keeps the jobs, plans, commits each
// placement before its order leaves, and takes the agents' reports.
package dispatch
