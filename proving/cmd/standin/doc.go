// Command standin runs one of the platform's stand-ins: store, vms or worker.
package main
