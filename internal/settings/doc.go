// Package settings reads and checks the settings of a daemon: one list of all
// of them gives the check, the defaults, the environment's names and the page.
package settings
