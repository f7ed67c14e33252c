// Package logging writes log messages with a fixed prefix for each component.
package logging
