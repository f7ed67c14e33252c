// Package catalog holds an entry's view of its region: the cells, their leaders,
// and the endpoints that serve requests. The view survives the loss of leaders
// and of the store: the last known endpoints stay until newer ones are received.
//
// Locks are taken in this order: Catalog.mu, then Endpoint.mu.
package catalog
