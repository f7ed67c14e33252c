// Package hangup receives SIGHUP, which ends a process by default, for as long as the process runs.
package hangup
