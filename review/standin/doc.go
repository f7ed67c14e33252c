// Command standin plays the review's scripts: it starts the project's programs as separate processes on loopback addresses,
// beside stand-ins of the platform's store, of workers and of clients that follow the users' pages.
package main
