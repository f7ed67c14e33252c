// Package catalog is what an entry knows of its region: the cells, their
// leads, and the endpoints that serve requests. It outlives the leads and the
// store: while nothing better is heard, the last known endpoints stay.
//
// Locks are taken in this order: Catalog.mu, then an endpoint's own lock.
package catalog
