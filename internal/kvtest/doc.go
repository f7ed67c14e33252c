// Package kvtest is an in-memory store for tests, which on request loses answers, delays writes, or refuses calls.
package kvtest
