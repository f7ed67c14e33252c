// Package control defines the messages between the system's own processes in
// their wire format, and the names of the methods that exchange them.
package control
