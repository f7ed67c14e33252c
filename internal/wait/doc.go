// Package wait provides timeouts, delays and notifications.
package wait
