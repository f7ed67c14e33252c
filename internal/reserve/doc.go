// Package reserve computes how much capacity to keep free for short work. It uses no clock, lock, socket or random source.
package reserve
