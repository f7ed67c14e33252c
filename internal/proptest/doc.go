// Package proptest makes the results of property tests reproducible.
package proptest
