// Package daemon implements the command line of saffronpulleyd: it reads the settings,
// opens the listeners and runs the configured role.
package daemon
