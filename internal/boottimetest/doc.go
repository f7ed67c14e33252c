// Package boottimetest provides a clock for tests of suspended VMs.
package boottimetest
