// Package incarnation identifies the incarnations of a worker, which may restart under the same identifier.
package incarnation
