// Package logging writes short sentences with a fixed prefix for each part.
package logging
