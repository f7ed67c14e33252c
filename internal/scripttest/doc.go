// Package scripttest plays tests that are written as data: each txtar archive in testdata is one of them.
package scripttest
