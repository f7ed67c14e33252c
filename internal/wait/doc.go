// Package wait holds the waits that several processes share.
package wait
