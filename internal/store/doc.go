// Package store is the port to the platform's small key-value service, with
// the adapter that speaks to it and the document that is swapped as a whole.
package store
