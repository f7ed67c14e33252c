// Package settings reads and checks the settings of a daemon. One list of all
// settings defines their checks, defaults, environment variables and documentation.
package settings
