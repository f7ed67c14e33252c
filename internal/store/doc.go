// Package store is the port to the platform's small key-value service, with its HTTP adapter and a document that is replaced as a whole.
package store
