// Package scripttest runs tests that are written as data: each txtar archive in testdata is a test.
package scripttest
