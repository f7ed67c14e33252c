// Package kvtest is a store in memory for tests, which loses answers, does writes late, and refuses, on request.
package kvtest
