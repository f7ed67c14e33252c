// Package idempotency deduplicates requests by the caller's key, so that a
// request that must not be repeated runs at most once. Keys are divided into
// slots, each of which is owned by one entry at a time.
package idempotency
