// Package control holds the messages between the system's own processes, as
// they travel, with the names of their methods.
package control
