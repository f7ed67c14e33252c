// Package connection tracks all open connections to one address across client pools: an unanswered call closes the idle connections,
// and a later answer closes older connections that have stopped responding.
package connection
