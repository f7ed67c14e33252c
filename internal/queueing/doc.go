// Package queueing orders the waiting batch work of a cell by urgency, lateness
// and the shares of the teams.
package queueing
