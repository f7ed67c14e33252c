// Package boottimetest is a clock for tests of what happens when a VM was suspended.
package boottimetest
