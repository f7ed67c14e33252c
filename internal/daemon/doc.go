// Package daemon is the command line of saffronpulleyd: it reads the settings,
// opens the listeners and runs the role that the settings name.
package daemon
