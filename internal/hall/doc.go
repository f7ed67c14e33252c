// Package hall follows the halls that the operators have closed, whose workers get no new tasks.
package hall
