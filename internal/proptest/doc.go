// Package proptest gives the property tests the same verdict on every run.
package proptest
