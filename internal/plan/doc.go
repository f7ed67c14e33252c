// Package plan decides which waiting tasks go to which workers; it knows no clock, socket or random source.
package plan
