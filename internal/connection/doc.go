// Package connection keeps all open connections to one address, so that what one call learns of the way there helps the
// others: silence empties the pools, an answer ends what hangs on connections that are older than the silence.
package connection
