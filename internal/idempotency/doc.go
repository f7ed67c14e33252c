// Package idempotency joins requests with the same caller's key, so that one
// that may not be repeated runs at most once. Keys are divided into slots, and
// each slot has one owner among the entries at a time.
package idempotency
